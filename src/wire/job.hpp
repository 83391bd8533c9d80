#pragma once
// Job specifications as users submit them, their JSON form, and the names of jobs and tasks.
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wire/result.hpp"

namespace limemast::wire {
using nlohmann::json;
/// Durations on the wire and in settings, which allow fractions of a second.
using Seconds = std::chrono::duration<double>;

/// Priority class of a job, lowest first.
enum class Rank { Low, Standard, Urgent, Production };
/// The spelling of a rank on the wire.
const char* name_of(Rank rank);

/// Specification of a job: its shape and the requirements of each task. It does not change after
/// the job has been accepted.
struct JobSpec {
  std::string uid;       ///< id of the job, chosen by the user; see valid_job_id()
  std::string workload;  ///< class of jobs, to which objectives refer
  std::string team;      ///< the team whose quota the job uses
  bool service = false;  ///< the tasks run until the job is cancelled
  bool gang = false;     ///< gang scheduling: the tasks run all together or not at all
  Rank rank = Rank::Standard;
  std::uint32_t tasks = 1;
  double cpus = 0;          ///< per task
  double accelerators = 0;  ///< per task
  double ram_gb = 0;        ///< per task
  std::string image;        ///< which a worker downloads before it starts a task
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  ///< allowed machine types; nullopt: all
  std::optional<std::string> zone;                ///< the only allowed zone; nullopt: any
  bool one_zone = false;                          ///< all tasks must run in the same zone
  bool spread = false;                            ///< at most half of the tasks may run in one zone
  bool spot = false;                              ///< the tasks may run on spot machines
  Seconds estimate{0};                            ///< run time of a task that the user expects
  Seconds checkpoint_interval{0};                 ///< 0: the tasks write no checkpoints
  Seconds checkpoint_duration{0};                 ///< time that a task needs to write one
  std::optional<Seconds> due;                     ///< deadline, counted from the submission

  bool allows_type(const std::string& type) const;
  /// With `spread`, half of the tasks, rounded up; otherwise all.
  std::uint32_t max_tasks_per_zone() const { return spread ? (tasks + 1) / 2 : tasks; }
  /// Time to write a checkpoint before a task is killed; 0 if it writes no checkpoints.
  Seconds grace_period() const {
    return checkpoint_interval.count() > 0 ? checkpoint_duration : Seconds(0);
  }
};

/// Whether the text has the form of a job id, such as "wk-000412". A job with any other id cannot
/// have been submitted.
bool valid_job_id(const std::string& id);

/// Parses a submission, or a specification from to_json(). Accepts any JSON value. The error
/// names the first field that is missing or invalid.
Result<JobSpec, FieldError> parse_submission(const json& body);
/// The same with an output parameter: `error` is the name of the invalid field, empty on success.
std::optional<JobSpec> parse_submission(const json& body, std::string& error);
json to_json(const JobSpec& spec);

/// One task of a job.
struct TaskName {
  std::string uid;  ///< of the job
  std::uint32_t index = 0;
  bool operator==(const TaskName&) const = default;
};
/// Parses a name such as "wk-000412/3". Returns nullopt if the text has another form.
std::optional<TaskName> parse_task_name(const std::string& name);
/// The same with output parameters, which are unspecified if it returns false.
bool parse_task_name(const std::string& name, std::string& uid, std::uint32_t& index);
/// The name of a task on the wire.
std::string task_name(const std::string& uid, std::uint32_t index);
}  // namespace limemast::wire
