#include "machines/unknown_job_lookup.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Minimum time between two lookups of a job.
constexpr auto kRetryAfter = 2s;
}  // namespace

UnknownJobLookup::UnknownJobLookup(const GatewayContext& context, OnEnded on_ended)
    : context_(context), on_ended_(std::move(on_ended)) {}

void UnknownJobLookup::look_up(const std::string& uid) {
  const auto now = context_.runtime.now();
  const auto [entry, is_new] = looked_up_.try_emplace(uid, now);
  if (!is_new && now - entry->second < kRetryAfter) return;
  entry->second = now;
  context_.client.get(store::Priority::UserWrite, cluster::keys::final_job(uid),
                      [this, uid](const store::GetResult& final_record) {
                        if (!final_record.answered) return;
                        if (final_record.found) return mark_ended(uid, &final_record.value);
                        look_up_active(uid);
                      });
}

void UnknownJobLookup::look_up_active(const std::string& uid) {
  context_.client.get(store::Priority::UserWrite, cluster::keys::active_job(uid),
                      [this, uid](const store::GetResult& active) {
                        if (active.answered && !active.found && !context_.jobs.find(uid))
                          mark_ended(uid, nullptr);
                      });
}

void UnknownJobLookup::mark_ended(const std::string& uid, const wire::json* record) {
  if (context_.jobs.mark_final(uid, context_.runtime.now(), record)) on_ended_(uid);
}
}  // namespace limemast::machines
