/// \file
/// Tests of how soon the ends of runs are acknowledged in a cell of the size of
/// the users' largest lending site: 490 workers, hundreds of open jobs and
/// about 400 ends a second.

#include "large_cell.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// AckTimeoutMs of that site.
constexpr Duration Limit = 6000ms;

struct LoadedLargeCell : LargeCell {
  LoadedLargeCell() : LargeCell(CellSize()) {
    run(15s);
    EndStatistics Calm = takeStatistics(Limit);
    BOOST_TEST_MESSAGE(openJobs() << " open jobs");
    BOOST_REQUIRE(openJobs() > 300U);
    BOOST_REQUIRE(Calm.Ended_ > 2000U);
  }

  /// Lets \p Time pass and checks that no end was acknowledged late.
  void check(Duration Time) {
    run(Time);
    EndStatistics Ends = takeStatistics(Limit);
    BOOST_TEST_MESSAGE(Ends.Ended_ << " ends, " << Ends.Acknowledged_
                                   << " acknowledged, " << Ends.Late_
                                   << " late, longest " << Ends.Longest_ / 1ms
                                   << " ms");
    BOOST_TEST(Ends.Late_ == 0U);
    BOOST_TEST(Ends.Ended_ > 200U * static_cast<std::size_t>(Time / 1s));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_end_in_a_large_cell)

BOOST_AUTO_TEST_SUITE(is_acknowledged_in_time)

BOOST_FIXTURE_TEST_CASE(under_constant_load, LoadedLargeCell) { check(12s); }

BOOST_FIXTURE_TEST_CASE(after_a_burst_of_jobs, LoadedLargeCell) {
  submitJobs(600);
  check(15s);
}

BOOST_FIXTURE_TEST_CASE(while_the_store_is_slow, LoadedLargeCell) {
  setCommitTime(480ms);
  check(12s);
}

BOOST_FIXTURE_TEST_CASE(while_every_other_transaction_fails, LoadedLargeCell) {
  failCommits(2, 50ms);
  check(12s);
}

BOOST_FIXTURE_TEST_CASE(after_an_outage_of_the_store, LoadedLargeCell) {
  loseStore();
  run(10s);
  restoreStore();
  check(12s);
}

BOOST_FIXTURE_TEST_CASE(after_a_takeover, LoadedLargeCell) {
  takeOver(3s);
  check(12s);
}

BOOST_FIXTURE_TEST_CASE(after_takeovers_during_an_outage, LoadedLargeCell) {
  loseStore();
  run(8s);
  takeOver(2s);
  run(2s);
  restoreStore();
  takeOver(1s);
  check(12s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
