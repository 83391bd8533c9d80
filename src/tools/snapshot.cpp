#include "tools/snapshot.hpp"

#include <algorithm>
#include <map>

namespace limemast::tools {
namespace {
using wire::json;
constexpr std::size_t kMaxEntries =
    1'000'000;  ///< entries of a list; more are treated as an endless list

struct Fetcher : std::enable_shared_from_this<Fetcher> {
  Api& api;
  FetchOptions options;
  std::function<void(const std::string&)> progress;
  std::function<void(std::shared_ptr<Snapshot>, std::string)> done;
  std::shared_ptr<Snapshot> out = std::make_shared<Snapshot>();
  std::map<std::string, std::pair<double, std::string>>
      missing;  ///< controller -> age in seconds of its last part (-1: none), and reason

  Fetcher(Api& a, FetchOptions o) : api(a), options(o) {}

  /// Requests one view and passes its body to `take`. Any error ends the whole fetch.
  void get(const std::string& path, std::function<void(const json&)> take) {
    api.call(
        "GET", path, "", [self = shared_from_this(), path, take = std::move(take)](Answer answer) {
          try {
            const auto body = body_of(answer, path);
            self->out->from = answer.from;
            for (const auto& part : body.value("parts", json::array()))
              if (!part.at("answered").get<bool>()) {
                // A controller may be missing in several views; the oldest of its parts is kept.
                const auto age = part.find("ageS");
                auto& last_part =
                    self->missing.try_emplace(part.at("controller").get<std::string>(), -1, "")
                        .first->second;
                last_part = std::max(
                    last_part, {age != part.end() && age->is_number() ? age->get<double>() : -1,
                                part.value("why", "did not answer")});
              }
            take(body);
          } catch (const ApiError& e) {
            self->done(nullptr, e.what());
          } catch (const json::exception&) {
            self->done(nullptr, path + ": the answer has a format that this version does not know");
          }
        });
  }
  static void append(std::vector<json>& to, const json& list) {
    for (const auto& e : list) to.push_back(e);
  }
  void fetch_pages(const std::string& what, std::vector<json> Snapshot::*into,
                   const std::string& after, std::function<void()> then) {
    get(what + "?limit=" + std::to_string(options.page) + (after.empty() ? "" : "&from=" + after),
        [self = shared_from_this(), what, into, after, then = std::move(then)](const json& body) {
          auto& list = (*self->out).*into;
          append(list, body.at(what));
          if (what == "machines" && after.empty()) append(self->out->coming, body.at("coming"));
          if (self->progress) self->progress(std::to_string(list.size()) + " " + what);
          const auto& next = body.at("next");
          if (next.is_null()) return then();
          // Pages are ordered by name. A page that does not advance would cause an endless loop.
          const auto last = next.get<std::string>();
          if (last <= after || list.size() > kMaxEntries)
            throw ApiError(what + ": the list of pages does not end");
          self->fetch_pages(what, into, last, then);
        });
  }

  void run() {
    auto self = shared_from_this();
    fetch_pages("jobs", &Snapshot::jobs, "", [self] {
      self->fetch_pages("machines", &Snapshot::machines, "", [self] {
        self->get("teams", [self](const json& body) {
          append(self->out->teams, body.at("teams"));
          self->get("controllers", [self](const json& body) {
            append(self->out->controllers, body.at("controllers"));
            self->out->leader = body.at("leader").get<std::string>();
            self->get("drains", [self](const json& body) {
              append(self->out->drains, body.at("drains"));
              if (!self->options.history) return self->finish();
              self->get("history", [self](const json& body) {
                append(self->out->samples, body.at("samples"));
                self->out->columns = body.at("columns").get<std::vector<std::string>>();
                self->finish();
              });
            });
          });
        });
      });
    });
  }
  void finish() {
    for (const auto& [controller, last_part] : missing)
      out->missing.push_back(
          controller + " " + last_part.second +
          (last_part.first >= 0 ? ", what is shown of it is " +
                                      std::to_string(static_cast<long>(last_part.first)) + " s old"
                                : ""));
    done(out, "");
  }
};
}  // namespace

json to_json(const Snapshot& s) {
  return {
      {"takenMs",
       std::chrono::duration_cast<std::chrono::milliseconds>(s.taken.time_since_epoch()).count()},
      {"from", s.from},
      {"leader", s.leader},
      {"jobs", s.jobs},
      {"machines", s.machines},
      {"coming", s.coming},
      {"teams", s.teams},
      {"controllers", s.controllers},
      {"drains", s.drains},
      {"history", {{"columns", s.columns}, {"samples", s.samples}}},
      {"missing", s.missing}};
}

void fetch(Api& api, const FetchOptions& options, net::WallTime now,
           std::function<void(const std::string&)> progress,
           std::function<void(std::shared_ptr<Snapshot>, std::string error)> done) {
  auto f = std::make_shared<Fetcher>(api, options);
  f->out->taken = now;
  f->progress = std::move(progress);
  f->done = std::move(done);
  f->run();
}
}  // namespace limemast::tools
