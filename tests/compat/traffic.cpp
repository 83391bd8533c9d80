#include "compat/traffic.hpp"

#include <algorithm>
#include <sstream>

#include "wire/cbor.hpp"

namespace limemast::compat {
namespace {
using simulation::SimulatedCluster;
const std::string kStoreEndpoint = "state:1";
const std::string kCloudEndpoint = "cloud:1";
const std::string kMetricsContentType = "text/plain";
constexpr int kServiceUnavailableStatus = 503, kTooManyRequestsStatus = 429;

/// Replaces the identifiers and numbers in a path and its query by placeholders:
/// "/submissions/wk-000012/abort" becomes "/submissions/<job>/abort".
std::string path_template(const std::string& path) {
  std::string out;
  std::string part;
  const auto flush = [&] {
    out += placeholder_for(part);
    part.clear();
  };
  for (const char c : path) {
    if (c == '/' || c == '?' || c == '&' || c == '=') {
      flush();
      out += c;
    } else {
      part += c;
    }
  }
  flush();
  return out;
}

ordered_json body_of(const std::string& text) {
  if (text.empty()) return nullptr;
  auto body = ordered_json::parse(text, nullptr, false);
  return body.is_discarded() ? ordered_json("not JSON") : body;
}

std::string receiver_of(const std::string& to) {
  return to == kStoreEndpoint ? "store" : to == kCloudEndpoint ? "cloud" : "worker";
}

/// Removes the written records from a transaction and returns them, because each kind of record has
/// its own schema. Keys are reduced to their prefixes.
std::vector<TrafficItem> extract_records(ordered_json& transaction) {
  std::vector<TrafficItem> out;
  for (auto& write : transaction["writes"]) {
    const auto value = write.find("v");
    const auto key = write.find("set");
    if (value == write.end() || key == write.end()) continue;
    out.push_back({"record " + prefix_of_key(key->get<std::string>()), *value, value->dump(),
                   key->get<std::string>()});
    *value = "<record>";
    *key = prefix_of_key(key->get<std::string>());
  }
  for (auto& write : transaction["writes"])
    if (const auto it = write.find("remove"); it != write.end())
      *it = prefix_of_key(it->get<std::string>());
  for (auto& condition : transaction["when"])
    condition["key"] = prefix_of_key(condition["key"].get<std::string>());
  return out;
}

/// Reduces a metrics line such as `limemast_calls_total{answer="2xx"} 3` to the metric's name and
/// labels. The values of labels that the program enumerates are kept.
std::string metric_template(const std::string& line) {
  static const std::set<std::string> labels_with_fixed_values{"what", "cause"};
  const auto labels_begin = line.find('{');
  if (labels_begin == std::string::npos) return line.substr(0, line.find(' '));
  auto out = line.substr(0, labels_begin + 1);
  auto rest = line.substr(labels_begin + 1, line.find('}') - labels_begin - 1);
  while (!rest.empty()) {
    const auto equals = rest.find('=');
    const auto end = rest.find('"', equals + 2);
    const auto name = rest.substr(0, equals);
    out += labels_with_fixed_values.contains(name) ? rest.substr(0, end + 1) : name;
    rest.erase(0, end + 1);
    if (rest.starts_with(",")) rest.erase(0, 1), out += ',';
  }
  return out + '}';
}
}  // namespace

std::string to_hex(const std::vector<std::uint8_t>& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const auto byte : bytes) out += kDigits[byte >> 4], out += kDigits[byte & 15];
  return out;
}

std::vector<std::uint8_t> from_hex(const std::string& text) {
  std::vector<std::uint8_t> out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    out.push_back(static_cast<std::uint8_t>(std::stoul(text.substr(i, 2), nullptr, 16)));
  return out;
}

std::string prefix_of_key(const std::string& key) {
  const auto prefixes = {"w/node/",      "w/machine/", "w/open/", "w/suspect/",
                         "w/lingering/", "w/drain/",   "final/",  "progress/"};
  for (const std::string prefix : prefixes)
    if (key.starts_with(prefix)) return prefix;
  return key;
}

ordered_json parse_metrics(const std::string& text) {
  std::map<std::string, ordered_json> all;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("#"))
      all[line] = "";
    else if (!line.empty())
      all[metric_template(line)] = 0;
  }
  ordered_json out = ordered_json::object();
  for (auto& [name, value] : all) out[name] = std::move(value);
  return out;
}

TrafficItem TrafficClassifier::message(const SimulatedCluster::Outgoing& item) {
  const auto& message = *item.message;
  const auto kind = message.value("t", "");
  const auto bytes = wire::to_cbor(message);
  TrafficItem out{"message " + kind, ordered_json::from_cbor(bytes), to_hex(bytes), message.dump()};
  if (kind == "tell") {
    const auto subject = message.value("what", "");
    query_subjects_[item.from + ' ' + message.value("id", json()).dump()] = subject;
    out.kind += ' ' + subject;
  }
  if (kind == "told")
    out.kind += ' ' + query_subjects_[item.to + ' ' + message.value("id", json()).dump()];
  return out;
}

std::vector<TrafficItem> TrafficClassifier::request(const SimulatedCluster::Outgoing& item) const {
  const auto& request = *item.request;
  auto body = body_of(request.body);
  std::vector<TrafficItem> out;
  if (item.to == kStoreEndpoint && request.path == "/txn") out = extract_records(body);
  const auto kind = receiver_of(item.to) + ' ' + request.method + ' ' + path_template(request.path);
  out.push_back({kind, std::move(body), request.body, request.path});
  return out;
}

TrafficItem TrafficClassifier::response(const SimulatedCluster::Outgoing& item) const {
  const auto& request = *item.request;
  const auto& response = *item.response;
  ordered_json value{
      {"type", response.type}, {"allow", response.allow}, {"retry", response.retry_after_s > 0}};
  value["body"] = response.type.starts_with(kMetricsContentType) ? parse_metrics(response.body)
                                                                 : body_of(response.body);
  // Rejections share one kind per receiver and status, because any request may be rejected.
  const bool rejected =
      response.status == kServiceUnavailableStatus || response.status == kTooManyRequestsStatus;
  auto kind = item.to + ' ' +
              (rejected ? "any request" : request.method + ' ' + path_template(request.path)) +
              " -> " + std::to_string(response.status);
  return {std::move(kind), std::move(value), response.body, request.body};
}

std::vector<TrafficItem> TrafficClassifier::classify(const SimulatedCluster::Outgoing& item) {
  if (item.message) return {message(item)};
  if (item.response) return {response(item)};
  return request(item);
}
}  // namespace limemast::compat
