#include "tools/screen.hpp"

#include <gtest/gtest.h>

namespace limemast::tools {
namespace {
using namespace std::chrono_literals;
using Key = Screen::Key;
using wire::json;

std::shared_ptr<Snapshot> snapshot_with_jobs(std::size_t jobs) {
  auto s = std::make_shared<Snapshot>();
  s->from = "127.0.0.1:1";
  for (std::size_t i = 0; i < jobs; ++i) {
    const auto n = std::to_string(100000 + i);
    s->jobs.push_back({{"uid", "wk-" + n},
                       {"class", i % 2 ? "gis-sync" : "photo-thumbs"},
                       {"team", "red"},
                       {"rank", "low"},
                       {"ageS", 10.0 * static_cast<double>(jobs - i)},
                       {"waiting", i},
                       {"running", 0},
                       {"starting", 0},
                       {"done", 0},
                       {"tasks", i},
                       {"cause", "room"},
                       {"place", i + 1},
                       {"of", jobs},
                       {"line", "placement"}});
  }
  s->machines.push_back({{"name", "n-000001"}, {"spot", true}, {"state", "up"}, {"tasks", 2}});
  s->drains.push_back(
      {{"id", "zone/a"}, {"ageS", 5}, {"complete", false}, {"tasks", 3}, {"note", "\x1b[2J"}});
  return s;
}

class ScreenTest : public testing::Test {
 protected:
  std::vector<std::string> lines(std::size_t rows = 24, std::size_t columns = 80) {
    std::vector<std::string> out;
    selected_.clear();
    for (const auto& line : screen_.render(rows, columns, now_)) {
      EXPECT_EQ(width(line.text), columns);
      if (line.look == Screen::Line::Look::Selected) selected_ = line.text;
      out.push_back(line.text);
    }
    EXPECT_EQ(out.size(), rows);
    return out;
  }
  bool shows(const std::string& text, std::size_t rows = 24, std::size_t columns = 80) {
    for (const auto& line : lines(rows, columns))
      if (line.find(text) != std::string::npos) return true;
    return false;
  }
  void type(const std::string& text) {
    for (const char c : text) screen_.press(Key::Other, c);
  }
  Screen screen_;
  net::Time now_{1000s};
  std::string selected_;
};

TEST_F(ScreenTest, FitsAnySize) {
  screen_.show(snapshot_with_jobs(500), now_);
  for (const std::size_t rows : {1u, 2u, 3u, 5u, 24u, 200u})
    for (const std::size_t columns : {1u, 10u, 79u, 80u, 300u}) {
      for (int view = 0; view < 4; ++view, screen_.press(Key::NextView)) lines(rows, columns);
      screen_.press(Key::Accept);
      lines(rows, columns);
      screen_.press(Key::Accept);
    }
}

TEST_F(ScreenTest, MovesThroughTenThousandJobs) {
  screen_.show(snapshot_with_jobs(10'000), now_);
  EXPECT_TRUE(shows("10000 jobs"));
  EXPECT_TRUE(shows("wk-100000"));
  screen_.press(Key::End);
  EXPECT_TRUE(shows("wk-109999"));
  EXPECT_FALSE(shows("wk-100000"));
  screen_.press(Key::PageUp);
  screen_.press(Key::Home);
  lines();
  EXPECT_NE(selected_.find("wk-100000"), std::string::npos);
  screen_.press(Key::Down);
  lines();
  EXPECT_NE(selected_.find("wk-100001"), std::string::npos);
}

TEST_F(ScreenTest, SortsAndKeepsTheSelectedRow) {
  screen_.show(snapshot_with_jobs(30), now_);
  screen_.press(Key::Down);
  lines();
  const auto row = selected_.substr(0, 9);
  for (int i = 0; i < 5; ++i) screen_.press(Key::NextSort);  // job, class, team, rank, age
  EXPECT_TRUE(shows("by age"));
  EXPECT_EQ(selected_.substr(0, 9), row) << "the cursor stays on its job";
  screen_.press(Key::Home);
  lines();
  EXPECT_EQ(selected_.substr(0, 9), "wk-100029") << "the youngest";
  screen_.press(Key::Reverse);
  screen_.press(Key::Home);
  lines();
  EXPECT_EQ(selected_.substr(0, 9), "wk-100000");
}

TEST_F(ScreenTest, SearchesAndShowsDetail) {
  screen_.show(snapshot_with_jobs(30), now_);
  screen_.press(Key::Search);
  type("GIS");
  EXPECT_TRUE(shows("15 jobs"));
  screen_.press(Key::Erase);
  screen_.press(Key::Accept);
  EXPECT_TRUE(shows("with \"GI\""));
  screen_.press(Key::Accept);
  EXPECT_TRUE(shows("waits for"));
  EXPECT_TRUE(shows("machines it may use are full"));
  screen_.press(Key::Cancel);
  screen_.press(Key::Cancel);
  EXPECT_TRUE(shows("30 jobs"));
  screen_.press(Key::Search);
  type("q");
  EXPECT_FALSE(screen_.quit_requested()) << "typed into the search";
  screen_.press(Key::Cancel);
  screen_.press(Key::Quit);
  EXPECT_TRUE(screen_.quit_requested());
}

TEST_F(ScreenTest, KeepsTheLastSnapshotAfterAnError) {
  EXPECT_TRUE(shows("reading"));
  screen_.set_error("jobs: no controller answered");
  EXPECT_TRUE(shows("no controller answered"));
  auto s = snapshot_with_jobs(3);
  s->missing.push_back("drover-2 did not answer in time, what is shown of it is 12 s old");
  screen_.show(s, now_);
  now_ += 75s;
  EXPECT_TRUE(shows("read 1m15s ago"));
  EXPECT_TRUE(shows("Part missing: drover-2"));
  screen_.set_error("jobs: no controller answered");
  EXPECT_TRUE(shows("Refresh failed: jobs: no controller answered"));
  EXPECT_TRUE(shows("wk-100002"));
}

TEST_F(ScreenTest, ControlCharactersDoNotReachTheTerminal) {
  screen_.show(snapshot_with_jobs(1), now_);
  screen_.press(Key::View3);
  for (const auto& line : lines(24, 200)) EXPECT_EQ(line.find('\x1b'), std::string::npos);
  EXPECT_TRUE(shows("?[2J", 24, 200));
}

TEST(Tables, FormatsDurationsAndSortsRows) {
  EXPECT_EQ(span(-3), "0s");
  EXPECT_EQ(span(59.4), "59s");
  EXPECT_EQ(span(75), "1m15s");
  EXPECT_EQ(span(3661), "1h01m");
  EXPECT_EQ(span(90000), "1d01h");
  Table t{"t", {"a"}, {{{"-", std::nullopt}}, {{"2", 2.0}}, {{"10", 10.0}}}};
  sort_rows(t, 0, true);
  EXPECT_EQ(t.rows[0][0].text, "10");
  EXPECT_EQ(t.rows[2][0].text, "-") << "a row without a number comes last";
  sort_rows(t, 0, false);
  EXPECT_EQ(t.rows[0][0].text, "2");
  EXPECT_EQ(t.rows[2][0].text, "-");
}
}  // namespace
}  // namespace limemast::tools
