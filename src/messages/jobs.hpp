#pragma once
// Messages between controllers about job completion, job status and cancellation.
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::messages {
/// Announces that the job's final record is in the key-value store.
struct JobEnded {
  static constexpr const char* kKind = "final";
  std::string uid;
  std::string phase;  ///< "done" or "cancelled", as in the record
  std::uint32_t completed_tasks = 0;
  bool operator==(const JobEnded&) const = default;
};
void to_json(wire::json& json, const JobEnded& message);
void from_json(const wire::json& json, JobEnded& message);

/// Acknowledges JobEnded.
struct JobEndedAck {
  static constexpr const char* kKind = "final heard";
  std::string uid;
  bool operator==(const JobEndedAck&) const = default;
};
void to_json(wire::json& json, const JobEndedAck& message);
void from_json(const wire::json& json, JobEndedAck& message);

/// Asks the owner of the jobs for their status.
struct StatusQuery {
  static constexpr const char* kKind = "status";
  std::uint64_t id = 0;  ///< correlates the reply with the query
  std::vector<std::string> uids;
  bool operator==(const StatusQuery&) const = default;
};
void to_json(wire::json& json, const StatusQuery& message);
void from_json(const wire::json& json, StatusQuery& message);

/// The status of each queried job, in the order of the query.
struct StatusReply {
  static constexpr const char* kKind = "state";
  struct Entry {
    unsigned phase = 0;  ///< numeric value of jobs::Phase
    std::uint32_t completed_tasks = 0;
    std::uint32_t running_tasks = 0;
    bool operator==(const Entry&) const = default;
  };
  std::uint64_t id = 0;
  std::vector<std::optional<Entry>> states;  ///< nullopt: the owner does not know the job's status
  bool operator==(const StatusReply&) const = default;
};
void to_json(wire::json& json, const StatusReply& message);
void from_json(const wire::json& json, StatusReply& message);

/// Asks the owner of the job to cancel it on behalf of a user.
struct CancelJob {
  static constexpr const char* kKind = "abort";
  std::uint64_t id = 0;  ///< correlates the reply with the request
  std::string uid;
  bool operator==(const CancelJob&) const = default;
};
void to_json(wire::json& json, const CancelJob& message);
void from_json(const wire::json& json, CancelJob& message);

/// The result of a cancellation.
struct CancelReply {
  static constexpr const char* kKind = "aborted";
  std::uint64_t id = 0;
  std::string phase;  ///< the job's final phase; empty if not decided yet
  bool operator==(const CancelReply&) const = default;
};
void to_json(wire::json& json, const CancelReply& message);
void from_json(const wire::json& json, CancelReply& message);
}  // namespace limemast::messages
