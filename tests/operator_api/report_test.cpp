// Compares each line of the report with the state of the simulated services.
#include "tools/report.hpp"

#include <fstream>
#include <sstream>

#include "operator_api/console_cluster.hpp"

namespace limemast {
namespace {
using namespace simulation;
using Row = std::map<std::string, std::string>;

std::string unescaped(std::string s) {
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"&lt;", "<"}, {"&gt;", ">"}, {"&quot;", "\""}, {"&#39;", "'"}, {"&amp;", "&"}})
    for (std::size_t at = 0; (at = s.find(from, at)) != std::string::npos; at += to.size())
      s.replace(at, from.size(), to);
  return s;
}

/// Parses the rows of the table under a heading of the page, as cells by column name.
std::vector<Row> rows_of(const std::string& page, const std::string& heading) {
  const auto start = page.find("<h2>" + heading + "</h2>");
  EXPECT_NE(start, std::string::npos) << heading;
  const auto end = std::min(page.find("<h2>", start + 4), page.find("<script>", start));
  std::vector<Row> out;
  for (auto at = page.find("<tr><td", start); at < end; at = page.find("<tr><td", at + 1)) {
    Row row;
    const auto stop = page.find("</tr>", at);
    for (auto cell = page.find("<td data-name=\"", at); cell < stop;
         cell = page.find("<td data-name=\"", cell + 1)) {
      const auto name = cell + 15;
      const auto text = page.find('>', name) + 1;
      row[unescaped(page.substr(name, page.find('"', name) - name))] =
          unescaped(page.substr(text, page.find("</td>", text) - text));
    }
    out.push_back(std::move(row));
  }
  return out;
}

class ReportTest : public OperatedCluster {
 protected:
  ReportTest() : OperatedCluster(9) {}
  void submit(const wire::JobSpec& s) {
    submitted_[s.uid] = s;
    cluster_.submit(s);
  }
  std::string page(std::size_t node) {
    SimApi api(cluster_, node);
    const auto snapshot = api.read();
    EXPECT_TRUE(snapshot) << api.error;
    if (!snapshot) return {};
    missing_ = snapshot->missing;
    return tools::render_report(*snapshot, {});
  }
  /// Expects one line per submitted job, with the submitted fields and the number of its tasks that
  /// run on machines.
  void expect_jobs_match(const std::string& page) {
    const auto rows = rows_of(page, "Jobs");
    EXPECT_EQ(rows.size(), submitted_.size());
    const auto running = cluster_.running();
    std::set<std::string> seen;
    for (const auto& row : rows) {
      const auto uid = row.at("job");
      EXPECT_TRUE(seen.insert(uid).second) << uid << " has two lines";
      const auto it = submitted_.find(uid);
      ASSERT_NE(it, submitted_.end()) << uid;
      const auto& s = it->second;
      EXPECT_EQ(row.at("team"), s.team);
      EXPECT_EQ(row.at("class"), s.workload);
      EXPECT_EQ(row.at("rank"), s.service ? "production" : "standard");
      EXPECT_EQ(row.at("of"), std::to_string(s.tasks));
      const auto runs = running.contains(uid) ? running.at(uid) : 0;
      EXPECT_EQ(row.at("running"), std::to_string(runs)) << uid;
      if (row.at("starting") != "-") {
        EXPECT_EQ(std::stoul(row.at("waiting")) + std::stoul(row.at("starting")) + runs +
                      std::stoul(row.at("done")),
                  s.tasks)
            << uid;
      }
      EXPECT_EQ(row.at("waits for") == "-", runs == s.tasks) << uid << ": " << row.at("waits for");
    }
  }
  static Row row_of(const std::string& page, const std::string& uid) {
    for (const auto& row : rows_of(page, "Jobs"))
      if (row.at("job") == uid) return row;
    return {};
  }
  std::map<std::string, wire::JobSpec> submitted_;
  std::vector<std::string> missing_;
};

