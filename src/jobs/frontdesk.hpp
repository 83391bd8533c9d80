#pragma once
#include "jobs/book.hpp"

namespace limemast::jobs {
/// The users' interface: submissions, queries, cancellations. Any controller takes any of them.
class FrontDesk {
 public:
  FrontDesk(net::Runtime& runtime, const wire::Settings& settings, store::Client& client, cluster::Membership& membership,
            cluster::Router& router, cluster::JobIndex& index, machines::Registry& registry, Book& book);
  void submit(const std::string& body, net::Responder respond);
  void query(const std::string& uid, net::Responder respond);
  void abort(const std::string& uid, net::Responder respond);

 private:
  enum class Known { Yes, No, Unclear };
  using Lookup = std::function<void(Known, Status)>;
  void look_up(const std::string& uid, Lookup done);
  void ask_owner(const Tag& owner, const std::string& uid, Lookup done);
  void on_status_asked(const Tag& from, const wire::json& m);
  void on_status_told(const wire::json& m);
  void look_into_records(const std::string& uid, Lookup done);
  void accept(const wire::JobSpec& spec, unsigned tries, net::Responder respond);
  Status open_status(const std::string& uid) const;
  void remember(const std::string& uid, const Status& status);
  std::optional<std::string> never_runs(const wire::JobSpec& spec) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  cluster::Membership& membership_;
  cluster::Router& router_;
  cluster::JobIndex& index_;
  machines::Registry& registry_;
  Book& book_;
  std::unordered_map<std::string, Status> finals_;
  struct Asked {
    net::Responder respond;
    std::string uid;
  };
  struct Question {
    std::string uid;
    Lookup done;
  };
  std::map<std::uint64_t, Question> asked_;
  std::uint64_t next_question_ = 1;
  std::map<std::uint64_t, Asked> aborts_;
  std::uint64_t next_abort_ = 1;
  bool turning_away_ = false;
};
}  // namespace limemast::jobs
