#include "cluster/membership.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
using store::json;
constexpr auto kRetry = 400ms;
constexpr auto kTouchEvery = 1s;
constexpr auto kTouchTimeout = 1500ms;
/// Taken off the grant's time, beyond the 0.1% by which clocks may differ.
constexpr auto kGrantMargin = 300ms;
/// Between the end of a cut-off controller's grant plus a lease, and the time by which cancelled tasks are gone.
constexpr auto kCancelMargin = 3s;
constexpr auto kMinTtl = 3s;
/// Added to the time for which a lost member may be certain: its clock runs slow by 0.05% at the most, and an answer that
/// it gave within that time is on its way.
constexpr auto kSilentMargin = 200ms;
}  // namespace

std::string label_of(const Tag& tag) { return tag.substr(0, tag.rfind('@')); }

Membership::Membership(net::Runtime& runtime, const wire::Settings& settings, store::Client& client, store::Mirror& mirror)
    : runtime_(runtime), settings_(settings), client_(client), mirror_(mirror) {
  incarnation_ = std::to_string(runtime.random()());
  // ttl + lease must stay below cancel_s: a controller that is cut off keeps the tasks of its workers alive.
  ttl_ = std::max<net::Duration>(net::to_duration(settings.cancel - settings.lease * 1.001) - kCancelMargin, kMinTtl);
  ttl_ = std::min<net::Duration>(ttl_, 600s);
}

void Membership::start(Events events) {
  events_ = std::move(events);
  clear_predecessor();
}

void Membership::clear_predecessor() {
  // One process per label: whoever held our node key has ended, and its grant need not run out.
  client_.get(store::Priority::Vital, keys::node(settings_.label), [this](store::GetResult r) {
    if (!r.answered) {
      runtime_.after(kRetry, [this] { clear_predecessor(); });
      return;
    }
    if (!r.found || r.permit == 0) return take_grant();
    client_.call(store::Priority::Vital, {"DELETE", "/grants/" + std::to_string(r.permit), {}}, 3s,
                 [this](net::HttpResult d) {
                   if (d.status == 200 || d.status == 204 || d.status == 404) return take_grant();
                   runtime_.after(kRetry, [this] { clear_predecessor(); });
                 });
  });
}

void Membership::take_grant() {
  const auto sent = runtime_.now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(ttl_).count();
  client_.call(store::Priority::Vital, {"POST", "/grants", json{{"ttlMs", ms}}.dump()}, 3s, [this, sent](net::HttpResult r) {
    const auto body = json::parse(r.body, nullptr, false);
    if (r.status != 200 || !body.is_object() || !body.contains("permit")) {
      runtime_.after(kRetry, [this] { take_grant(); });
      return;
    }
    grant_ = body["permit"].get<std::uint64_t>();
    served_ = sent;
    valid_until_ = sent + ttl_ - ttl_ / 1000 - kGrantMargin;
    put_node();
    runtime_.after(kTouchEvery, [this] { touch(); });
  });
}

void Membership::put_node() {
  if (lost_) return;
  const auto key = keys::node(settings_.label);
  const json value{{"incarnation", incarnation_}, {"serves", settings_.serve_on}};
  client_.txn(store::Priority::Vital, {{key, 0}}, {{key, value, grant_}}, [this, key](store::TxnResult r) {
    if (r.verdict == store::Verdict::Ok) {
      node_stamp_ = r.epoch;
      self_ = settings_.label + "@" + std::to_string(node_stamp_);
      spdlog::info("joined as {}", self_);
      return elect();
    }
    if (r.verdict == store::Verdict::Refused) {
      runtime_.after(kRetry, [this] { put_node(); });
      return;
    }
    // Unknown or taken: look whose key it is before anything else.
    client_.get(store::Priority::Vital, key, [this](store::GetResult g) {
      if (g.answered && g.found && g.value.value("incarnation", "") == incarnation_) {
        node_stamp_ = g.stamp;
        self_ = settings_.label + "@" + std::to_string(node_stamp_);
        return elect();
      }
      if (g.answered && g.found) return lose();
      runtime_.after(kRetry, [this] { put_node(); });
    });
  });
}

