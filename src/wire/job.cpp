#include "wire/job.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace limemast::wire {
namespace {
// Field names and values of a submission.
constexpr auto kUid = "uid";
constexpr auto kWorkload = "workload";
constexpr auto kTeam = "owner";
constexpr auto kShape = "shape";
constexpr auto kShapeService = "daemon";
constexpr auto kShapeBatch = "batch";
constexpr auto kShapeGang = "group";
constexpr auto kRank = "rank";
constexpr auto kTasks = "shards";
constexpr auto kCpus = "cpus";
constexpr auto kAccelerators = "accelerators";
constexpr auto kRamGb = "ramGb";
constexpr auto kImage = "bundle";
constexpr auto kImageGb = "sizeGb";
constexpr auto kTypes = "flavors";
constexpr auto kZone = "district";
constexpr auto kOneZone = "samePlace";
constexpr auto kSpread = "apart";
constexpr auto kSpot = "reclaimable";
constexpr auto kEstimate = "expectS";
constexpr auto kCheckpointInterval = "snapshotEveryS";
constexpr auto kCheckpointDuration = "snapshotCostS";
constexpr auto kDue = "dueS";
/// The field name in an error about the submission as a whole.
constexpr auto kBody = "body";

constexpr std::pair<const char*, Rank> kRanks[] = {{"low", Rank::Low},
                                                   {"standard", Rank::Standard},
                                                   {"urgent", Rank::Urgent},
                                                   {"production", Rank::Production}};

constexpr std::uint32_t kMaxTasks = 100'000;
constexpr std::size_t kMaxTextLength = 128;
constexpr double kMaxAmount = 1e9;
constexpr std::string_view kIdPrefix = "wk-";
constexpr std::size_t kMinIdDigits = 6;
constexpr std::size_t kMaxIdDigits = 18;
constexpr char kTaskSeparator = '/';

bool all_digits(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Reads the fields of one object and records the first that is missing or invalid.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  std::string text(const char* field) {
    const auto it = object_.find(field);
    if (it == object_.end() || !it->is_string()) return fail(field), std::string{};
    const auto& text = it->get_ref<const std::string&>();
    if (text.empty() || text.size() > kMaxTextLength) return fail(field), std::string{};
    return text;
  }
  double amount(const char* field) {
    const auto it = object_.find(field);
    if (it == object_.end() || !it->is_number()) return fail(field), 0.0;
    const double value = it->get<double>();
    if (!std::isfinite(value) || value < 0 || value > kMaxAmount) return fail(field), 0.0;
    return value;
  }
  Seconds seconds(const char* field) { return Seconds(amount(field)); }
  bool flag(const char* field) {
    const auto it = object_.find(field);
    if (it == object_.end() || !it->is_boolean()) return fail(field), false;
    return it->get<bool>();
  }
  std::uint32_t count(const char* field, std::uint32_t max) {
    const auto it = object_.find(field);
    if (it == object_.end() || !it->is_number_integer() || it->get<std::int64_t>() < 1 ||
        it->get<std::int64_t>() > max)
      return fail(field), 1;
    return it->get<std::uint32_t>();
  }
  /// Returns nullptr if the field is missing or null.
  const json* optional(const char* field) const {
    const auto it = object_.find(field);
    return it == object_.end() || it->is_null() ? nullptr : &*it;
  }
  void fail(const char* field) {
    if (!error_) error_ = FieldError{field};
  }
  const std::optional<FieldError>& error() const { return error_; }

 private:
  const json& object_;
  std::optional<FieldError> error_;
};

void read_shape(FieldReader& in, JobSpec& spec) {
  const auto shape = in.text(kShape);
  spec.service = shape == kShapeService;
  spec.gang = shape == kShapeGang;
  if (!spec.service && !spec.gang && shape != kShapeBatch) in.fail(kShape);
}

void read_rank(FieldReader& in, JobSpec& spec) {
  const auto rank = in.text(kRank);
  const auto* known = std::find_if(std::begin(kRanks), std::end(kRanks),
                                   [&](const auto& entry) { return rank == entry.first; });
  if (known == std::end(kRanks)) return in.fail(kRank);
  spec.rank = known->second;
}

void read_types(FieldReader& in, JobSpec& spec) {
  const auto* types = in.optional(kTypes);
  if (!types) return;
  if (!types->is_array()) return in.fail(kTypes);
  spec.types.emplace();
  for (const auto& type : *types) {
    if (!type.is_string()) return in.fail(kTypes);
    spec.types->push_back(type.get<std::string>());
  }
}

void read_zone(FieldReader& in, JobSpec& spec) {
  const auto* zone = in.optional(kZone);
  if (!zone) return;
  if (!zone->is_string()) return in.fail(kZone);
  spec.zone = zone->get<std::string>();
}

const char* shape_of(const JobSpec& spec) {
  if (spec.service) return kShapeService;
  return spec.gang ? kShapeGang : kShapeBatch;
}
}  // namespace

