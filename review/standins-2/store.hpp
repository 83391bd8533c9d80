#pragma once
// The state service, by PROTOCOL-limemast.md: keys, transactions, leases and watches.
#include <array>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "net.hpp"

namespace standins {
class Store {
 public:
  enum class Gate {
    Open,
    Refuse,  ///< 503; open watches wait
    Hang,    ///< no response
  };
  explicit Store(int nodes);
  /// The port by which this controller reaches the store.
  int port(int node) const { return servers_[static_cast<std::size_t>(node)]->port(); }
  void set_gate(int node, Gate gate);
  void set_delay(double seconds) { delay_ = seconds; }
  /// 503 to all; afterwards all leases get their full time again.
  void set_outage(bool outage);
  /// Writes that the next transactions of the node are carried out, but not answered.
  void lose_answers(int node, int transactions);
  std::optional<json> value(const std::string& key);
  std::map<std::string, json> list(const std::string& prefix);
  /// Called for each key that is set or removed.
  std::function<void(const std::string& key, const json* value)> on_change;

 private:
  struct Entry {
    json value;
    std::uint64_t stamp = 0;
    std::uint64_t permit = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t stamp = 0;
    std::optional<json> value;
  };
  struct Grant {
    double ttl = 0;
    double expires = 0;
  };
  Response handle(int node, const Request& request);
  Response get(const std::string& key);
  Response list_keys(const std::map<std::string, std::string>& query);
  Response changes(int node, const std::map<std::string, std::string>& query);
  Response transaction(const json& body);
  Response grants(const Request& request);
  void apply(const std::string& key, std::optional<json> value, std::uint64_t permit);
  void expire();
  void end_grant(std::uint64_t id);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> log_;
  std::map<std::uint64_t, Grant> grants_;
  std::uint64_t epoch_ = 1;
  std::uint64_t next_grant_ = 1;
  std::atomic<bool> outage_{false};
  std::atomic<double> delay_{0.002};
  std::vector<std::unique_ptr<std::atomic<Gate>>> gates_;
  std::vector<std::unique_ptr<std::atomic<int>>> lost_answers_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};
}  // namespace standins
