/// \file
/// Tests of the decision to wait for a place near the data, and of the rates
/// that it rests on.

#include "../src/place_wait.h"
#include "../src/rack_activity.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace filbertspring::scheduling::test {

using namespace std::chrono_literals;

namespace {

/// A step of one task of 600 ms; 20 places become free in a second, and 5 tasks
/// want them.
PlaceWaitInput calmRack() {
  PlaceWaitInput Input;
  Input.RunTime_ = 600ms;
  Input.FarFactor_ = 3;
  Input.Slack_ = 1s;
  Input.ReleaseRate_ = 20;
  Input.DemandRate_ = 5;
  return Input;
}

/// Returns how many tasks wait if they arrive one after the other.
int queueLength(PlaceWaitInput Input) {
  int Length = 0;
  while (Length < 1000) {
    Input.Places_ = Length + 1;
    if (!decidePlaceWait(Input).waits())
      break;
    ++Length;
  }
  return Length;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_decision_to_wait_for_a_place)

BOOST_AUTO_TEST_CASE(waits_for_a_rack_that_becomes_free_soon) {
  PlaceWaitDecision Decision = decidePlaceWait(calmRack());
  BOOST_TEST(Decision.waits());
  BOOST_TEST((Decision.Expected_ == 50ms));
  BOOST_TEST((Decision.Allowance_ == 1200ms));
}

BOOST_AUTO_TEST_CASE(does_not_wait_for_a_rack_that_stays_full) {
  PlaceWaitInput Input = calmRack();
  Input.ReleaseRate_ = 0;
  BOOST_TEST((decidePlaceWait(Input).Verdict_ == PlaceWaitVerdict::NoRate));
  Input.ReleaseRate_ = 0.5;
  BOOST_TEST((decidePlaceWait(Input).Verdict_ == PlaceWaitVerdict::NotWorth));
}

BOOST_AUTO_TEST_CASE(does_not_wait_where_no_place_is_better) {
  PlaceWaitInput Input = calmRack();
  Input.FarFactor_ = 1;
  BOOST_TEST(!decidePlaceWait(Input).waits());
  Input = calmRack();
  Input.RunTime_ = 0ms;
  BOOST_TEST(!decidePlaceWait(Input).waits());
}

/// Guards against queues in which each task loses as much as it gains.
BOOST_AUTO_TEST_CASE(keeps_the_queue_short_that_many_tasks_join) {
  PlaceWaitInput Input = calmRack();
  int Calm = queueLength(Input);
  Input.DemandRate_ = 20;
  int Balanced = queueLength(Input);
  Input.DemandRate_ = 60;
  int Overloaded = queueLength(Input);
  // The extra time of a far run is that of 24 places.
  BOOST_TEST(Calm >= 12);
  BOOST_TEST(Balanced < Calm);
  BOOST_TEST(Overloaded < Balanced);
  BOOST_TEST(Overloaded >= 1);
  BOOST_TEST(Overloaded <= 4);
}

BOOST_AUTO_TEST_CASE(waits_longer_for_what_others_or_the_objective_gain) {
  PlaceWaitInput Input = calmRack();
  Input.DemandRate_ = 20;
  // Late wherever it runs.
  Input.Slack_ = -1s;
  int Usual = queueLength(Input);
  Input.FarUse_ = 1;
  BOOST_TEST(queueLength(Input) > Usual);
  Input.FarUse_ = 0;
  Input.Slack_ = 1s;
  BOOST_TEST(queueLength(Input) > Usual);
  // In time wherever it runs.
  Input.Slack_ = 10s;
  BOOST_TEST(queueLength(Input) < Usual);
  Input.Slack_ = -1s;
  Input.SuccessRate_ = 0.2;
  BOOST_TEST(queueLength(Input) < Usual);
}

BOOST_AUTO_TEST_CASE(stays_within_its_bounds_whatever_the_input) {
  std::mt19937_64 Random(20261206);
  auto Draw = [&](double Limit) {
    return std::uniform_real_distribution<double>(0, Limit)(Random);
  };
  for (int Round = 0; Round < 20'000; ++Round) {
    PlaceWaitInput Input;
    Input.RunTime_ = std::chrono::milliseconds(int(Draw(5000)));
    Input.FarFactor_ = Draw(4);
    Input.Waited_ = std::chrono::milliseconds(int(Draw(3000)));
    Input.Slack_ = std::chrono::milliseconds(int(Draw(8000)) - 4000);
    Input.Places_ = Draw(5000);
    Input.BatchSize_ = Draw(500);
    Input.ReleaseRate_ = Draw(1000);
    Input.DemandRate_ = Draw(1000);
    Input.FarUse_ = Round % 2 == 0 ? 0 : Draw(2);
    double Extra =
        asSeconds(Input.RunTime_) * std::max(0.0, Input.FarFactor_ - 1);
    double Slack = asSeconds(Input.Slack_);
    PlaceWaitDecision Decision = decidePlaceWait(Input);
    BOOST_REQUIRE(std::isfinite(asSeconds(Decision.Cost_)));
    if (!Decision.waits())
      continue;
    Duration Total = Input.Waited_ + Decision.Allowance_;
    BOOST_REQUIRE((Total <= MaxPlaceWait + 1ms));
    if (Input.FarUse_ == 0)
      BOOST_REQUIRE(asSeconds(Total) <= Extra + 1e-3);
    if (Slack >= Extra)
      BOOST_REQUIRE(asSeconds(Decision.Allowance_) <= Slack - Extra + 1e-3);
    BOOST_REQUIRE((Decision.Expected_ <= Decision.Allowance_));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_learned_rates_of_a_rack)

BOOST_AUTO_TEST_CASE(follow_the_ends_of_its_runs) {
  TimePoint Now(100s);
  RackActivity Rack(Now);
  BOOST_TEST(Rack.releaseRate(Now) == 0);
  // 8 processors, released after 500 ms on average.
  for (int Step = 0; Step < 40; ++Step, Now += 50ms) {
    Rack.noteOccupied(8000, Now);
    Rack.noteRelease(800, Now);
    Rack.noteDemand(400, Now);
  }
  BOOST_TEST(std::abs(Rack.releaseRate(Now) / 16'000 - 1) < 0.1);
  BOOST_TEST(std::abs(Rack.demandRate(Now) / 8000 - 1) < 0.1);
  // Half of its workers are lost.
  Rack.noteOccupied(4000, Now);
  BOOST_TEST(std::abs(Rack.releaseRate(Now) / 8000 - 1) < 0.1);
  // Runs hang.
  for (int Step = 0; Step < 60; ++Step, Now += 50ms)
    Rack.noteOccupied(4000, Now);
  BOOST_TEST(Rack.releaseRate(Now) < 4000);
}

BOOST_AUTO_TEST_CASE(count_the_waits_that_were_in_vain) {
  TimePoint Now(100s);
  RackActivity Rack(Now);
  BOOST_TEST(Rack.successRate(Now) == 1);
  for (int Wait = 0; Wait < 6; ++Wait)
    Rack.noteOutcome(false, Now);
  BOOST_TEST(Rack.successRate(Now) <= 0.25);
  // After some time it is tried again.
  BOOST_TEST(Rack.successRate(Now + 60s) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_learned_run_times)

BOOST_AUTO_TEST_CASE(replace_estimates_that_are_off_either_way) {
  RunTimes Times;
  BOOST_TEST((Times.expected("image", 100ms) == 100ms));
  for (int Run = 0; Run < 20; ++Run)
    Times.note("image", Run % 2 == 0 ? 60ms : 1140ms, 600ms);
  for (Duration Estimate : {Duration(60ms), Duration(1140ms)})
    BOOST_TEST(std::abs(asSeconds(Times.expected("image", Estimate)) - 0.6) <
               0.01);
  BOOST_TEST((Times.expected("other", 100ms) == 100ms));
}

BOOST_AUTO_TEST_CASE(do_not_replace_estimates_that_tell_tasks_apart) {
  RunTimes Times;
  for (int Run = 0; Run < 20; ++Run) {
    Duration Actual = Run % 2 == 0 ? 100ms : 5000ms;
    Times.note("image", Actual * 12 / 10, Actual);
  }
  BOOST_TEST((Times.expected("image", 5000ms) == 5000ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