TEST_F(ReportTest, DuringADrain) {
  const auto bound = service(3, 2, "a");
  const auto free = service(4, 2);
  submit(bound);
  submit(free);
  cluster_.run(60s);
  EXPECT_EQ(
      SimApi(cluster_, 0).send("PUT", "drains/zone/a", R"({"note":"<b>switch & \"rack\"</b>"})"),
      201);
  const auto late = service(1, 2, "a");
  cluster_.run(40s);  // all tasks that can move have moved
  submit(late);
  cluster_.run(5s);
  const auto text = page(1);
  expect_jobs_match(text);
  // The environment variable LIMEMAST_REPORT names a file to which the page is written.
  if (const char* file = std::getenv("LIMEMAST_REPORT")) {
    std::string why;
    const auto snapshot = SimApi(cluster_, 1).read();
    std::ofstream(file) << tools::render_report(*snapshot, tools::plot_history(*snapshot, why));
  }
  EXPECT_NE(row_of(text, late.uid).at("waits for").find("drained"), std::string::npos);
  EXPECT_EQ(row_of(text, bound.uid).at("running"), "3");
  const auto drains = rows_of(text, "Drains");
  ASSERT_EQ(drains.size(), 1u);
  EXPECT_EQ(drains[0].at("drain"), "zone/a");
  EXPECT_EQ(drains[0].at("tasks left"), "3");
  EXPECT_EQ(drains[0].at("state"), "under way");
  EXPECT_EQ(drains[0].at("note"), "<b>switch & \"rack\"</b>");
  EXPECT_EQ(text.find("<b>"), std::string::npos) << "texts of users are escaped";
  EXPECT_TRUE(missing_.empty());
}

TEST_F(ReportTest, MetricsMatchTheReport) {
  const auto late = service(1, 2, "a");
  submit(service(3, 2));
  cluster_.run(60s);
  EXPECT_EQ(SimApi(cluster_, 0).send("PUT", "drains/zone/a"), 201);
  cluster_.run(10s);
  submit(late);
  cluster_.run(5s);
  const auto leader = cluster_.leader();
  (void)SimApi(cluster_, leader).get("drains");
  std::string text;
  SimApi(cluster_, leader).call("GET", "metrics", "", [&](const tools::Answer& a) {
    text = a.body;
  });
  std::map<std::string, double> values;
  std::istringstream in(text);
  if (std::getenv("SIM_LOG")) std::fputs(text.c_str(), stderr);
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line[0] == '#') continue;
    const auto space = line.rfind(' ');
    ASSERT_NE(space, std::string::npos) << line;
    values[line.substr(0, space)] = std::stod(line.substr(space + 1));
  }
  EXPECT_EQ(values.at("limemast_waiting_jobs{cause=\"drain\"}"), 1);
  EXPECT_EQ(values.at("limemast_waiting_tasks{cause=\"drain\"}"), 1);
  EXPECT_GT(values.at("limemast_waited_task_seconds{cause=\"drain\"}") + 1, 0);
  EXPECT_EQ(values.at("limemast_node{what=\"leads\"}"), 1);
  EXPECT_EQ(values.at("limemast_node{what=\"members\"}"), 3);
  EXPECT_EQ(values.at("limemast_node{what=\"drains\"}"), 1);
  EXPECT_GT(values.at("limemast_calls_total{answer=\"2xx\",service=\"state\"}"), 10);
  EXPECT_GT(values.at("limemast_calls_total{answer=\"2xx\",service=\"cloud\"}"), 5);
  EXPECT_GT(values.at("limemast_loop_delay_seconds_count"), 100);
  EXPECT_GT(values.at("limemast_operator_requests_total{answer=\"2xx\"}"), 0);
  // The number of time series is bounded whatever users and services send.
  EXPECT_LT(values.size(), 200u);
}

