#include "filbertspring/placement/lease_rules.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

/// One part in a thousand.
LeaseSettings settings() {
  LeaseSettings Settings;
  Settings.Lease_ = 30s;
  Settings.StartBound_ = 3s;
  Settings.CutOffGrace_ = 60s;
  Settings.DriftPpm_ = 1000;
  Settings.Margin_ = 200ms;
  return Settings;
}

const ClockReading Reading{5'000'000, TimePoint(100s)};

} // namespace

BOOST_AUTO_TEST_SUITE(lease_rules)

BOOST_AUTO_TEST_CASE(a_lease_counts_from_the_workers_own_reading) {
  BOOST_TEST(leaseEnd(Reading, settings()) == 35'000'000);
}

BOOST_AUTO_TEST_CASE(a_slow_worker_has_not_started_after_the_bound) {
  // The worker's clock may pass its limit later than the bound says.
  WorkerTime Left = startDeadline(Reading, settings()) - Reading.Clock_;
  BOOST_TEST((maxLocalDuration(Duration(Left), settings()) <= Duration(3s)));
}

BOOST_AUTO_TEST_CASE(a_lapse_is_sure_after_drift_and_margin) {
  TimePoint Sure = latestLeaseExpiry(Reading, settings());
  BOOST_TEST((Sure >= TimePoint(100s + 30s + 30ms + 200ms)));
  BOOST_TEST((Sure < TimePoint(100s + 31s)));
}

BOOST_AUTO_TEST_CASE(a_new_owner_also_waits_for_the_grace_of_the_old_one) {
  TimePoint Sure = latestPriorOwnerLeaseExpiry(TimePoint(100s), settings());
  BOOST_TEST((Sure >= TimePoint(100s + 90s + 90ms + 200ms)));
}

BOOST_AUTO_TEST_CASE(a_start_is_surely_late_only_when_a_slow_clock_says_so) {
  WorkerTime Limit = Reading.Clock_ + 1'000'000;
  BOOST_TEST(!hasPassedOnWorker(Reading, TimePoint(101s), Limit, settings()));
  BOOST_TEST(
      hasPassedOnWorker(Reading, TimePoint(101s + 2ms), Limit, settings()));
}

BOOST_AUTO_TEST_SUITE_END()
