#include "cluster/lease_keeper.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "cluster/keys.hpp"

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
constexpr auto kRetryDelay = 400ms;
constexpr auto kKeepAliveInterval = 1s;
constexpr auto kMaxLeaseTtl = 600s;
/// Safety margin between the last time at which an isolated controller can keep tasks alive and the
/// cancel timeout. It is at most half of the cancel timeout that remains after the worker lease;
/// app/settings.cpp checks that some of it remains.
constexpr auto kCancelMargin = 3s;
constexpr int kBadRequest = 400;

/// Chooses a TTL such that this lease and a worker lease that starts at its end both expire within
/// the cancel timeout. An isolated controller keeps the tasks of its workers alive for that long.
net::Duration lease_ttl_for(const wire::Settings& settings) {
  const auto left =
      net::to_duration(settings.cancel_timeout - settings.worker_lease * wire::kClockDriftFactor);
  return std::min<net::Duration>(std::max<net::Duration>(left - kCancelMargin, left / 2),
                                 kMaxLeaseTtl);
}
}  // namespace

LeaseKeeper::LeaseKeeper(net::Runtime& runtime, const wire::Settings& settings,
                         store::Client& client, StartupTimeline& timeline)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      timeline_(timeline),
      incarnation_(std::to_string(runtime.random()())),
      lease_ttl_(lease_ttl_for(settings)) {}

void LeaseKeeper::start(Events events) {
  events_ = std::move(events);
  // The new lease is independent of the previous incarnation's lease, so both requests are sent in
  // parallel.
  fence_previous_incarnation();
  acquire_lease();
}

void LeaseKeeper::fence_previous_incarnation() {
  if (lost_) return;
  // Only one process per label can listen, and this one is already listening, so the process that
  // wrote the existing member key has exited. Its lease is revoked instead of waiting for it to
  // expire. Requests that it sent shortly before may still be executed; ownership_guards() make
  // them harmless.
  client_.get(store::Priority::Critical, keys::member(settings_.label),
              [this](const store::GetResult& key) { on_previous_member_key(key); });
}

void LeaseKeeper::on_previous_member_key(const store::GetResult& key) {
  if (!key.answered) return retry_fencing();
  if (!key.found) return on_previous_incarnation_fenced();
  // A member key without a lease was written by hand and would never be deleted by the store.
  if (key.lease == store::LeaseId{}) return remove_unleased_member_key(key.mod_revision);
  client_.revoke_lease(key.lease, [this](bool revoked) {
    revoked ? on_previous_incarnation_fenced() : retry_fencing();
  });
}

void LeaseKeeper::on_previous_incarnation_fenced() {
  previous_incarnation_fenced_ = true;
  timeline_.record_phase(StartupPhase::PreviousIncarnationFenced, runtime_.now());
  register_member();
}

void LeaseKeeper::retry_fencing() {
  runtime_.after(kRetryDelay, [this] { fence_previous_incarnation(); });
}

void LeaseKeeper::remove_unleased_member_key(store::Revision mod_revision) {
  const auto key = keys::member(settings_.label);
  client_.decode_errors().record(key);
  client_.txn(store::Priority::Critical, {{key, mod_revision}}, {{key, std::nullopt}},
              [this](const store::TxnResult&) { retry_fencing(); });
}

void LeaseKeeper::acquire_lease() {
  const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(lease_ttl_);
  client_.acquire_lease(ttl, [this, sent = runtime_.now()](std::optional<store::LeaseId> lease) {
    if (lease) return on_lease_acquired(*lease, sent);
    runtime_.after(kRetryDelay, [this] { acquire_lease(); });
  });
}

void LeaseKeeper::on_lease_acquired(store::LeaseId lease, net::Time sent) {
  lease_ = lease;
  timeline_.record_phase(StartupPhase::LeaseAcquired, runtime_.now());
  last_renewal_ = sent;
  register_member();
  runtime_.after(kKeepAliveInterval, [this] { keep_alive(); });
}

void LeaseKeeper::register_member() {
  if (lost_ || !previous_incarnation_fenced_ || lease_ == store::LeaseId{}) return;
  const auto key = keys::member(settings_.label);
  client_.txn(store::Priority::Critical, {{key, store::kAbsent}},
              {{key, member_record(incarnation_, settings_.client_listen_endpoint), lease_}},
              [this](const store::TxnResult& result) { on_registration(result); });
}

void LeaseKeeper::on_registration(const store::TxnResult& result) {
  if (result.status == store::TxnStatus::Ok) return on_registered(result.revision);
  // The outcome is unknown or the key already exists; the key's lease and incarnation show who
  // wrote it.
  if (result.status != store::TxnStatus::Refused) return read_back_member_key();
  // The lease expired before the registration, for example during a long store outage.
  if (result.http_status == kBadRequest) return mark_lost();
  retry_registration();
}

void LeaseKeeper::read_back_member_key() {
  client_.get(store::Priority::Critical, keys::member(settings_.label),
              [this](const store::GetResult& key) {
                if (!key.answered || !key.found) return retry_registration();
                if (key.lease == lease_ && read_incarnation(key.value) == incarnation_)
                  return on_registered(key.mod_revision);
                // The previous incarnation's write was executed after its member key was checked.
                // The next incarnation of this controller fences it.
                mark_lost();
              });
}

void LeaseKeeper::retry_registration() {
  runtime_.after(kRetryDelay, [this] { register_member(); });
}

void LeaseKeeper::on_registered(store::Revision mod_revision) {
  member_revision_ = mod_revision;
  self_ = ControllerId(settings_.label, mod_revision.value());
  timeline_.record_phase(StartupPhase::Registered, runtime_.now());
  spdlog::info("registered as {}", self_);
  events_.registered();
}

void LeaseKeeper::keep_alive() {
  if (lost_) return;
  client_.keep_alive(lease_, [this, sent = runtime_.now()](store::KeepAliveStatus status) {
    on_keep_alive(status, sent);
  });
}

void LeaseKeeper::on_keep_alive(store::KeepAliveStatus status, net::Time sent) {
  if (lost_) return;
  if (status == store::KeepAliveStatus::Expired) return mark_lost();
  const bool renewed = status == store::KeepAliveStatus::Renewed;
  if (renewed) last_renewal_ = std::max(last_renewal_, sent);
  runtime_.after(renewed ? net::Duration(kKeepAliveInterval) : net::Duration(kRetryDelay),
                 [this] { keep_alive(); });
}

void LeaseKeeper::mark_lost() {
  if (lost_) return;
  lost_ = true;
  spdlog::info(
      "{} gives up membership (lease lost, evicted or replaced as leader); restarting as a new "
      "incarnation",
      self_.empty() ? settings_.label : self_.text());
  events_.lost();
}
}  // namespace limemast::cluster
