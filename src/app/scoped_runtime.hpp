#pragma once
#include <memory>

#include "net/runtime.hpp"

namespace limemast::app {
/// Forwards all calls to another runtime, but drops callbacks that arrive after this object, and
/// with it the controller incarnation that uses it, has been destroyed.
class ScopedRuntime final : public net::Runtime {
 public:
  explicit ScopedRuntime(net::Runtime& inner)
      : inner_(inner), alive_(std::make_shared<bool>(true)) {}

  net::Time now() const override { return inner_.now(); }
  net::WallTime wall() const override { return inner_.wall(); }
  std::mt19937_64& random() override { return inner_.random(); }
  TimerId after(net::Duration delay, std::function<void()> fire) override {
    return inner_.after(delay, unless_destroyed(std::move(fire)));
  }
  void cancel(TimerId timer) override { inner_.cancel(timer); }
  void post(std::function<void()> fire) override { inner_.post(unless_destroyed(std::move(fire))); }
  void http(const net::Endpoint& to, net::HttpRequest request, net::Duration timeout,
            std::function<void(net::HttpResult)> done) override {
    inner_.http(to, std::move(request), timeout,
                [alive = std::weak_ptr<bool>(alive_), done = std::move(done)](net::HttpResult r) {
                  if (alive.lock()) done(std::move(r));
                });
  }
  net::Duration busy_time() const override { return inner_.busy_time(); }
  void send_peer(const std::string& label, const wire::json& message) override {
    inner_.send_peer(label, message);
  }

 private:
  std::function<void()> unless_destroyed(std::function<void()> fire) {
    return [alive = std::weak_ptr<bool>(alive_), fire = std::move(fire)] {
      if (alive.lock()) fire();
    };
  }
  net::Runtime& inner_;
  std::shared_ptr<bool> alive_;
};
}  // namespace limemast::app
