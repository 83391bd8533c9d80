#include "jobs/job_api.hpp"

#include <utility>

#include "jobs/user_protocol.hpp"

namespace limemast::jobs {
JobApi::JobApi(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
               cluster::Membership& membership, cluster::MessageBus& message_bus,
               cluster::JobDirectory& job_directory, machines::Registry& registry,
               JobOwner& job_owner, StatusReader& status_reader)
    : status_reader_(status_reader),
      submission_(runtime, settings, client, membership, job_directory, registry, job_owner,
                  status_reader),
      cancellation_(runtime, membership, message_bus, job_directory, job_owner, status_reader) {}

void JobApi::submit(const std::string& body, net::Responder respond) {
  submission_.submit(body, std::move(respond));
}

void JobApi::query(const std::string& uid, net::Responder respond) {
  if (!wire::valid_job_id(uid)) return respond(user_protocol::not_found());
  respond_with_status(status_reader_, uid, user_protocol::not_found(), std::move(respond));
}

void JobApi::abort(const std::string& uid, net::Responder respond) {
  if (!wire::valid_job_id(uid)) return respond(user_protocol::not_found());
  cancellation_.cancel(uid, std::move(respond));
}
}  // namespace limemast::jobs
