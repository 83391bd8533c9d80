#include "cloud/offer_selection.hpp"

#include <gtest/gtest.h>

namespace limemast::cloud {
namespace {
class OfferSelectionTest : public testing::Test {
 protected:
  OfferSelectionTest() {
    task_.cpus = 4;
    task_.ram_gb = 8;
    types_ = {type("small", 8, 32, 1.0), type("large", 32, 128, 3.0), type("lean", 32, 16, 2.0)};
  }
  static wire::MachineType type(const std::string& name, double cpus, double ram_gb, double price) {
    wire::MachineType out;
    out.name = name;
    out.cpus = cpus;
    out.ram_gb = ram_gb;
    out.price = price;
    out.spot_price = price / 4;
    out.zones = {"a", "b"};
    return out;
  }
  OfferQuery query(bool spot) const {
    return {.jobs = jobs_,
            .spot = spot,
            .zones = nullptr,
            .types = types_,
            .cpus_by_zone = {},
            .overdue = {},
            .is_available = [](const auto&, const auto&) { return true; }};
  }
  wire::JobSpec task_;
  std::vector<const wire::JobSpec*> jobs_{&task_};
  std::vector<wire::MachineType> types_;
};

TEST_F(OfferSelectionTest, TheScarcestResourceLimitsTheTasksOfAMachine) {
  EXPECT_EQ(tasks_per_machine(types_[0], task_), 2);
  EXPECT_EQ(tasks_per_machine(types_[2], task_), 2) << "its memory holds no more";
  task_.accelerators = 1;
  EXPECT_EQ(tasks_per_machine(types_[1], task_), 0);
}

TEST_F(OfferSelectionTest, TheMachineSuitsTheJobWithTheMostCpus) {
  wire::JobSpec many;
  many.cpus = 1;
  many.tasks = 50;
  many.types = std::vector<std::string>{"small"};
  task_.tasks = 10;
  jobs_.push_back(&many);
  EXPECT_EQ(select_offer(query(true))->type->name, "small");
}

// Guards against a zone or a type in which nothing is launched because the job with the most CPUs
// cannot use it.
TEST_F(OfferSelectionTest, AJobThatCanUseNoOfferDoesNotPreventLaunchesForOthers) {
  wire::JobSpec many;
  many.cpus = 1;
  many.tasks = 50;
  many.zone = "a";
  task_.zone = "b";
  jobs_ = {&many, &task_};
  const std::set<std::string> zone_b{"b"};
  auto wanted = query(false);
  wanted.zones = &zone_b;
  ASSERT_TRUE(select_offer(wanted));
  EXPECT_EQ(select_offer(wanted)->zone, "b");

  many.zone.reset();
  many.types = std::vector<std::string>{"small"};
  wanted.is_available = [](const auto& type, const auto&) { return type.name != "small"; };
  ASSERT_TRUE(select_offer(wanted));
  EXPECT_EQ(select_offer(wanted)->type->name, "large");
  jobs_ = {&many};
  EXPECT_FALSE(select_offer(wanted));
}

TEST_F(OfferSelectionTest, TheLowestPricePerUsableCpuWins) {
  const auto offer = select_offer(query(true));
  ASSERT_TRUE(offer);
  EXPECT_EQ(offer->type->name, "large");
  EXPECT_DOUBLE_EQ(offer->price_per_usable_cpu, 0.75 / 32);
}

TEST_F(OfferSelectionTest, OnDemandMachinesAreSpreadOverTheZonesBeforeThePriceCounts) {
  types_[1].zones = {"a"};
  auto wanted = query(false);
  wanted.cpus_by_zone = {{"a", 64}, {"b", 8}};
  EXPECT_EQ(select_offer(wanted)->zone, "b");
  wanted.spot = true;
  EXPECT_EQ(select_offer(wanted)->zone, "a");
}

TEST_F(OfferSelectionTest, OffersWithSeveralOverdueMachinesComeLast) {
  auto wanted = query(true);
  wanted.overdue = {{{"large", "a"}, 1}, {{"large", "b"}, 2}};
  EXPECT_EQ(select_offer(wanted)->zone, "a");
  wanted.overdue = {{{"large", "a"}, 2}, {{"large", "b"}, 2}};
  EXPECT_EQ(select_offer(wanted)->type->name, "small");
}

TEST_F(OfferSelectionTest, OnlyFittingTypesAndAllowedZonesAreOffered) {
  task_.types = std::vector<std::string>{"small"};
  task_.zone = "b";
  const auto offer = select_offer(query(true));
  ASSERT_TRUE(offer);
  EXPECT_EQ(offer->type->name, "small");
  EXPECT_EQ(offer->zone, "b");
  const std::set<std::string> elsewhere{"a"};
  auto wanted = query(true);
  wanted.zones = &elsewhere;
  EXPECT_FALSE(select_offer(wanted));
  auto refused = query(true);
  refused.is_available = [](const auto&, const auto& zone) { return zone != "b"; };
  EXPECT_FALSE(select_offer(refused));
}
}  // namespace
}  // namespace limemast::cloud
