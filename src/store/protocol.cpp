#include "store/protocol.hpp"

#include <algorithm>

namespace limemast::store::protocol {
namespace {
// Paths.
constexpr const char* kKeysPath = "/keys";
constexpr const char* kChangesPath = "/changes";
constexpr const char* kTxnPath = "/txn";
constexpr const char* kLeasesPath = "/grants";
constexpr const char* kKeepAliveSuffix = "/touch";
constexpr const char* kListPageSize = "500";
// Fields.
constexpr const char* kKeyField = "key";
constexpr const char* kValueField = "v";
constexpr const char* kModRevisionField = "stamp";
constexpr const char* kRevisionField = "epoch";
constexpr const char* kLeaseField = "permit";
constexpr const char* kLeaseTtlField = "ttlMs";
constexpr const char* kComparesField = "when";
constexpr const char* kOperationsField = "writes";
constexpr const char* kPutField = "set";
constexpr const char* kDeleteField = "remove";
constexpr const char* kFailedField = "failed";
constexpr const char* kEntriesField = "entries";
constexpr const char* kTruncatedField = "truncated";
constexpr const char* kChangesField = "news";
// HTTP status codes.
constexpr int kNoAnswer = 0;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

/// Parses the response body; returns a discarded value if it is not JSON.
json parse(const net::HttpResult& result) { return json::parse(result.body, nullptr, false); }
json parse_if_ok(const net::HttpResult& result) {
  return result.status == kOk ? parse(result) : json();
}

/// Returns an unsigned number field of an object, or nullopt.
template <class Number>
std::optional<Number> number_in(const json& object, const char* field) {
  if (!object.is_object()) return std::nullopt;
  const auto it = object.find(field);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->template get<Number>();
}

/// Returns a string field of an object, or nullptr.
const std::string* string_field(const json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() ? nullptr : it->get_ptr<const std::string*>();
}

std::string lease_path(LeaseId lease) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease.value());
}

json encode(const Compare& compare) {
  return {{kKeyField, compare.key}, {kModRevisionField, compare.mod_revision}};
}
json encode(const Operation& operation) {
  if (!operation.value) return {{kDeleteField, operation.key}};
  json put{{kPutField, operation.key}, {kValueField, *operation.value}};
  if (operation.lease != LeaseId{}) put[kLeaseField] = operation.lease;
  return put;
}

std::optional<ListPage::Item> decode_item(const json& item) {
  if (!item.is_object()) return std::nullopt;
  const auto* key = string_field(item, kKeyField);
  const auto value = item.find(kValueField);
  const auto mod_revision = number_in<Revision>(item, kModRevisionField);
  if (!key || value == item.end() || !mod_revision) return std::nullopt;
  return ListPage::Item{*key, {*value, *mod_revision}};
}

std::optional<KeyChange> decode_change(const json& change) {
  const auto mod_revision = number_in<Revision>(change, kModRevisionField);
  if (!mod_revision) return std::nullopt;
  if (const auto* deleted = string_field(change, kDeleteField))
    return KeyChange{*deleted, *mod_revision, std::nullopt};
  const auto* put = string_field(change, kPutField);
  const auto value = change.find(kValueField);
  if (!put || value == change.end()) return std::nullopt;
  return KeyChange{*put, *mod_revision, *value};
}
}  // namespace

net::HttpRequest get_request(const std::string& key) {
  return {"GET", std::string(kKeysPath) + "/" + key, {}};
}

GetResult decode_get(const net::HttpResult& result) {
  GetResult out;
  if (result.status != kOk && result.status != kNotFound) return out;
  const auto body = parse(result);
  if (result.status == kNotFound) {
    // A 404 is accepted only if it contains a revision, which shows that the store itself sent it.
    out.answered = body.is_object() && body.contains(kRevisionField);
    return out;
  }
  const auto mod_revision = number_in<Revision>(body, kModRevisionField);
  if (!mod_revision || !body.contains(kValueField)) return out;
  out.answered = out.found = true;
  out.value = body[kValueField];
  out.mod_revision = *mod_revision;
  out.lease = number_in<LeaseId>(body, kLeaseField).value_or(LeaseId{});
  return out;
}

