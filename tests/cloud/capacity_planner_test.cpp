#include "cloud/capacity_planner.hpp"

#include <gtest/gtest.h>

#include "jobs/long_task_scheduler.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;

net::Time at(int seconds) { return net::Time(std::chrono::seconds(1000 + seconds)); }

class CapacityPlannerTest : public testing::Test {
 protected:
  CapacityPlannerTest() {
    service_.service = true;
    service_.tasks = 6;
    service_.cpus = 2;
    batch_.spot = true;
    batch_.tasks = 100;
    batch_.cpus = 1;
    batch_.estimate = wire::Seconds(30);
    tuning_.idle_return = wire::Seconds(20);
  }
  static JobDemand job(const wire::JobSpec& spec) {
    JobDemand out;
    out.spec = &spec;
    out.tasks = spec.tasks;
    return out;
  }
  static Capacity on_demand(double a, double b) { return {{{"a", a}, {"b", b}}, 0, 0}; }
  /// Demand of jobs that need 100 spot CPUs to meet their targets.
  Demand late_demand() const {
    Demand out;
    out.capacity = {{{"a", 10}, {"b", 10}}, 100, 100};
    out.spot_jobs = {&batch_};
    return out;
  }
  wire::JobSpec service_;
  wire::JobSpec batch_;
  wire::Tuning tuning_;
  CapacityPlanner planner_{tuning_};
};

TEST_F(CapacityPlannerTest, ThereIsNoDemandWithoutJobs) {
  const auto demand = demand_of({{}, {"a", "b"}, 16});
  EXPECT_EQ(demand.capacity.on_demand, (std::map<std::string, double>{{"a", 0}, {"b", 0}}));
  EXPECT_EQ(demand.capacity.spot_cpus, 0);
  EXPECT_TRUE(demand.on_demand_jobs.empty());
}

TEST_F(CapacityPlannerTest, ServicesNeedOnDemandCapacityWithSpareInEachZone) {
  const auto demand = demand_of({{job(service_)}, {"a", "b"}, 16});
  const double spare = 12 * jobs::kServiceSpareFraction + 16.0 / 2;
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), (12 + spare) / 2);
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("b"), (12 + spare) / 2);
  EXPECT_EQ(demand.on_demand_jobs, (std::vector<const wire::JobSpec*>{&service_}));
  EXPECT_TRUE(demand.spot_jobs.empty());
}

TEST_F(CapacityPlannerTest, AssignedTasksCountInTheirZonesAndTheRestInAnyZone) {
  const std::map<std::string, std::uint32_t> assigned{{"a", 4}};
  auto placed = job(service_);
  placed.tasks_by_zone = &assigned;
  const auto demand = demand_of({{placed}, {"a", "b"}, 0});
  const double anywhere = 4 + 12 * jobs::kServiceSpareFraction;
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), 8 + anywhere / 2);
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("b"), anywhere / 2);
}

TEST_F(CapacityPlannerTest, AJobWithAZoneConstraintNeedsCapacityInThatZone) {
  service_.zone = "b";
  const auto demand = demand_of({{job(service_)}, {"a", "b"}, 0});
  const double spare = 12 * jobs::kServiceSpareFraction;
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), spare / 2);
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("b"), 12 + spare / 2);
}

TEST_F(CapacityPlannerTest, OnlyATimeCriticalSpotJobNeedsDeadlineCapacity) {
  auto spot = job(batch_);
  auto demand = demand_of({{spot}, {"a"}, 16});
  EXPECT_DOUBLE_EQ(demand.capacity.spot_cpus, 100);
  EXPECT_DOUBLE_EQ(demand.capacity.deadline_cpus, 0);
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), 0);
  EXPECT_EQ(demand.spot_jobs, (std::vector<const wire::JobSpec*>{&batch_}));

  spot.time_critical = true;
  spot.until_target = wire::Seconds(60);
  demand = demand_of({{spot}, {"a"}, 16});
  EXPECT_DOUBLE_EQ(demand.capacity.deadline_cpus, 50) << "3,000 s of work in 60 s";
  spot.until_target = wire::Seconds(10);
  demand = demand_of({{spot}, {"a"}, 16});
  EXPECT_DOUBLE_EQ(demand.capacity.deadline_cpus, 100) << "no more than its tasks can use";
  spot.until_target.reset();
  demand = demand_of({{spot}, {"a"}, 16});
  EXPECT_DOUBLE_EQ(demand.capacity.deadline_cpus, 10) << "a late job should take 300 s";
}