void Membership::touch() {
  if (lost_) return;
  const auto sent = runtime_.now();
  client_.call(store::Priority::Vital, {"POST", "/grants/" + std::to_string(grant_) + "/touch", {}}, kTouchTimeout,
               [this, sent](net::HttpResult r) {
                 if (lost_) return;
                 if (r.status == 404) return lose();
                 const bool good = r.status == 200;
                 if (good) {
                   served_ = std::max(served_, sent);
                   valid_until_ = std::max(valid_until_, sent + ttl_ - ttl_ / 1000 - kGrantMargin);
                 }
                 runtime_.after(good ? net::Duration(kTouchEvery) : net::Duration(kRetry), [this] { touch(); });
               });
}

void Membership::lose() {
  if (lost_) return;
  lost_ = true;
  spdlog::info("grant of {} has ended", self_.empty() ? settings_.label : self_);
  events_.lost();
}

bool Membership::entitled() const {
  return !lost_ && !self_.empty() && runtime_.now() < valid_until_ && generation_.members.contains(self_);
}

Tag Membership::member_at(const std::string& label) const {
  for (const auto& tag : generation_.members)
    if (label_of(tag) == label) return tag;
  return {};
}

std::vector<store::Condition> Membership::fences() const {
  return {{keys::kGeneration, generation_.number}, {keys::node(settings_.label), node_stamp_}};
}

void Membership::on_changes(const std::vector<store::Change>& changes) {
  bool relevant = false;
  for (const auto& c : changes) {
    std::string rest;
    relevant = relevant || c.key == keys::kGeneration || c.key == keys::kLeader || keys::under(c.key, keys::kNodes, rest);
  }
  if (!relevant) return;
  if (const auto* entry = mirror_.find(keys::kGeneration); entry && entry->stamp > generation_.number) {
    const auto old_leader = generation_.leader;
    generation_.number = entry->stamp;
    generation_.leader = entry->value.at("leader").get<Tag>();
    const auto members = entry->value.at("members").get<std::vector<Tag>>();
    const auto before = std::exchange(generation_.members, {members.begin(), members.end()});
    lost_member_ = std::any_of(before.begin(), before.end(), [&](const Tag& tag) { return !member(tag); });
    // Where nothing was known before, whoever was lost may have been so a moment ago.
    if (before.empty() || lost_member_) others_silent_from_ = runtime_.now() + kCertainFor + kCertainFor / 1000 + kSilentMargin;
    if (generation_.leader != old_leader) leading_since_ = generation_.number;
    spdlog::info("generation {} leader {} members {}", generation_.number, generation_.leader, members.size());
    events_.changed();
  }
  elect();
}

void Membership::elect() {
  if (lost_ || self_.empty() || !mirror_.synced() || mirror_.epoch() < node_stamp_) return;
  const auto* node = mirror_.find(keys::node(settings_.label));
  if (!node || node->stamp != node_stamp_) return lose();
  const auto* leader = mirror_.find(keys::kLeader);
  if (leader) {
    if (leader->value.value("tag", "") == self_) write_generation();
    return;
  }
  if (electing_) return;
  electing_ = true;
  client_.txn(store::Priority::Vital, {{keys::kLeader, 0}, {keys::node(settings_.label), node_stamp_}},
              {{keys::kLeader, json{{"tag", self_}}, grant_}}, [this](store::TxnResult r) {
                electing_ = false;
                // Won or lost, the watch shows it; only a refusal or silence needs another try.
                if (r.verdict == store::Verdict::Refused || r.verdict == store::Verdict::Unknown)
                  runtime_.after(kRetry, [this] { elect(); });
              });
}

void Membership::write_generation() {
  std::vector<Tag> members;
  for (const auto& [key, entry] : mirror_.entries()) {
    std::string label;
    if (keys::under(key, keys::kNodes, label)) members.push_back(label + "@" + std::to_string(entry.stamp));
  }
  if (generation_.leader == self_ && generation_.members == std::set<Tag>(members.begin(), members.end())) return;
  if (writing_) return;
  writing_ = true;
  const auto* leader = mirror_.find(keys::kLeader);
  const auto* old = mirror_.find(keys::kGeneration);
  client_.txn(store::Priority::Vital,
              {{keys::kGeneration, old ? old->stamp : 0}, {keys::kLeader, leader->stamp}, {keys::node(settings_.label), node_stamp_}},
              {{keys::kGeneration, json{{"leader", self_}, {"members", members}}}}, [this](store::TxnResult) {
                writing_ = false;
                // Also after success: whoever joined while the record was being written is not in it.
                runtime_.after(kRetry, [this] { elect(); });
              });
}
}  // namespace limemast::cluster
