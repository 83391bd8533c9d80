#include "jobs/completion_log.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::json;

/// The fraction of the store's maximum value size that a record may occupy.
constexpr double kMaxRecordFraction = 0.75;
constexpr std::size_t kMaxOwnRecords = 1000;
/// The maximum total size of the records in one transaction.
constexpr std::size_t kMaxTransactionBytes = 48UL * 1024;
constexpr int kHttpOk = 200;
constexpr auto kListTimeout = 5s;
constexpr auto kReadRetryDelay = 400ms;

/// The record number in a key of this owner; nullopt if this controller would not write such a key.
std::optional<std::size_t> record_number(const std::string& key, const std::string& prefix) {
  std::size_t number = 0;
  const auto* key_end = key.data() + key.size();
  const auto [end, error] = std::from_chars(key.data() + prefix.size(), key_end, number);
  if (error != std::errc() || end != key_end || number >= kMaxOwnRecords) return std::nullopt;
  return number;
}

/// The controller that wrote the record with this key.
cluster::ControllerId owner_of_record(const std::string& key) {
  const auto owner = key.substr(cluster::keys::kCompletionLog.size());
  return cluster::ControllerId::from_text(owner.substr(0, owner.find('/')));
}
}  // namespace

CompletionLog::CompletionLog(net::Runtime& runtime, const wire::Settings& settings,
                             store::Client& client, cluster::Membership& membership)
    : runtime_(runtime), settings_(settings), client_(client), membership_(membership) {}

std::string CompletionLog::own_prefix() const {
  return cluster::keys::kCompletionLog + membership_.self().text() + "/";
}

void CompletionLog::write(const std::vector<BitmapChunk>& chunks, std::function<void(bool)> done) {
  const auto max_bytes =
      static_cast<std::size_t>(settings_.max_value_kib * 1024 * kMaxRecordFraction);
  const auto records = encode_completion_records(chunks, max_bytes);
  if (outcome_unknown_) {
    reread_own_records([done = std::move(done)] { done(false); });
    return;
  }
  auto update = plan_update(records);
  if (update.writes.empty()) {
    done(true);
    return;
  }
  busy_ = true;
  auto guards = membership_.ownership_guards(std::move(update.compares));
  const auto writes = std::move(update.writes);
  client_.txn(
      store::Priority::Background, guards, writes,
      [this, update = std::move(update), done = std::move(done)](
          const store::TxnResult& txn) mutable { on_written(std::move(update), txn, done); });
}

CompletionLog::RecordUpdate CompletionLog::plan_update(
    const std::vector<std::string>& records) const {
  RecordUpdate update;
  std::size_t bytes = 0;
  update.resulting_records = stored_;
  update.resulting_records.resize(std::max(update.resulting_records.size(), records.size()));
  for (std::size_t n = 0; n < update.resulting_records.size(); ++n) {
    auto& record = update.resulting_records[n];
    const std::string text = n < records.size() ? records[n] : kEmptyCompletionRecord;
    if (record.text == text) continue;
    if (update.writes.size() >= settings_.max_txn_ops ||
        bytes + text.size() > kMaxTransactionBytes) {
      update.complete = false;
      break;
    }
    const auto key = own_prefix() + std::to_string(n);
    update.compares.push_back({key, record.mod_revision});
    update.writes.push_back({key, json::parse(text)});
    bytes += text.size();
    record = {text, store::kAbsent};
  }
  return update;
}

void CompletionLog::on_written(RecordUpdate update, const store::TxnResult& txn,
                               const std::function<void(bool)>& done) {
  busy_ = false;
  const bool ok = txn.status == store::TxnStatus::Ok;
  if (ok) {
    for (std::size_t n = 0; n < update.resulting_records.size(); ++n)
      if (n >= stored_.size() || update.resulting_records[n].text != stored_[n].text)
        update.resulting_records[n].mod_revision = txn.revision;
    stored_ = std::move(update.resulting_records);
  }
  // A conflict may be caused by an earlier write of this owner that was applied late.
  outcome_unknown_ =
      txn.status == store::TxnStatus::Unknown || txn.status == store::TxnStatus::Conflict;
  done(ok && update.complete);
}

void CompletionLog::reread_own_records(std::function<void()> done) {
  busy_ = true;
  const auto prefix = own_prefix();
  list_all(store::Priority::Background, prefix,
           [this, prefix, done = std::move(done)](const Records& records) {
             busy_ = false;
             if (records) set_own_records(*records, prefix);
             done();
           });
}

void CompletionLog::set_own_records(const std::vector<ListedRecord>& records,
                                    const std::string& prefix) {
  stored_.clear();
  outcome_unknown_ = false;
  for (const auto& record : records) {
    const auto number = record_number(record.key, prefix);
    if (!number) continue;
    stored_.resize(std::max(stored_.size(), *number + 1));
    stored_[*number] = {record.value.dump(), record.mod_revision};
  }
}

void CompletionLog::list_all(store::Priority priority, const std::string& prefix,
                             std::function<void(Records)> done) {
  list_page(priority, prefix, "", {}, std::move(done));
}

void CompletionLog::list_page(store::Priority priority, const std::string& prefix,
                              const std::string& after_key,
                              std::vector<ListedRecord> records_so_far,
                              std::function<void(Records)> done) {
  client_.call(priority, {"GET", list_path(prefix, after_key), {}}, kListTimeout,
               [this, priority, prefix, records = std::move(records_so_far),
                done = std::move(done)](const net::HttpResult& response) mutable {
                 std::optional<ListedPage> page;
                 if (response.status == kHttpOk) page = decode_list_page(response.body, prefix);
                 if (!page) return done(std::nullopt);
                 std::move(page->records.begin(), page->records.end(), std::back_inserter(records));
                 if (!page->continue_after) return done(std::move(records));
                 list_page(priority, prefix, *page->continue_after, std::move(records),
                           std::move(done));
               });
}

void CompletionLog::read(std::function<void(std::vector<BitmapChunk>)> done) {
  list_all(store::Priority::Critical, cluster::keys::kCompletionLog,
           [this, done = std::move(done)](const Records& records) mutable {
             if (records) return done(decode_all(*records));
             runtime_.after(kReadRetryDelay,
                            [this, done = std::move(done)]() mutable { read(std::move(done)); });
           });
}

std::vector<BitmapChunk> CompletionLog::decode_all(const std::vector<ListedRecord>& records) {
  std::vector<BitmapChunk> chunks;
  departed_owner_records_.clear();
  for (const auto& record : records) {
    if (!membership_.is_member(owner_of_record(record.key)))
      departed_owner_records_.emplace(record.key, record.mod_revision);
    auto decoded = decode_completion_record(record.value);
    std::move(decoded.chunks.begin(), decoded.chunks.end(), std::back_inserter(chunks));
    // Tasks in unreadable chunks count as not recorded and run again.
    if (!decoded.complete) client_.decode_errors().record(record.key);
  }
  return chunks;
}

void CompletionLog::remove_departed_owners() {
  if (departed_owner_records_.empty()) return;
  std::vector<store::Operation> removals;
  std::vector<store::Compare> compares;
  for (const auto& [key, mod_revision] : departed_owner_records_) {
    if (removals.size() >= settings_.max_txn_ops / 2) break;
    removals.push_back({key, std::nullopt});
    compares.push_back({key, mod_revision});
  }
  // A removal that fails is repeated only after the records are read again.
  for (const auto& removal : removals) departed_owner_records_.erase(removal.key);
  client_.txn(store::Priority::Background, membership_.ownership_guards(std::move(compares)),
              removals, [](const store::TxnResult&) {});
}
}  // namespace limemast::jobs
