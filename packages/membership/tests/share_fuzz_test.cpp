#define BOOST_TEST_MODULE share_fuzz
#include "share_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;
using namespace filbertspring::membership;
using namespace filbertspring::membership::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration FaultyTime = 120s;
constexpr Duration SettleTime = 60s;
constexpr std::uint64_t SearchedSeeds = 300;

/// Faults whose effect no other mechanism prevents.
FaultRates slowRequests() {
  FaultRates Faults;
  Faults.SlowRequest_ = 300;
  Faults.Pause_ = 60;
  Faults.DemandShift_ = 100;
  return Faults;
}

FaultRates disconnectionsAndDrift() {
  FaultRates Faults;
  Faults.Disconnect_ = 30;
  Faults.DriftPermille_ = LeaseSettings{}.DriftPermille_;
  return Faults;
}

/// Runs a cluster with faults and returns its largest sum of usable shares.
std::int32_t largestSum(std::uint64_t Seed, DisabledMechanism Disabled,
                        const FaultRates &Faults = HeavyFaults) {
  ShareCluster Cluster(4, Seed, Faults, Disabled, EagerTiming);
  Cluster.run(FaultyTime);
  return Cluster.largestSum();
}

/// Returns true when the oracle detects a violation in some run with
/// \p Disabled.
bool oracleDetectsViolation(DisabledMechanism Disabled,
                            const FaultRates &Faults = HeavyFaults) {
  for (std::uint64_t Seed = 1; Seed <= SearchedSeeds; ++Seed) {
    const std::int32_t Sum = largestSum(Seed, Disabled, Faults);
    if (Sum <= WholeLimitPermille)
      continue;
    BOOST_TEST_MESSAGE("seed " << Seed << ": shares in use add up to " << Sum);
    return true;
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(shares_under_faults)

BOOST_AUTO_TEST_CASE(never_exceed_the_whole_and_follow_demand_afterwards) {
  const bool Holds = rc::check([](std::uint64_t Seed) {
    const auto Instances = *rc::gen::inRange(2, 7);
    ShareCluster Cluster(Instances, Seed, HeavyFaults);
    Cluster.run(FaultyTime);
    RC_ASSERT(Cluster.largestSum() <= WholeLimitPermille);
    Cluster.endFaults();
    Cluster.run(SettleTime);
    RC_ASSERT(Cluster.largestSum() <= WholeLimitPermille);
    RC_ASSERT(Cluster.largestDeficit() < ShareSettings{}.HysteresisPermille_);
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(never_exceed_the_whole_when_reclaimed_eagerly) {
  const bool Holds = rc::check([](std::uint64_t Seed) {
    const auto Faults = *rc::gen::element(HeavyFaults, slowRequests(),
                                          disconnectionsAndDrift());
    RC_ASSERT(largestSum(Seed, DisabledMechanism::None, Faults) <=
              WholeLimitPermille);
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE(need)

BOOST_AUTO_TEST_CASE(the_end_of_the_lease) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::LeaseEnd));
}

BOOST_AUTO_TEST_CASE(the_lease_to_count_from_the_send_time) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::SendTime));
}

BOOST_AUTO_TEST_CASE(the_giver_to_shrink_before_its_write) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::EarlyShrink));
}

BOOST_AUTO_TEST_CASE(the_guard_of_a_reclaim) {
  BOOST_TEST(
      oracleDetectsViolation(DisabledMechanism::ReclaimGuard, slowRequests()));
}

BOOST_AUTO_TEST_CASE(the_wait_after_a_restart) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::RestartWait));
}

BOOST_AUTO_TEST_CASE(the_read_back_after_a_lost_answer) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::ReadBack));
}

BOOST_AUTO_TEST_CASE(the_allowance_for_clock_rates) {
  BOOST_TEST(oracleDetectsViolation(DisabledMechanism::DriftAllowance,
                                    disconnectionsAndDrift()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
