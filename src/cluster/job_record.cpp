#include "cluster/job_record.hpp"

namespace limemast::cluster {
namespace {
// Fields of a job record.
constexpr const char* kSpecField = "spec";
constexpr const char* kAcceptedByField = "by";
constexpr const char* kEpochField = "generation";
constexpr const char* kIsLongField = "long";
constexpr const char* kSubmittedField = "at";  ///< milliseconds since the Unix epoch
// Fields of a final record.
constexpr const char* kPhaseField = "phase";
constexpr const char* kCompletedPhase = "done";  ///< a value of the phase
constexpr const char* kTasksField = "tasks";
constexpr const char* kTeamField = "team";
constexpr const char* kCpusField = "cpus";
constexpr const char* kAcceleratorsField = "accelerators";

std::optional<double> amount_in(const wire::json& record, const char* field) {
  const auto it = record.find(field);
  if (it == record.end() || !it->is_number()) return std::nullopt;
  const auto amount = it->get<double>();
  return amount < 0 ? std::nullopt : std::optional(amount);
}
}  // namespace

wire::json encode_job_record(const JobRecord& record) {
  const auto submitted =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.submitted.time_since_epoch());
  return {{kSpecField, wire::to_json(record.spec)},
          {kAcceptedByField, record.accepted_by},
          {kEpochField, record.epoch},
          {kIsLongField, record.is_long},
          {kSubmittedField, submitted.count()}};
}

std::optional<JobRecord> decode_job_record(const wire::json& record) try {
  std::string error;
  auto spec = wire::parse_submission(record.at(kSpecField), error);
  if (!spec) return std::nullopt;
  JobRecord out;
  out.spec = std::move(*spec);
  out.accepted_by = record.at(kAcceptedByField).get<ids::ControllerId>();
  out.epoch = record.at(kEpochField).get<ids::EpochNumber>();
  out.is_long = record.at(kIsLongField).get<bool>();
  const auto submitted = record.at(kSubmittedField).get<std::int64_t>();
  out.submitted = net::WallTime(std::chrono::milliseconds(submitted));
  return out;
} catch (const wire::json::exception&) {
  return std::nullopt;
}

wire::json encode_final_record(const wire::JobSpec& spec, const char* phase) {
  return {{kPhaseField, phase},
          {kTasksField, spec.tasks},
          {kTeamField, spec.team},
          {kCpusField, spec.cpus},
          {kAcceleratorsField, spec.accelerators}};
}

bool is_completion(const wire::json& final_record) {
  return final_record.is_object() &&
         final_record.value(kPhaseField, wire::json()) == kCompletedPhase;
}

std::optional<TaskUsage> decode_task_usage(const wire::json& final_record) {
  if (!final_record.is_object()) return std::nullopt;
  const auto team = final_record.find(kTeamField);
  const auto cpus = amount_in(final_record, kCpusField);
  const auto accelerators = amount_in(final_record, kAcceleratorsField);
  if (team == final_record.end() || !team->is_string() || !cpus || !accelerators)
    return std::nullopt;
  return TaskUsage{team->get<std::string>(), *cpus, *accelerators};
}
}  // namespace limemast::cluster
