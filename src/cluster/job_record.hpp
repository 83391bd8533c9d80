#pragma once
// Codec of the job records in the key-value store. An active job has a job record, which a
// transaction replaces with a final record when the job ends.
#include <optional>
#include <string>

#include "ids/controller_id.hpp"
#include "ids/fencing.hpp"
#include "net/runtime.hpp"
#include "wire/job.hpp"

namespace limemast::cluster {
/// Record of an active job.
struct JobRecord {
  wire::JobSpec spec;
  ids::ControllerId accepted_by;
  ids::EpochNumber epoch{};  ///< epoch in which the job was accepted
  bool is_long = false;      ///< owned by the leader instead of the accepting controller
  net::WallTime submitted{};
};

wire::json encode_job_record(const JobRecord& record);
/// Returns nullopt if the record cannot be decoded. Never throws.
std::optional<JobRecord> decode_job_record(const wire::json& record);

/// Encodes the record of a job that ended in `phase`. The record includes the resources of one task
/// because tasks may still be on unreachable machines, and a new leader that never saw the job
/// record must count them against the team's limit.
wire::json encode_final_record(const wire::JobSpec& spec, const char* phase);

/// Whether the job of this final record ended because its tasks were completed. False if the record
/// cannot be decoded.
bool is_completion(const wire::json& final_record);

/// Resources that one task uses, and the team whose limit they count against.
struct TaskUsage {
  std::string team;
  double cpus = 0;
  double accelerators = 0;
};
/// Decodes the task resources in a final record. Returns nullopt if they are missing, as in records
/// of earlier builds. Never throws.
std::optional<TaskUsage> decode_task_usage(const wire::json& final_record);
}  // namespace limemast::cluster
