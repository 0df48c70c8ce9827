/// \file
/// Tests of the limit of starts, with loops that take a fixed time for each
/// start.

#include "filbertspring/scheduling/start_admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// An owner that always has tasks to start, and whose loop can do a certain
/// number of starts a second.
struct BusyOwner {
  /// Lets \p Time pass. Returns the starts in it.
  std::size_t run(Duration Time, double Capacity, std::size_t Demand) {
    constexpr Duration Cycle = 25ms;
    std::size_t Starts = 0;
    LongestDelay_ = {};
    LongestPause_ = {};
    TimePoint End = Now_ + Time;
    for (TimePoint LastStart = Now_; Now_ < End; Now_ += Cycle) {
      Work_ -= std::min(Work_, Cycle);
      LongestDelay_ = std::max(LongestDelay_, Work_);
      Waiting_ += Demand * std::size_t(Cycle / 1ms) / 1000;
      Admission_.observe(Now_, Work_);
      std::size_t Placed = std::min(Admission_.admit(Now_), Waiting_);
      if (Placed > 0)
        Admission_.placed(Now_, Placed, 1ms);
      Waiting_ -= Placed;
      Starts += Placed;
      Work_ +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              static_cast<double>(Placed) / Capacity));
      if (Placed > 0)
        LastStart = Now_;
      LongestPause_ = std::max(LongestPause_, Now_ - LastStart);
    }
    return Starts;
  }

  TimePoint Now_{100s};
  StartAdmission Admission_;
  /// Work of the loop that is not done.
  Duration Work_{};
  std::size_t Waiting_ = 0;
  Duration LongestDelay_{};
  Duration LongestPause_{};
};

BOOST_AUTO_TEST_SUITE(a_limit_of_starts)

BOOST_FIXTURE_TEST_CASE(is_absent_while_the_loop_keeps_up, BusyOwner) {
  BOOST_TEST(run(20s, 2000, 1000) == 20'000U);
  BOOST_TEST(!Admission_.isLimited());
}

BOOST_FIXTURE_TEST_CASE(is_absent_after_a_single_pause, BusyOwner) {
  run(5s, 2000, 20);
  Now_ += 400ms;
  Admission_.observe(Now_, 400ms);
  Now_ += 20ms;
  Admission_.observe(Now_, 0ms);
  Waiting_ += 400;
  BOOST_TEST(run(50ms, 2000, 20) >= 400U);
}

BOOST_FIXTURE_TEST_CASE(keeps_the_loop_in_time_at_twice_its_load, BusyOwner) {
  run(3s, 1000, 2000);
  std::size_t Starts = run(20s, 1000, 2000);
  BOOST_TEST(Admission_.isLimited());
  BOOST_TEST(LongestDelay_ < 500ms);
  // Of 20,000.
  BOOST_TEST(Starts > 16'000U);
}

BOOST_FIXTURE_TEST_CASE(follows_a_loop_that_becomes_slower_or_faster,
                        BusyOwner) {
  run(5s, 1000, 4000);
  run(2s, 200, 4000);
  std::size_t Slow = run(10s, 200, 4000);
  BOOST_TEST(LongestDelay_ < 1s);
  BOOST_TEST(Slow > 1500U);
  run(2s, 1000, 4000);
  BOOST_TEST(run(10s, 1000, 4000) > 7500U);
}

BOOST_FIXTURE_TEST_CASE(allows_the_rate_before_a_stall_two_seconds_after_it,
                        BusyOwner) {
  run(5s, 2000, 1000);
  // The process is stopped for three seconds.
  Now_ += 3s;
  Waiting_ += 3000;
  Admission_.observe(Now_, 3s);
  BOOST_TEST(!Admission_.isLimited());
  run(2s, 2000, 1000);
  BOOST_TEST(run(1s, 2000, 1000) >= 1000U);
  // Until then, tasks of the stall wait.
  run(8s, 2000, 1000);
  BOOST_TEST(!Admission_.isLimited());
}

BOOST_FIXTURE_TEST_CASE(never_stops_all_starts_for_long, BusyOwner) {
  for (Duration Time{}; Time < 30s; Time += 500ms) {
    Now_ += 500ms;
    Admission_.observe(Now_, 5s);
    std::size_t Starts = Admission_.admit(Now_);
    BOOST_TEST(Starts > 0U);
    BOOST_TEST((Starts < 100U || Time == Duration::zero()));
    Admission_.placed(Now_, std::min<std::size_t>(Starts, 450), 1ms);
  }
}

BOOST_FIXTURE_TEST_CASE(begins_below_the_rate_of_a_burst, BusyOwner) {
  Admission_.observe(Now_, 0s);
  Admission_.placed(Now_, 4000, 10ms);
  Now_ += 900ms;
  Admission_.observe(Now_, 890ms);
  Now_ += 900ms;
  Admission_.observe(Now_, 1800ms);
  BOOST_TEST(Admission_.isLimited());
  BOOST_TEST(Admission_.startsPerSecond() <= 2000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement_passes)

BOOST_AUTO_TEST_CASE(take_at_most_a_fifth_of_the_time) {
  StartAdmission Admission;
  TimePoint Now(100s);
  Duration Spent{};
  for (TimePoint End = Now + 10s; Now < End; Now += 5ms) {
    Admission.observe(Now, 0s);
    if (Admission.admit(Now) == 0)
      continue;
    Admission.placed(Now, 0, 20ms);
    Spent += 20ms;
    Now += 20ms;
  }
  BOOST_TEST(Spent <= 2020ms);
  BOOST_TEST(Spent >= 1500ms);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