TEST_F(ReportTest, ExcessRequestsAreRefusedAndUsersServed) {
  int busy = 0, good = 0;
  for (int i = 0; i < 200; ++i)
    cluster_.ask(0, {"GET", "/operator/v1/jobs", {}}, [&](const net::HttpResponse& r) {
      busy += r.status == 503 && r.retry_after_s > 0;
      good += r.status == 200;
    });
  int user_answers = 0;
  cluster_.ask(0, {"GET", "/submissions/wk-000000", {}},
               [&](const net::HttpResponse&) { ++user_answers; });
  cluster_.run(3s);
  EXPECT_EQ(user_answers, 1);
  EXPECT_EQ(busy, 200 - 32);
  EXPECT_EQ(good, 32);
}

TEST_F(ReportTest, ThousandsOfQueuedJobs) {
  constexpr std::size_t kJobs = 2'000;
  for (std::size_t i = 0; i < kJobs; ++i) {
    submit(job(10, 4, "", 5000));
    if (i % 40 == 39) cluster_.run(1s);  // the key-value store limits requests per second
  }
  cluster_.run(150s);
  const auto text = page(2);
  expect_jobs_match(text);
  // The waiting jobs occupy the places from the first to the last, one each.
  const auto snapshot = SimApi(cluster_, 0).read();
  ASSERT_TRUE(snapshot);
  std::set<std::size_t> all;
  std::size_t waiting = 0;
  for (const auto& j : snapshot->jobs) {
    if (j.at("waiting") == 0) continue;
    ++waiting;
    all.insert(j.at("place").get<std::size_t>());
  }
  EXPECT_GT(waiting, kJobs * 9 / 10);
  EXPECT_EQ(all.size(), waiting);
  EXPECT_EQ(*all.begin(), 1u);
  EXPECT_EQ(*all.rbegin(), waiting);
}

TEST_F(ReportTest, DuringAFailover) {
  const auto s = service(5, 2);
  submit(s);
  cluster_.run(60s);
  const auto leader = cluster_.leader();
  const auto other = (leader + 1) % 3;
  cluster_.crash(leader, 100s);
  cluster_.run(500ms);
  const auto late = service(1, 2);
  submit(late);
  cluster_.run(1500ms);
  auto text = page(other);
  EXPECT_EQ(row_of(text, s.uid).at("running"), "5");
  EXPECT_NE(row_of(text, late.uid).at("waits for").find("does not answer"), std::string::npos)
      << row_of(text, late.uid).at("waits for");
  EXPECT_NE(
      std::find_if(missing_.begin(), missing_.end(),
                   [&](const auto& m) { return m.starts_with("node-" + std::to_string(leader)); }),
      missing_.end());
  cluster_.run(60s);
  text = page(other);
  expect_jobs_match(text);
  EXPECT_EQ(row_of(text, late.uid).at("running"), "1");
}

TEST_F(ReportTest, WhileOneControllerIsUnreachable) {
  const auto s = service(5, 2);
  submit(s);
  cluster_.run(60s);
  const auto leader = cluster_.leader();
  const auto lost = (leader + 1) % 3;
  const auto here = (leader + 2) % 3;
  (void)page(here);  // stores the last parts of the other controllers
  cluster_.cut(lost, SimulatedCluster::Side::Peers, false, 30s);
  cluster_.run(4s);
  const auto text = page(here);
  expect_jobs_match(text);
  const auto wanted =
      "node-" + std::to_string(lost) + " did not answer in time, what is shown of it is ";
  EXPECT_TRUE(std::any_of(missing_.begin(), missing_.end(), [&](const auto& m) {
    return m.starts_with(wanted);
  })) << (missing_.empty() ? "nothing missing" : missing_.front());
  EXPECT_NE(text.find("Part missing: node-" + std::to_string(lost)), std::string::npos);
  const auto controllers = rows_of(text, "Controllers");
  ASSERT_EQ(controllers.size(), 3u);
  for (const auto& row : controllers)
    EXPECT_EQ(row.at("role") == "silent", row.at("controller") == "node-" + std::to_string(lost))
        << row.at("controller");
  cluster_.run(40s);
  (void)page(here);
  EXPECT_TRUE(missing_.empty());
}
}  // namespace
}  // namespace limemast
