#include "wire/job.hpp"

#include <gtest/gtest.h>

namespace limemast::wire {
namespace {
json example() {
  return json::parse(
      R"({"uid":"wk-000412","workload":"train","owner":"vision","shape":"batch","rank":"urgent","shards":16,
    "cpus":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","sizeGb":6.2,"flavors":["g8"],"district":null,
    "samePlace":true,"apart":false,"reclaimable":true,"expectS":240.0,"snapshotEveryS":30.0,"snapshotCostS":4.0,"dueS":900.0})");
}

/// Expects both overloads of parse_submission() to refuse the body and to name the field.
void expect_refused(const json& body, const std::string& field) {
  const auto spec = parse_submission(body);
  ASSERT_FALSE(spec) << field;
  EXPECT_EQ(spec.error(), FieldError{field});
  std::string error;
  EXPECT_FALSE(parse_submission(body, error)) << field;
  EXPECT_EQ(error, field);
}

TEST(Submission, RoundTrip) {
  const auto spec = parse_submission(example());
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->tasks, 16u);
  EXPECT_EQ(spec->rank, Rank::Urgent);
  EXPECT_FALSE(spec->zone);
  const auto again = parse_submission(to_json(*spec));
  ASSERT_TRUE(again);
  EXPECT_EQ(to_json(*again), to_json(*spec));
}

TEST(Submission, SerializesToItsOriginalText) {
  auto expected = example();
  expected.erase("district");  // to_json() omits null fields
  const auto spec = parse_submission(example());
  ASSERT_TRUE(spec);
  EXPECT_EQ(to_json(*spec).dump(), expected.dump());
}

TEST(Submission, InvalidFieldIsNamed) {
  const std::pair<const char*, json> invalid[] = {
      {"uid", "job-1"},        {"uid", "wk-12"},         {"uid", 7},
      {"shape", "heap"},       {"rank", "high"},         {"shards", 0},
      {"shards", 100001},      {"shards", 1.5},          {"cpus", -1.0},
      {"cpus", "8"},           {"ramGb", nullptr},       {"bundle", ""},
      {"flavors", "g8"},       {"flavors", {1}},         {"district", 3},
      {"samePlace", 1},        {"reclaimable", nullptr}, {"expectS", -3.0},
      {"snapshotEveryS", "x"}, {"dueS", "soon"},         {"owner", nullptr}};
  for (const auto& [field, value] : invalid) {
    auto body = example();
    body[field] = value;
    expect_refused(body, field);
  }
}

TEST(Submission, FirstOfSeveralInvalidFieldsIsNamed) {
  auto body = example();
  body["dueS"] = "soon";
  body["rank"] = "high";
  body["cpus"] = -1.0;
  expect_refused(body, "rank");
}

TEST(Submission, BodyThatIsNotAnObjectIsRefused) {
  expect_refused(json::array(), "body");
  expect_refused(json(json::value_t::discarded), "body");
}

TEST(Submission, MissingFieldIsNamed) {
  for (const std::string field : {"uid", "workload", "owner", "shape", "rank", "shards", "cpus",
                                  "accelerators", "ramGb", "bundle", "sizeGb", "samePlace", "apart",
                                  "reclaimable", "expectS", "snapshotEveryS", "snapshotCostS"}) {
    auto body = example();
    body.erase(field);
    expect_refused(body, field);
    body[field] = json::object();
    expect_refused(body, field);
  }
}

TEST(Submission, NullableFieldsMayBeMissingAndUnknownOnesAreIgnored) {
  auto body = example();
  for (const char* field : {"flavors", "district", "dueS"}) body.erase(field);
  body["colour"] = "green";
  std::string error = "of an earlier call";
  EXPECT_TRUE(parse_submission(body, error)) << error;
  EXPECT_EQ(error, "");
  EXPECT_TRUE(parse_submission(body));
}

TEST(JobSpec, SpreadAllowsHalfOfTheTasksInOneZone) {
  JobSpec spec;
  spec.spread = true;
  for (const auto& [tasks, cap] : {std::pair{9u, 5u}, {1u, 1u}, {2u, 1u}, {3u, 2u}}) {
    spec.tasks = tasks;
    EXPECT_EQ(spec.max_tasks_per_zone(), cap);
  }
}

TEST(TaskName, MalformedNameIsRefused) {
  EXPECT_EQ(parse_task_name("wk-000412/3"), (TaskName{"wk-000412", 3}));
  std::string uid;
  std::uint32_t index = 0;
  EXPECT_TRUE(parse_task_name("wk-000412/3", uid, index));
  EXPECT_EQ(uid, "wk-000412");
  EXPECT_EQ(index, 3u);
  for (const char* malformed :
       {"wk-000412", "wk-000412/", "wk-000412/x", "wk-000412/3x", "x/3", "/3", "wk-000412/-1"}) {
    EXPECT_FALSE(parse_task_name(malformed)) << malformed;
    EXPECT_FALSE(parse_task_name(malformed, uid, index)) << malformed;
  }
}
}  // namespace
}  // namespace limemast::wire
