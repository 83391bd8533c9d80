#pragma once
// Writes and reads the stored records of completed tasks.
#include <functional>
#include <map>

#include "cluster/membership.hpp"
#include "jobs/completion_codec.hpp"

namespace limemast::jobs {
/// Writes the completed tasks of this owner's jobs to the key-value store, in as few records as the
/// value size allows, and reads the records of all owners.
///
/// Workers are commanded to forget a completed attempt once its completion is stored here, so an
/// older record must never replace a newer one. Each write therefore compares the revision of every
/// record that it replaces. After a write whose outcome is unknown, the records are read back
/// before the next write (test: LateTransactions.NeverRemoveRecordedCompletions).
class CompletionLog {
 public:
  CompletionLog(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                cluster::Membership& membership);
  /// Writes the records that changed. Calls `done(true)` if all given chunks are stored, and
  /// `done(false)` if another write is needed. Must not be called while `busy()`.
  void write(const std::vector<BitmapChunk>& chunks, std::function<void(bool)> done);
  /// Reads all owners' records, retrying until the store answers.
  void read(std::function<void(std::vector<BitmapChunk>)> done);
  bool busy() const { return busy_; }
  /// Removes the records of controllers that were not members when all records were last read. The
  /// present owners must have written the content of these records again.
  void remove_departed_owners();

 private:
  using Records = std::optional<std::vector<ListedRecord>>;  ///< nullopt: the store did not answer
  /// One of this owner's records as it is in the store.
  struct StoredRecord {
    std::string text;
    store::Revision mod_revision{};  ///< kAbsent: not stored
  };
  /// A transaction that replaces the records that changed.
  struct RecordUpdate {
    std::vector<store::Operation> writes;
    std::vector<store::Compare> compares;
    std::vector<StoredRecord> resulting_records;  ///< this owner's records after the transaction
    bool complete = true;  ///< false: further transactions must write the remaining records
  };
  RecordUpdate plan_update(const std::vector<std::string>& records) const;
  void on_written(RecordUpdate update, const store::TxnResult& txn,
                  const std::function<void(bool)>& done);
  /// Lists all records under a prefix, page by page.
  void list_all(store::Priority priority, const std::string& prefix,
                std::function<void(Records)> done);
  /// Lists the page that follows `after_key`, and then all further pages.
  void list_page(store::Priority priority, const std::string& prefix, const std::string& after_key,
                 std::vector<ListedRecord> records_so_far, std::function<void(Records)> done);
  /// Reads this owner's records back after a write whose outcome is unknown.
  void reread_own_records(std::function<void()> done);
  void set_own_records(const std::vector<ListedRecord>& records, const std::string& prefix);
  std::vector<BitmapChunk> decode_all(const std::vector<ListedRecord>& records);
  std::string own_prefix() const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  cluster::Membership& membership_;
  /// This owner's records, by record number. Each incarnation of a controller writes under its own
  /// prefix, so there are none before the first write.
  std::vector<StoredRecord> stored_;
  bool outcome_unknown_ = false;  ///< the last write may or may not be applied, now or later
  std::map<std::string, store::Revision> departed_owner_records_;  ///< by key
  bool busy_ = false;
};
}  // namespace limemast::jobs
