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

  /// Runs probes that are \p Delay late until \p Deadline has passed, and
  /// returns the time that this took.
  Duration passingTime(LoopTime Deadline, Duration Delay) {
    TimePoint Begin = Now_;
    while (!Clock_.hasPassed(Deadline))
      probeAfter(Delay);
    return Now_ - Begin;
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

BOOST_AUTO_TEST_SUITE(a_timeout)

BOOST_FIXTURE_TEST_CASE(ends_soon_after_its_time_on_a_loop_that_keeps_up,
                        ProbedLoop) {
  Duration Taken = passingTime(Clock_.deadlineAfter(600ms, Now_), 0ms);
  BOOST_TEST((Taken >= 600ms));
  BOOST_TEST((Taken <= 600ms + 2 * Interval));
}

BOOST_FIXTURE_TEST_CASE(never_ends_before_its_time, ProbedLoop) {
  for (Duration Delay : {0ms, 15ms, 70ms, 400ms, 2000ms, 0ms}) {
    for (Duration Elapsed : {0ms, 7ms, 30ms, 300ms}) {
      TimePoint CalledAt = Now_ + Elapsed;
      LoopTime Deadline = Clock_.deadlineAfter(100ms, CalledAt);
      probeAfter(Delay + Elapsed);
      passingTime(Deadline, Delay);
      BOOST_TEST((Now_ - CalledAt >= 100ms));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(hardly_counts_a_delay_of_any_length, ProbedLoop) {
  for (Duration Delay : {500ms, 1000ms, 60000ms}) {
    LoopTime Deadline = Clock_.deadlineAfter(600ms, Now_);
    probeAfter(Delay);
    Duration Rest = passingTime(Deadline, 0ms);
    BOOST_TEST((Rest >= 550ms));
    BOOST_TEST((Rest <= 600ms + 2 * Interval));
  }
}

// What has arrived during a delay is read before calls end.
BOOST_FIXTURE_TEST_CASE(that_passes_in_a_delay_ends_after_a_further_poll,
                        ProbedLoop) {
  LoopTime Deadline = Clock_.deadlineAfter(10ms, Now_);
  probeAfter(800ms);
  BOOST_TEST(!Clock_.hasPassed(Deadline));
  probeAfter(0ms);
  BOOST_TEST(Clock_.hasPassed(Deadline));
}

BOOST_FIXTURE_TEST_CASE(ends_on_a_permanently_late_loop_as_well, ProbedLoop) {
  for (int Probe = 0; Probe < 50; ++Probe)
    probeAfter(400ms);
  Duration Taken = passingTime(Clock_.deadlineAfter(900ms, Now_), 400ms);
  BOOST_TEST((Taken >= 900ms));
  // Four times the timeout, and two probes.
  BOOST_TEST((Taken <= 3600ms + 2 * (Interval + 400ms)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
