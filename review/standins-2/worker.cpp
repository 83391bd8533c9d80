#include "worker.hpp"

#include <random>

namespace standins {
namespace {
constexpr double kReportTimeout = 4;
constexpr double kMinReportGap = 0.5;
constexpr double kFetch = 0.3;

double jitter() {
  static std::mutex mutex;
  static std::mt19937 random(7);
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(0.75, 1.25)(random);
}
}  // namespace

Worker::Worker(World& world, std::string name, MachineType type, std::string district, bool spot,
               WorkerSettings settings, std::vector<int> nodes, std::size_t first_node)
    : world_(world),
      name_(std::move(name)),
      type_(std::move(type)),
      district_(std::move(district)),
      spot_(spot),
      settings_(settings),
      nodes_(std::move(nodes)),
      node_(first_node),
      last_answered_sent_(now()) {
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    reaches_.push_back(std::make_unique<std::atomic<bool>>(true));
  server_ = std::make_unique<HttpServer>([this](const Request& r) { return serve(r); });
  std::thread([this] { report_loop(); }).detach();
  std::thread([this] { task_loop(); }).detach();
}

std::uint64_t Worker::session() {
  const std::lock_guard lock(mutex_);
  return tenure_;
}

std::size_t Worker::live_tasks() {
  const std::lock_guard lock(mutex_);
  std::size_t live = 0;
  for (const auto& task : tasks_) live += task.phase != "exited";
  return live;
}

bool Worker::has_room_for(const Job& job) {
  const std::lock_guard lock(mutex_);
  double cpus = type_.cpus - job.body["cpus"].get<double>();
  double ram = type_.ram_gb - job.body["ramGb"].get<double>();
  for (const auto& task : tasks_) {
    if (task.phase == "exited") continue;
    cpus -= task.job.body["cpus"].get<double>();
    ram -= task.job.body["ramGb"].get<double>();
  }
  return !gone_ && !hangs() && cpus >= 0 && ram >= 0;
}

void Worker::take_away() {
  gone_ = true;
  server_->stop();
  const std::lock_guard lock(mutex_);
  for (const auto& task : tasks_) world_.off_machine(task.shard, name_);
  tasks_.clear();
  record("machine " + name_ + " is gone");
}

json Worker::report() {
  json shards = json::array();
  for (const auto& task : tasks_) {
    json one{{"shard", task.shard}, {"tryNo", task.attempt}, {"phase", task.phase}};
    if (task.phase == "exited") one["cause"] = task.cause;
    if (task.kept) one["kept"] = true;
    shards.push_back(one);
  }
  return {{"host", name_},         {"address", address()}, {"flavor", type_.name},
          {"district", district_}, {"reclaimable", spot_}, {"tenure", tenure_},
          {"tick", ++tick_},       {"mandate", mandate_},  {"warningS", nullptr},
          {"shards", shards}};
}

Response Worker::serve(const Request& request) {
  while ((hangs() || deaf_) && !gone_) sleep_for(0.02);
  if (gone_) return {};
  const std::lock_guard lock(mutex_);
  largest_message_ = std::max<std::size_t>(largest_message_, request.body.size());
  check_lease();
  if (request.path == "/show") return {200, report().dump()};
  if (request.path != "/orders") return {404, "{}"};
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("mandate") || !body.contains("tenure"))
    return {400, "{}"};
  const auto token = body["mandate"].get<std::uint64_t>();
  const bool accepted = token >= mandate_ && body["tenure"].get<std::uint64_t>() == tenure_;
  record("direct to " + name_ + ": " + request.body +
         (accepted ? "" : " -> 409, highest token " + std::to_string(mandate_)));
  if (!accepted) return {409, report().dump()};
  if (token > mandate_) {
    mandate_ = token;
    if (now() - last_token_change_ > settings_.lease_s / 2) {
      last_token_change_ = now();
      changed();
    }
  }
  apply(body.value("orders", json::array()));
  return {200, report().dump()};
}

void Worker::apply(const json& orders) {
  for (const auto& order : orders) {
    const auto shard = order.at("shard").get<std::string>();
    const auto attempt = order.at("tryNo").get<std::uint64_t>();
    if (order["verb"] == "run") {
      run(shard, attempt);
      continue;
    }
    for (auto it = tasks_.begin(); it != tasks_.end(); ++it) {
      if (it->shard != shard || it->attempt != attempt) continue;
      if (order["verb"] == "kill") stop(*it, order.value("windDownS", 0.0));
      if (order["verb"] == "clear" && it->phase == "exited") tasks_.erase(it);
      break;
    }
  }
}

void Worker::run(const std::string& shard, std::uint64_t attempt) {
  double cpus = 0;
  double ram = 0;
  bool in_use = false;
  for (const auto& task : tasks_) {
    if (task.shard == shard && task.attempt == attempt) return;
    if (task.phase == "exited") continue;
    in_use = in_use || task.shard == shard;
    cpus += task.job.body["cpus"].get<double>();
    ram += task.job.body["ramGb"].get<double>();
  }
  Task task{shard, attempt, "exited", "", false, 0, {}};
  const auto job = world_.job(shard.substr(0, shard.find('/')));
  if (job) task.job = *job;
  if (!job)
    task.cause = "no_such";
  else if (in_use)
    task.cause = "in_use";
  else if (cpus + job->body["cpus"].get<double>() > type_.cpus + 1e-9 ||
           ram + job->body["ramGb"].get<double>() > type_.ram_gb + 1e-9)
    task.cause = "full";
  else
    task.phase = "fetching";
  const bool has_image = job && images_.contains(job->body["bundle"].get<std::string>());
  task.until = now() + (has_image ? 0 : kFetch);
  record("machine " + name_ + ": run " + shard + " attempt " + std::to_string(attempt) + " -> " +
         (task.phase == "exited" ? task.cause : task.phase));
  tasks_.push_back(std::move(task));
  changed();
  // With its image there, the task is on the machine at once.
  advance_tasks();
}