const char* name_of(Rank rank) {
  return std::find_if(std::begin(kRanks), std::end(kRanks),
                      [&](const auto& entry) { return entry.second == rank; })
      ->first;
}

bool JobSpec::allows_type(const std::string& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

bool valid_job_id(const std::string& id) {
  std::string_view rest(id);
  if (rest.substr(0, kIdPrefix.size()) != kIdPrefix) return false;
  rest.remove_prefix(kIdPrefix.size());
  return rest.size() >= kMinIdDigits && rest.size() <= kMaxIdDigits && all_digits(rest);
}

Result<JobSpec, FieldError> parse_submission(const json& body) {
  if (!body.is_object()) return FieldError{kBody};
  FieldReader in(body);
  JobSpec spec;
  spec.uid = in.text(kUid);
  if (!valid_job_id(spec.uid)) in.fail(kUid);
  spec.workload = in.text(kWorkload);
  spec.team = in.text(kTeam);
  read_shape(in, spec);
  read_rank(in, spec);
  spec.tasks = in.count(kTasks, kMaxTasks);
  spec.cpus = in.amount(kCpus);
  spec.accelerators = in.amount(kAccelerators);
  spec.ram_gb = in.amount(kRamGb);
  spec.image = in.text(kImage);
  spec.image_gb = in.amount(kImageGb);
  read_types(in, spec);
  read_zone(in, spec);
  spec.one_zone = in.flag(kOneZone);
  spec.spread = in.flag(kSpread);
  spec.spot = in.flag(kSpot);
  spec.estimate = in.seconds(kEstimate);
  spec.checkpoint_interval = in.seconds(kCheckpointInterval);
  spec.checkpoint_duration = in.seconds(kCheckpointDuration);
  if (in.optional(kDue)) spec.due = in.seconds(kDue);
  if (in.error()) return *in.error();
  return spec;
}

std::optional<JobSpec> parse_submission(const json& body, std::string& error) {
  error.clear();
  auto spec = parse_submission(body);
  if (spec) return std::move(*spec);
  error = spec.error().field;
  return std::nullopt;
}

json to_json(const JobSpec& spec) {
  json out{{kUid, spec.uid},
           {kWorkload, spec.workload},
           {kTeam, spec.team},
           {kShape, shape_of(spec)},
           {kRank, name_of(spec.rank)},
           {kTasks, spec.tasks},
           {kCpus, spec.cpus},
           {kAccelerators, spec.accelerators},
           {kRamGb, spec.ram_gb},
           {kImage, spec.image},
           {kImageGb, spec.image_gb},
           {kOneZone, spec.one_zone},
           {kSpread, spec.spread},
           {kSpot, spec.spot},
           {kEstimate, spec.estimate.count()},
           {kCheckpointInterval, spec.checkpoint_interval.count()},
           {kCheckpointDuration, spec.checkpoint_duration.count()}};
  if (spec.types) out[kTypes] = *spec.types;
  if (spec.zone) out[kZone] = *spec.zone;
  if (spec.due) out[kDue] = spec.due->count();
  return out;
}

std::optional<TaskName> parse_task_name(const std::string& name) {
  const auto separator = name.find(kTaskSeparator);
  if (separator == std::string::npos) return std::nullopt;
  TaskName task{name.substr(0, separator), 0};
  const char* last = name.data() + name.size();
  const auto [end, error] = std::from_chars(name.data() + separator + 1, last, task.index);
  if (error != std::errc{} || end != last || !valid_job_id(task.uid)) return std::nullopt;
  return task;
}

bool parse_task_name(const std::string& name, std::string& uid, std::uint32_t& index) {
  auto task = parse_task_name(name);
  if (!task) return false;
  uid = std::move(task->uid);
  index = task->index;
  return true;
}

std::string task_name(const std::string& uid, std::uint32_t index) {
  return uid + kTaskSeparator + std::to_string(index);
}
}  // namespace limemast::wire
