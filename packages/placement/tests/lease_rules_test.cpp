#include "filbertspring/placement/lease_rules.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

/// Lease settings with a drift bound of 0.1 %.
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

BOOST_AUTO_TEST_CASE(lease_end_is_relative_to_the_clock_reading) {
  BOOST_TEST(leaseEnd(Reading, settings()) == 35'000'000);
}

BOOST_AUTO_TEST_CASE(start_deadline_holds_for_a_slow_worker_clock) {
  // A slow worker clock reaches the deadline later than the local clock does.
  WorkerTime Left = startDeadline(Reading, settings()) - Reading.Clock_;
  BOOST_TEST((maxLocalDuration(Duration(Left), settings()) <= Duration(3s)));
}

BOOST_AUTO_TEST_CASE(latest_lease_expiry_includes_drift_and_margin) {
  TimePoint Expiry = latestLeaseExpiry(Reading, settings());
  BOOST_TEST((Expiry >= TimePoint(100s + 30s + 30ms + 200ms)));
  BOOST_TEST((Expiry < TimePoint(100s + 31s)));
}

BOOST_AUTO_TEST_CASE(prior_owner_lease_expiry_includes_the_cut_off_grace) {
  TimePoint Expiry = latestPriorOwnerLeaseExpiry(TimePoint(100s), settings());
  BOOST_TEST((Expiry >= TimePoint(100s + 90s + 90ms + 200ms)));
}

BOOST_AUTO_TEST_CASE(start_deadline_passes_only_after_the_drift_bound) {
  WorkerTime Limit = Reading.Clock_ + 1'000'000;
  BOOST_TEST(!hasPassedOnWorker(Reading, TimePoint(101s), Limit, settings()));
  BOOST_TEST(
      hasPassedOnWorker(Reading, TimePoint(101s + 2ms), Limit, settings()));
}

BOOST_AUTO_TEST_SUITE_END()
