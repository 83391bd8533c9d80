#include "messages/probes.hpp"

#include "messages/round_trip.hpp"

namespace limemast::messages {
namespace {
MapVersion version() { return {.epoch = ids::EpochNumber(31), .serial = 4}; }

MachineGroups groups() {
  return {.with_long_tasks = {"n-000001", "n-000002"},
          .short_partition = {"n-000003"},
          .reserved_for_services = {"n-000004"}};
}

TEST(PlaceProbes, RoundTrip) {
  const PlaceProbes message{.uid = "wk-000412",
                            .machines = {"n-000003", "n-000001"},
                            .stage = 1,
                            .estimate = wire::Seconds(2.5),
                            .pending_tasks = 12,
                            .need = {.cpus = 2, .ram_gb = 8, .accelerators = 0},
                            .map = version()};
  const auto* literal = R"({
    "uid":"wk-000412","machines":["n-000003","n-000001"],"stage":1,"estimate":2.5,"left":12,
    "cpus":2.0,"ram":8.0,"acc":0.0,"map":[31,4]})";
  EXPECT_STREQ(PlaceProbes::kKind, "probe");
  expect_round_trip(message, literal);
  expect_fields_required<PlaceProbes>(literal);
}

TEST(ProbesRejected, RoundTrip) {
  const ProbesRejected message{
      .uid = "wk-000412",
      .stage = 1,
      .behind_long_tasks = {"n-000001"},
      .other_reasons = {"n-000003"},
      .map = ProbesRejected::NewerMap{.version = version(), .groups = groups()}};
  const auto* literal = R"({
    "uid":"wk-000412","stage":1,"long":["n-000001"],"other":["n-000003"],"map":[31,4],
    "with_long":["n-000001","n-000002"],"short_part":["n-000003"],"kept_free":["n-000004"]})";
  EXPECT_STREQ(ProbesRejected::kKind, "rejected");
  expect_round_trip(message, literal);
  expect_fields_required<ProbesRejected>(literal, {"map"});
}

TEST(ProbesRejected, WithoutNewerMap) {
  const auto* literal = R"({"uid":"wk-000412","stage":0,"long":[],"other":["n-000003"]})";
  expect_round_trip(ProbesRejected{.uid = "wk-000412",
                                   .stage = 0,
                                   .behind_long_tasks = {},
                                   .other_reasons = {"n-000003"},
                                   .map = std::nullopt},
                    literal);
  expect_fields_required<ProbesRejected>(literal);
}

TEST(ProbesDropped, RoundTrip) {
  const ProbesDropped message{.jobs = {"wk-000412", "wk-000398"}, .machine = "n-000003"};
  const auto* literal = R"({"jobs":["wk-000412","wk-000398"],"machine":"n-000003"})";
  EXPECT_STREQ(ProbesDropped::kKind, "dropped");
  expect_round_trip(message, literal);
  expect_fields_required<ProbesDropped>(literal);
}

TEST(PendingTasks, RoundTrip) {
  const PendingTasks message{.jobs = {{"wk-000412", 3, 9}, {"wk-000398", 0, 1}}};
  const auto* literal = R"({"jobs":[["wk-000412",3,9],["wk-000398",0,1]]})";
  EXPECT_STREQ(PendingTasks::kKind, "left");
  expect_round_trip(message, literal);
  expect_fields_required<PendingTasks>(literal);
  EXPECT_THROW(wire::json::parse(R"({"jobs":[["wk-000412",3]]})").get<PendingTasks>(),
               wire::json::exception);
}

TEST(LongTaskMapUpdate, RoundTrip) {
  const LongTaskMapUpdate message{.version = version(),
                                  .groups = groups(),
                                  .cordoned = {"n-000005"},
                                  .underserved_classes = {"train"},
                                  .provisioning = std::vector<LongTaskMapUpdate::Provisioning>{
                                      {.type = "g8",
                                       .zone = "a",
                                       .spot = true,
                                       .count = 2,
                                       .first_expected_in = std::chrono::milliseconds(41'500)}}};
  const auto* literal = R"({
    "generation":31,"serial":4,"closed":["n-000005"],
    "with_long":["n-000001","n-000002"],"short_part":["n-000003"],"kept_free":["n-000004"],
    "starved":["train"],"coming":[["g8","a",true,2,41500]]})";
  EXPECT_STREQ(LongTaskMapUpdate::kKind, "map");
  expect_round_trip(message, literal);
  expect_fields_required<LongTaskMapUpdate>(literal, {"starved", "coming"});
}

TEST(LongTaskMapUpdate, EmptyUnderservedClassesAndUnknownProvisioningAreOmitted) {
  const auto* literal = R"({
    "generation":31,"serial":4,"closed":[],"with_long":[],"short_part":[],"kept_free":[]})";
  expect_round_trip(LongTaskMapUpdate{.version = version(),
                                      .groups = {},
                                      .cordoned = {},
                                      .underserved_classes = {},
                                      .provisioning = std::nullopt},
                    literal);
  expect_fields_required<LongTaskMapUpdate>(literal);
}

TEST(LongTaskMapUpdate, EmptyProvisioningIsSent) {
  expect_round_trip(
      LongTaskMapUpdate{.version = version(),
                        .groups = {},
                        .cordoned = {},
                        .underserved_classes = {},
                        .provisioning = std::vector<LongTaskMapUpdate::Provisioning>{}},
      R"({"generation":31,"serial":4,"closed":[],"with_long":[],"short_part":[],"kept_free":[],"coming":[]})");
}
}  // namespace
}  // namespace limemast::messages
