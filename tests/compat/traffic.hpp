#pragma once
#include <map>
#include <string>
#include <vector>

#include "compat/schema.hpp"
#include "simulation/simulated_cluster.hpp"

namespace limemast::compat {
/// An item that a controller sent, or a part of it that has a schema of its own.
struct TrafficItem {
  std::string
      kind;  ///< "message report", "store POST /txn", "record w/open/", "user GET ... -> 200"
  ordered_json value;   ///< the value from which its schema is inferred
  std::string payload;  ///< the bytes as sent: JSON or other text, hexadecimal for messages
  std::string context;  ///< a message as JSON, a record's key, a request's path, or the body of the
                        ///< request that a response answers
};

/// Classifies outgoing items by kind. Remembers the subject of each status query between
/// controllers ("tell"), because the replies ("told") have a schema for each subject.
class TrafficClassifier {
 public:
  std::vector<TrafficItem> classify(const simulation::SimulatedCluster::Outgoing& item);

 private:
  TrafficItem message(const simulation::SimulatedCluster::Outgoing& item);
  std::vector<TrafficItem> request(const simulation::SimulatedCluster::Outgoing& item) const;
  TrafficItem response(const simulation::SimulatedCluster::Outgoing& item) const;
  std::map<std::string, std::string> query_subjects_;  ///< by sender and id of the query
};

/// Converts bytes to two hexadecimal digits each, and back.
std::string to_hex(const std::vector<std::uint8_t>& bytes);
std::vector<std::uint8_t> from_hex(const std::string& text);
/// The prefix of a store key, such as "w/open/", or the whole key if it has no known prefix.
std::string prefix_of_key(const std::string& key);
/// The HELP and TYPE lines and the names with labels of a metrics page, sorted.
ordered_json parse_metrics(const std::string& text);

/// The schemas of all kinds, and how many items of each were seen.
struct TrafficSchemas {
  struct Kind {
    Schema schema;
    std::uint64_t seen = 0;
  };
  std::map<std::string, Kind> kinds;
  void add(const TrafficItem& item) {
    auto& kind = kinds[item.kind];
    ++kind.seen;
    kind.schema.add(item.value);
  }
};
}  // namespace limemast::compat
