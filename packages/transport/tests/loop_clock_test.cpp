/// \file
/// Tests of the measured delay of an event loop, in virtual time.

#include "filbertspring/transport/loop_clock.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;

constexpr Duration Interval = LoopClock::ProbeInterval;

/// A loop whose probes run when the test says so.
struct ProbedLoop {
  /// Runs the next probe \p Delay later than it is due.
  Duration probeAfter(Duration Delay) {
    Now_ += Interval + Delay;
    return Clock_.probed(Now_);
  }

  TimePoint Now_ = TimePoint(1000s);
  LoopClock Clock_{Now_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_delay_of_a_loop)

BOOST_FIXTURE_TEST_CASE(is_zero_while_probes_run_when_they_are_due,
                        ProbedLoop) {
  for (int Probe = 0; Probe < 5; ++Probe)
    BOOST_TEST((probeAfter(0ms) == 0ms));
  BOOST_TEST((Clock_.delay(Now_) == 0ms));
  BOOST_TEST((Clock_.delay(Now_ + Interval) == 0ms));
}

BOOST_FIXTURE_TEST_CASE(is_that_of_the_last_probe, ProbedLoop) {
  BOOST_TEST((probeAfter(700ms) == 700ms));
  BOOST_TEST((Clock_.delay(Now_) == 700ms));
  BOOST_TEST((probeAfter(3ms) == 3ms));
  BOOST_TEST((Clock_.delay(Now_) == 3ms));
}

BOOST_FIXTURE_TEST_CASE(grows_while_a_probe_is_overdue, ProbedLoop) {
  probeAfter(3ms);
  BOOST_TEST((Clock_.delay(Now_ + Interval + 2ms) == 3ms));
  BOOST_TEST((Clock_.delay(Now_ + Interval + 400ms) == 400ms));
}

BOOST_FIXTURE_TEST_CASE(does_not_include_the_time_before_the_loop_runs,
                        ProbedLoop) {
  Now_ += 10s;
  Clock_.started(Now_);
  BOOST_TEST((Clock_.delay(Now_) == 0ms));
  BOOST_TEST((probeAfter(0ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
