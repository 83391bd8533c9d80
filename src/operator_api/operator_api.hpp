#pragma once
#include <deque>

#include "cloud/autoscaler.hpp"
#include "drains/drain_controller.hpp"
#include "net/token_bucket.hpp"
#include "operator_api/history.hpp"
#include "operator_api/metrics.hpp"

namespace limemast::operator_api {
const std::string kPrefix = "/operator/v1/";
/// An error response for operators. Status 503 comes with a Retry-After of one second.
net::HttpResponse error(int status, const std::string& what);

/// The operator API. Every controller answers for the whole deployment: it queries the other
/// controllers for their parts and lists the parts that are missing. Requests are queued separately
/// and handled one at a time. None is handled while the event loop is delayed, so that workers and
/// users have priority.
class OperatorApi {
 public:
  OperatorApi(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
              const store::WatchCache& watch_cache, cluster::Membership& membership,
              cluster::MessageBus& message_bus, cluster::JobDirectory& job_directory,
              machines::Registry& registry, jobs::JobOwner& job_owner,
              diagnostics::PendingReasonTable& pending_reasons,
              diagnostics::CapacityDiagnosis& capacity_diagnosis, const drains::Drains& drains,
              const drains::DrainController& drain_controller,
              const diagnostics::SloAttainment& slo_attainment, Metrics* metrics);
  void start();
  void serve(const net::HttpRequest& request, net::Responder respond);

  // Notices from the watch cache and from job owners.
  void on_job(const std::string& uid);
  void on_job_ended(const std::string& uid);

 private:
  struct QueuedRequest {
    net::HttpRequest request;
    net::Responder respond;
    net::Time since{};
  };
  struct Query {
    std::string path;
    std::map<std::string, std::string> fields;
  };
  /// A query to other controllers: the parts received so far, and the controllers whose part is
  /// still missing.
  struct PendingQuery {
    std::string what;
    std::map<cluster::ControllerId, wire::json> parts;
    std::set<cluster::ControllerId> missing;
    std::function<void(PendingQuery&)> done;
  };
  struct CachedPart {
    wire::json part;
    net::Time at{};
  };

  void process_queue();
  void handle(const net::HttpRequest& request, net::Responder respond);
  void query_members(const std::string& what, std::map<cluster::ControllerId, wire::json> asked,
                     std::function<void(PendingQuery&)> done);
  void complete_query(std::uint64_t id);
  wire::json local_part(const std::string& what, const wire::json& asked);
  std::map<cluster::ControllerId, wire::json> all_members() const;
  /// For each queried controller, whether it answered and, if not, why and how old its last part
  /// is.
  wire::json part_ages(const PendingQuery& g) const;

  void jobs(const Query& query, net::Responder respond);
  void job(const std::string& uid, net::Responder respond);
  void answer_jobs(std::vector<std::string> uids,
                   std::function<void(std::vector<wire::json>, wire::json part_ages)> done);
  wire::json job_part(const std::string& uid) const;
  wire::json merged_job(const std::string& uid, const wire::json* reported, bool silent) const;
  void machines(const Query& query, net::Responder respond);
  void teams(net::Responder respond);
  void controllers(net::Responder respond);
  wire::json controller_part() const;
  void drains(net::Responder respond);
  wire::json drains_part() const;
  void put_drain(const std::string& id, const std::string& body, net::Responder respond);
  void remove_drain(const std::string& id, net::Responder respond);
  void history(net::Responder respond);
  wire::json history_part() const;
  void metrics(net::Responder respond);

  void sample();
  void log_pending_reasons();
  void remove_obsolete_drains();
  void query_itself();
  void measure_loop_delay();

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  const store::WatchCache& watch_cache_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  jobs::JobOwner& job_owner_;
  diagnostics::PendingReasonTable& pending_reasons_;
  diagnostics::CapacityDiagnosis& capacity_diagnosis_;
  const drains::Drains& drains_;
  const drains::DrainController& drain_controller_;
  const diagnostics::SloAttainment& slo_attainment_;
  Metrics* metrics_;
  History history_;
  net::TokenBucket rate_limiter_;
  std::deque<QueuedRequest> queue_;
  bool queue_scheduled_ = false;
  std::map<std::uint64_t, PendingQuery> pending_queries_;
  std::uint64_t next_id_ = 1;
  std::map<std::pair<std::string, std::string>, CachedPart>
      last_parts_;                   ///< (query, controller label) -> latest part
  std::set<std::string> open_jobs_;  ///< uids of open jobs
  net::Duration loop_delay_{};       ///< lateness of the most recent timer of measure_loop_delay
  std::uint64_t self_queries_ = 0;
};
}  // namespace limemast::operator_api