TEST_F(CapacityPlannerTest, SupplyIsSummedByZoneAndMarket) {
  const auto supply =
      supply_of({{"a", false, 16}, {"b", true, 8}, {"a", false, 4}, {"a", true, 2}});
  EXPECT_EQ(supply.on_demand, (std::map<std::string, double>{{"a", 20}}));
  EXPECT_DOUBLE_EQ(supply.spot_cpus, 10);
}

TEST_F(CapacityPlannerTest, ASurplusInOneZoneDoesNotHideAShortfallInAnother) {
  const auto shortfall = on_demand_shortfall(on_demand(30, 10), on_demand(20, 18));
  EXPECT_EQ(shortfall.missing, (std::vector<std::pair<std::string, double>>{{"a", 10}}));
  EXPECT_DOUBLE_EQ(shortfall.surplus, 8);
  const auto without_supply = on_demand_shortfall(on_demand(30, 0), {});
  EXPECT_EQ(without_supply.missing, (std::vector<std::pair<std::string, double>>{{"a", 30}}));
}

TEST_F(CapacityPlannerTest, OnDemandOverflowStartsOnlyAfterAPersistentSpotShortfall) {
  const Capacity supply{{}, 40, 0};
  auto demand = late_demand();
  planner_.add_deadline_overflow(demand, supply, at(0));
  EXPECT_EQ(demand.capacity.on_demand, late_demand().capacity.on_demand)
      << "spot machines are available";

  planner_.set_spot_unavailable(true);
  planner_.add_deadline_overflow(demand, supply, at(1));
  planner_.add_deadline_overflow(demand, supply, at(11));
  EXPECT_EQ(demand.capacity.on_demand, late_demand().capacity.on_demand) << "a short peak";
  EXPECT_TRUE(demand.on_demand_jobs.empty());

  planner_.add_deadline_overflow(demand, supply, at(12));
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), 10 + 30);
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("b"), 10 + 30);
  EXPECT_EQ(demand.on_demand_jobs, demand.spot_jobs);
}

TEST_F(CapacityPlannerTest, TheOverflowDelayRestartsAfterSpotCapacitySufficed) {
  planner_.set_spot_unavailable(true);
  auto demand = late_demand();
  planner_.add_deadline_overflow(demand, {{}, 40, 0}, at(0));
  planner_.add_deadline_overflow(demand, {{}, 100, 0}, at(8));
  planner_.add_deadline_overflow(demand, {{}, 40, 0}, at(12));
  planner_.add_deadline_overflow(demand, {{}, 40, 0}, at(20));
  EXPECT_EQ(demand.capacity.on_demand, late_demand().capacity.on_demand);
}

TEST_F(CapacityPlannerTest, TheOverflowIsTheConfiguredFractionOfTheShortfall) {
  tuning_.on_demand_fraction = 0.5;
  planner_.set_spot_unavailable(true);
  auto demand = late_demand();
  planner_.add_deadline_overflow(demand, {{}, 40, 0}, at(0));
  planner_.add_deadline_overflow(demand, {{}, 40, 0}, at(11));
  EXPECT_DOUBLE_EQ(demand.capacity.on_demand.at("a"), 10 + 15);
}

TEST_F(CapacityPlannerTest, TheRecentPeakIsKeptForTheIdleRetentionPeriod) {
  planner_.recent_peak({{{"a", 50}}, 80, 0}, at(0));
  auto peak = planner_.recent_peak({{{"a", 10}, {"b", 5}}, 20, 0}, at(20));
  EXPECT_EQ(peak.on_demand, (std::map<std::string, double>{{"a", 50}, {"b", 5}}));
  EXPECT_DOUBLE_EQ(peak.spot_cpus, 80);
  peak = planner_.recent_peak({{{"a", 10}}, 20, 0}, at(21));
  EXPECT_EQ(peak.on_demand, (std::map<std::string, double>{{"a", 10}, {"b", 5}}));
  EXPECT_DOUBLE_EQ(peak.spot_cpus, 20);
}
}  // namespace
}  // namespace limemast::cloud
