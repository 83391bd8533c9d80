#pragma once
// HTTP server and client on blocking loopback sockets, a TCP proxy, and the record of a run.
#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace standins {
using json = nlohmann::json;

/// Seconds on the steady clock since the program began.
double now();
void sleep_for(double seconds);

/// Writes lines with the time to record.txt, and collects the rules that were broken.
class Record {
 public:
  static Record& get();
  void open(const std::string& path);
  void line(const std::string& text);
  /// Records that a rule was broken.
  void broken(const std::string& rule, const std::string& text);
  /// Records why the case could not run.
  void cannot_run(const std::string& text);
  /// 1 if a rule was broken, 2 if the case could not run, otherwise 0.
  int exit_code();
  bool any_broken();

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  unsigned broken_ = 0;
  bool cannot_run_ = false;
};
void record(const std::string& text);

struct Request {
  std::string method;
  std::string path;
  std::string body;
};
/// Status 0 means that there was no response.
struct Response {
  int status = 0;
  std::string body;
  json parsed() const { return json::parse(body, nullptr, false); }
};

/// A loopback port that nothing uses at the moment.
int free_port();

/// Sends one request over a connection of its own.
Response call(int port, const Request& request, double timeout);

/// Serves each connection in a thread. A handler may block; status 0 closes the connection.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit HttpServer(Handler handler);
  int port() const { return port_; }
  /// Stops accepting and answering.
  void stop();

 private:
  void accept_loop();
  void serve(int fd);
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::shared_ptr<std::atomic<bool>> stopped_ = std::make_shared<std::atomic<bool>>(false);
};

/// Forwards TCP connections to a loopback port.
class Proxy {
 public:
  enum class Mode {
    Pass,
    Hold,   ///< nothing is forwarded; what was sent is delivered when the proxy passes again
    Reset,  ///< connections are reset, and new ones as well
  };
  explicit Proxy(int target);
  int port() const { return port_; }
  void set(Mode mode) { *mode_ = mode; }
  void set_delay(double seconds) { *delay_ = seconds; }

 private:
  void accept_loop() const;
  int target_;
  int listener_ = -1;
  int port_ = 0;
  std::shared_ptr<std::atomic<Mode>> mode_ = std::make_shared<std::atomic<Mode>>(Mode::Pass);
  std::shared_ptr<std::atomic<double>> delay_ = std::make_shared<std::atomic<double>>(0.0);
};
}  // namespace standins
