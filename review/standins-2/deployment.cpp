#include "deployment.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {
namespace {
std::string label(int node) { return "drover-" + std::to_string(node); }
std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }
std::size_t index(int node) { return static_cast<std::size_t>(node); }
}  // namespace

Deployment::Deployment(DeploymentSettings settings)
    : settings_(std::move(settings)), world_(settings_.cancel_s), store_(kNodes) {
  for (int node = 0; node < kNodes; ++node) {
    serve_.push_back(free_port());
    back_.push_back(free_port());
    pids_.push_back(-1);
  }
  for (int from = 0; from < kNodes; ++from)
    for (int to = 0; to < kNodes; ++to)
      if (from != to) links_[{from, to}] = std::make_unique<Proxy>(back_[index(to)]);
  settings_.cloud.districts = settings_.districts;
  settings_.cloud.workers = settings_.workers;
  cloud_ = std::make_unique<Cloud>(world_, settings_.cloud, serve_);
  std::thread([this] {
    for (;;) {
      sleep_for(0.1);
      world_.check_cancelled();
    }
  }).detach();
}

Deployment::~Deployment() {
  for (int node = 0; node < kNodes; ++node) kill_node(node);
}

std::string Deployment::path(int node, const std::string& extension) const {
  return settings_.directory + "/" + label(node) + "." + extension;
}

void Deployment::write_settings(int node) const {
  json others = json::array();
  for (int other = 0; other < kNodes; ++other)
    if (other != node)
      others.push_back({{"label", label(other)},
                        {"domain", settings_.districts[index(other) % settings_.districts.size()]},
                        {"endpoint", address(links_.at({node, other})->port())}});
  const json settings{
      {"label", label(node)},
      {"domain", settings_.districts[index(node) % settings_.districts.size()]},
      {"serve_on", address(serve_[index(node)])},
      {"back", address(back_[index(node)])},
      {"others", others},
      {"outside", {{"cloud", address(cloud_->port())}, {"state", address(store_.port(node))}}},
      {"settings",
       {{"size", kNodes},
        {"zones", settings_.districts},
        {"teams", settings_.teams},
        {"objectives", json::array()},
        {"workers",
         {{"report_s", settings_.workers.report_s},
          {"lease_s", settings_.workers.lease_s},
          {"gang_wait_s", 30.0},
          {"gang_peer_s", 4.0},
          {"cancel_s", settings_.cancel_s}}},
        {"state", settings_.state},
        {"cloud", {{"rps", 5.0}, {"list_lag_s", settings_.cloud.list_lag_s}}},
        {"limits", {{"cpu", 0.3}, {"mem_mb", 188.0}, {"max_connections", 3666}}},
        {"skew_ms", 100.0}}}};
  std::ofstream(path(node, "json")) << settings.dump(1);
}

void Deployment::start(int node) {
  write_settings(node);
  const auto config = path(node, "json");
  const auto log = path(node, "log");
  auto level = "LOG_LEVEL=" + settings_.log_level;
  std::array<char*, 2> environment{level.data(), nullptr};
  std::vector<std::string> words;
  std::istringstream command(settings_.command + " " + config);
  for (std::string word; command >> word;) words.push_back(word);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDERR_FILENO);
    dup2(fd, STDOUT_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(99);
  }
  pids_[index(node)] = pid;
  record("node " + std::to_string(node) + " is started");
}

void Deployment::signal(int node, int number) const {
  if (pids_[index(node)] > 0) kill(pids_[index(node)], number);
  record("node " + std::to_string(node) + " gets signal " + std::to_string(number));
}

void Deployment::kill_node(int node) {
  auto& pid = pids_[index(node)];
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
  record("node " + std::to_string(node) + " is killed");
}

bool Deployment::ended(int node) {
  auto& pid = pids_[index(node)];
  int status = 0;
  if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) return false;
  pid = -1;
  Record::get().broken("crash", "node " + std::to_string(node) + " ended by itself, status " +
                                    std::to_string(status));
  return true;
}

bool Deployment::ready(int node) const {
  return call(serve_port(node), {"GET", "/ready", ""}, 1).status == 200;
}

bool Deployment::wait_until_ready(std::size_t machines, double timeout) {
  const double until = now() + timeout;
  while (now() < until) {
    std::size_t registered = 0;
    for (const auto& [key, value] : store_.list("w/machine/")) registered += value.size();
    if (registered >= machines && ready(0) && ready(1) && ready(2)) return true;
    sleep_for(0.1);
  }
  Record::get().cannot_run("the deployment is not ready in time");
  return false;
}

int Deployment::leader() {
  const auto value = store_.value("w/leader");
  if (!value || !value->contains("tag")) return -1;
  const auto tag = value->at("tag").get<std::string>();
  return tag.size() > 7 ? tag[7] - '0' : -1;
}

Proxy& Deployment::link(int from, int to) { return *links_.at({from, to}); }

void Deployment::set_links(int a, int b, Proxy::Mode mode) {
  link(a, b).set(mode);
  link(b, a).set(mode);
}

void Deployment::set_links(int node, Proxy::Mode mode) {
  for (int other = 0; other < kNodes; ++other)
    if (other != node) set_links(node, other, mode);
}

bool Deployment::submit(const Job& job, int node, double timeout) {
  const auto uid = job.body["uid"].get<std::string>();
  world_.add_job(uid, job);
  const double until = now() + timeout;
  for (int at = std::max(node, 0);; at = node < 0 ? (at + 1) % kNodes : node) {
    const double asked = now();
    const auto response = call(serve_port(at), {"POST", "/submissions", job.body.dump()}, 5);
    record("submission of " + uid + " at node " + std::to_string(at) + " -> " +
           std::to_string(response.status) + " " + response.body);
    world_.told(uid, response, asked, at);
    if (response.status == 200 || response.status == 201) return world_.accepted(uid), true;
    if (response.status == 400 || response.status == 422 || now() > until) return false;
    sleep_for(1);
  }
}

bool Deployment::cancel(const std::string& uid, int node, double timeout) {
  world_.cancel_asked(uid);
  const double until = now() + timeout;
  for (int at = std::max(node, 0);; at = node < 0 ? (at + 1) % kNodes : node) {
    const double asked = now();
    const auto response = call(serve_port(at), {"POST", "/submissions/" + uid + "/abort", ""}, 5);
    record("cancellation of " + uid + " at node " + std::to_string(at) + " -> " +
           std::to_string(response.status) + " " + response.body);
    world_.told(uid, response, asked, at);
    if (response.status == 200) return true;
    if (now() > until) return false;
    sleep_for(1);
  }
}

Response Deployment::poll(const std::string& uid, int node, double timeout) {
  const double asked = now();
  auto response = call(serve_port(node), {"GET", "/submissions/" + uid, ""}, timeout);
  record("question for " + uid + " at node " + std::to_string(node) + " -> " +
         std::to_string(response.status) + " " + response.body);
  world_.told(uid, response, asked, node);
  return response;
}
}  // namespace standins