void Worker::exit(Task& task, const std::string& cause, bool kept) {
  task.phase = "exited";
  task.cause = cause;
  task.kept = kept;
  record("machine " + name_ + ": " + task.shard + " attempt " + std::to_string(task.attempt) +
         " exits, " + cause);
  world_.off_machine(task.shard, name_);
  changed();
}

void Worker::stop(Task& task, double wind_down) {
  if (task.phase == "exited") return;
  const double cost = task.job.body["snapshotCostS"].get<double>();
  const bool saves = task.job.body["snapshotEveryS"].get<double>() > 0;
  if (task.phase == "saving" && wind_down > 0) return;
  if (task.phase == "running" && saves && wind_down >= cost && wind_down > 0) {
    task.phase = "saving";
    task.until = now() + cost;
    changed();
    return;
  }
  exit(task, "halted");
}

void Worker::advance_tasks() {
  for (auto& task : tasks_) {
    if (task.phase == "exited" || now() < task.until) continue;
    if (task.phase == "saving") {
      exit(task, "halted", true);
    } else if (task.phase == "fetching") {
      images_.insert(task.job.body["bundle"].get<std::string>());
      world_.on_machine(task.shard, name_, task.attempt);
      task.phase = "running";
      task.until = now() + (task.job.fails ? task.job.fails_after_s : task.job.run_s);
      if (!task.job.service() && world_.is_completed(task.shard)) exit(task, "done");
      changed();
    } else if (task.job.fails) {
      exit(task, "error");
    } else if (!task.job.service()) {
      world_.completed(task.shard);
      exit(task, "done");
    }
  }
}

void Worker::check_lease() {
  if (now() - last_answered_sent_ <= settings_.lease_s) return;
  for (const auto& task : tasks_) world_.off_machine(task.shard, name_);
  tasks_.clear();
  ++tenure_;
  last_answered_sent_ = now();
  record("machine " + name_ + ": its lease has expired, session " + std::to_string(tenure_));
  changed();
}

void Worker::task_loop() {
  while (!gone_) {
    sleep_for(0.02);
    if (hangs()) continue;
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    check_lease();
    advance_tasks();
  }
}

void Worker::report_loop() {
  while (!gone_) {
    sleep_for(0.02);
    if (hangs()) continue;
    const bool due = now() >= next_report_ || (change_ && now() >= last_report_ + kMinReportGap);
    if (due) report_once();
  }
}

void Worker::report_once() {
  json body;
  std::uint64_t tenure = 0;
  const double sent = now();
  const auto node = node_.load();
  {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    check_lease();
    change_ = false;
    body = report();
    tenure = tenure_;
  }
  last_report_ = sent;
  next_report_ = sent + settings_.report_s * jitter();
  Response response;
  if (*reaches_[node])
    response = call(nodes_[node], {"POST", "/hello", body.dump()}, kReportTimeout);
  else
    sleep_for(kReportTimeout);
  while (hangs() && !gone_) sleep_for(0.02);
  if (!*reaches_[node] || now() > sent + kReportTimeout) response = {};
  largest_message_ = std::max<std::size_t>(largest_message_, response.body.size());
  const auto answer = response.parsed();
  if (response.status == 200 && answer.is_object()) {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    check_lease();
    const auto token = answer.value("mandate", 0ULL);
    if (tenure != tenure_ || !answer.contains("mandate") || token < mandate_) {
      record("machine " + name_ + " drops a response of node " + std::to_string(node));
      return;
    }
    if (token > mandate_ && now() - last_token_change_ > settings_.lease_s / 2) {
      last_token_change_ = now();
      changed();
    }
    mandate_ = token;
    last_answered_sent_ = std::max(last_answered_sent_, sent);
    const auto orders = answer.value("orders", json::array());
    if (!orders.empty())
      record("response of node " + std::to_string(node) + " to " + name_ + ": " + answer.dump());
    apply(orders);
    return;
  }
  const auto size = body.dump().size();
  record("machine " + name_ + ": report of " + std::to_string(size) + " bytes to node " +
         std::to_string(node) + " -> " + std::to_string(response.status));
  if (response.status == 413) too_large_ = size;
  std::size_t next = (node + 1) % nodes_.size();
  double pause = 1;
  if (response.status == 421 && answer.is_object() && answer.contains("home")) {
    const auto home = answer["home"].get<std::string>();
    const auto named = static_cast<std::size_t>(home.back() - '0');
    if (named < nodes_.size() && named != node) {
      next = named;
      pause = 0.1;
    }
  }
  sleep_for(pause);
  node_ = next;
  next_report_ = 0;
}
}  // namespace standins
