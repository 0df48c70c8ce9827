/// \file
/// Tests of an owner with 1,100 workers at twice the load or more that its
/// event loop can carry. The bounds are the users': a drain is in force after 2
/// s, a cancelled task is stopped after 3 s, and an end is noted after 4 s.

#include "slow_owner.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// An owner at a multiple of the load that its loop can carry.
struct LoadedOwner {
  LoadedOwner(double Processors, double TasksPerSecond) {
    SlowOwnerLoad Load;
    Load.TasksPerSecond_ = TasksPerSecond;
    LoopCosts Costs;
    Costs.Processors_ = Processors;
    SlowOwner Owner(Load, Costs);
    Owner.run(15s);
    Seen_ = Owner.statistics();
    BOOST_TEST_MESSAGE(Seen_.Starts_
                       << " starts, " << Seen_.UrgentStarts_ << " urgent, "
                       << Seen_.StartsOutOfOrder_ << " out of order; "
                       << Seen_.LeasesExpired_ << " leases expired, "
                       << Seen_.RunsTwice_ << " runs twice; loop late by up to "
                       << Seen_.LongestDelay_ / 1ms << " ms; drain "
                       << Seen_.LatestStartAfterDrain_ / 1ms << ", stop "
                       << Seen_.LongestStop_ / 1ms << ", end "
                       << Seen_.LongestEnd_ / 1ms << ", urgent wait "
                       << Seen_.LongestUrgentWait_ / 1ms << " ms");
  }

  void checkRules() const {
    BOOST_TEST(Seen_.LeasesExpired_ == 0U);
    BOOST_TEST(Seen_.RunsTwice_ == 0U);
    BOOST_TEST((Seen_.LatestStartAfterDrain_ <= 2s));
    BOOST_TEST((Seen_.LongestStop_ <= 3s));
    BOOST_TEST((Seen_.LongestEnd_ <= 4s));
    BOOST_TEST(Seen_.StartsOutOfOrder_ == 0U);
    BOOST_TEST(Seen_.Starts_ > 1000U);
  }

  SlowOwnerStatistics Seen_;
};

struct OwnerAtTwiceItsLoad : LoadedOwner {
  OwnerAtTwiceItsLoad() : LoadedOwner(0.25, 1600) {}
};

struct OwnerAtFiveTimesItsLoad : LoadedOwner {
  OwnerAtFiveTimesItsLoad() : LoadedOwner(0.15, 2000) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_owner_of_a_large_cell)

BOOST_AUTO_TEST_SUITE(at_twice_the_load_of_its_loop)

BOOST_FIXTURE_TEST_CASE(keeps_leases_drains_stops_and_ends_in_time,
                        OwnerAtTwiceItsLoad) {
  checkRules();
}

BOOST_FIXTURE_TEST_CASE(starts_urgent_tasks_in_time, OwnerAtTwiceItsLoad) {
  BOOST_TEST((Seen_.LongestUrgentWait_ <= 2s));
  BOOST_TEST(Seen_.UrgentStarts_ > 4000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_five_times_the_load_of_its_loop)

BOOST_FIXTURE_TEST_CASE(keeps_leases_drains_stops_and_ends_in_time,
                        OwnerAtFiveTimesItsLoad) {
  checkRules();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