net::HttpRequest txn_request(const std::vector<Compare>& compares,
                             const std::vector<Operation>& operations) {
  json body{{kComparesField, json::array()}, {kOperationsField, json::array()}};
  for (const auto& compare : compares) body[kComparesField].push_back(encode(compare));
  for (const auto& operation : operations) body[kOperationsField].push_back(encode(operation));
  return {"POST", kTxnPath, body.dump()};
}

TxnResult decode_txn(const net::HttpResult& result) {
  TxnResult out;
  out.http_status = result.status;
  const auto body = parse(result);
  out.revision = number_in<Revision>(body, kRevisionField).value_or(Revision{});
  switch (result.status) {
    case kOk:
      if (out.revision != kAbsent) out.status = TxnStatus::Ok;
      break;
    case kConflict:
      out.status = TxnStatus::Conflict;
      if (body.is_object() && body.contains(kFailedField))
        for (const auto& key : body[kFailedField])
          if (key.is_string()) out.failed.push_back(key.get<std::string>());
      break;
    case kBadRequest:
    case kTooManyRequests:
    case kUnavailable:
      out.status = TxnStatus::Refused;
      break;
    case kNoAnswer:
      if (!result.maybe_sent) out.status = TxnStatus::Refused;
      break;
    default:
      break;
  }
  return out;
}

net::HttpRequest acquire_lease_request(std::chrono::milliseconds ttl) {
  return {"POST", kLeasesPath, json{{kLeaseTtlField, ttl.count()}}.dump()};
}

std::optional<LeaseId> decode_acquired_lease(const net::HttpResult& result) {
  return number_in<LeaseId>(parse_if_ok(result), kLeaseField);
}

net::HttpRequest keep_alive_request(LeaseId lease) {
  return {"POST", lease_path(lease) + kKeepAliveSuffix, {}};
}

KeepAliveStatus decode_keep_alive(const net::HttpResult& result) {
  if (result.status == kNotFound) return KeepAliveStatus::Expired;
  return result.status == kOk ? KeepAliveStatus::Renewed : KeepAliveStatus::Unavailable;
}

net::HttpRequest revoke_lease_request(LeaseId lease) { return {"DELETE", lease_path(lease), {}}; }

bool decode_lease_revoked(const net::HttpResult& result) {
  return result.status == kOk || result.status == kNoContent || result.status == kNotFound;
}

net::HttpRequest list_request(const std::string& prefix, const std::string& after) {
  auto path = std::string(kKeysPath) + "?prefix=" + prefix + "&limit=" + kListPageSize;
  if (!after.empty()) path += "&from=" + after;
  return {"GET", std::move(path), {}};
}

std::optional<ListPage> decode_list(const net::HttpResult& result) {
  const auto body = parse_if_ok(result);
  if (!body.is_object() || !body.contains(kEntriesField)) return std::nullopt;
  ListPage page;
  for (const auto& each : body[kEntriesField]) {
    auto item = decode_item(each);
    if (!item) return std::nullopt;
    page.items.push_back(std::move(*item));
  }
  page.revision = number_in<Revision>(body, kRevisionField).value_or(Revision{});
  const auto truncated = body.find(kTruncatedField);
  if (truncated == body.end()) return page;
  if (!truncated->is_boolean()) return std::nullopt;
  page.truncated = truncated->get<bool>();
  return page;
}

net::HttpRequest changes_request(const std::string& prefix, Revision since,
                                 std::chrono::milliseconds wait) {
  return {"GET",
          std::string(kChangesPath) + "?prefix=" + prefix +
              "&from=" + std::to_string(since.value()) + "&waitMs=" + std::to_string(wait.count()),
          {}};
}

ChangesResult decode_changes(const net::HttpResult& result) {
  ChangesResult out;
  if (result.status == kGone) out.status = ChangesStatus::Compacted;
  const auto body = parse_if_ok(result);
  const auto revision = number_in<Revision>(body, kRevisionField);
  if (!revision) return out;
  if (const auto changes = body.find(kChangesField); changes != body.end())
    for (const auto& each : *changes) {
      auto change = decode_change(each);
      if (!change) return {};
      out.changes.push_back(std::move(*change));
    }
  out.revision = *revision;
  out.status = ChangesStatus::Ok;
  return out;
}
}  // namespace limemast::store::protocol
