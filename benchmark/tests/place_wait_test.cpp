/// \file
/// Checks that waits for places give callers more than they cost.

#include "place_wait_simulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace filbertspring::benchmark {
namespace {

PlaceWaitLoad shortLoad() {
  PlaceWaitLoad Load;
  Load.Seconds_ = 20;
  Load.HotPeriod_ = 10;
  return Load;
}

PlaceWaitResult play(PlaceWaitLoad Load, scheduling::PlaceWaitPolicy Policy) {
  Load.Policy_ = Policy;
  return runPlaceWait(Load, 1);
}

double inTime(const PlaceWaitGroup &Group) {
  return static_cast<double>(Group.InTime_) / std::max(1, Group.Jobs_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobs_that_prefer_places)

/// Guards against waits that cost more than they gain: a few jobs in a hundred
/// may be late because of one.
BOOST_AUTO_TEST_CASE(are_not_later_because_tasks_wait) {
  constexpr double Tolerance = 0.015;
  for (double FarFactor : {1.5, 3.0})
    for (double Level : {0.2, 0.5, 0.85}) {
      BOOST_TEST_CONTEXT("far factor " << FarFactor << ", load " << Level) {
        PlaceWaitLoad Load = shortLoad();
        Load.FarFactor_ = FarFactor;
        Load.Load_ = Level;
        Load.OneRackShare_ = 0.3;
        PlaceWaitResult Plain = play(Load, scheduling::NoPlaceWait{});
        PlaceWaitResult Learned = play(Load, scheduling::LearnedPlaceWait{});
        BOOST_TEST(inTime(Learned.All_) >= inTime(Plain.All_) - Tolerance);
        BOOST_TEST(Learned.All_.SumSeconds_ <=
                   Plain.All_.SumSeconds_ * (1 + Tolerance));
      }
    }
}

BOOST_AUTO_TEST_CASE(are_in_time_more_often_if_far_places_are_slow) {
  PlaceWaitLoad Load = shortLoad();
  Load.OneRackShare_ = 0.3;
  PlaceWaitResult Plain = play(Load, scheduling::NoPlaceWait{});
  PlaceWaitResult Learned = play(Load, scheduling::LearnedPlaceWait{});
  BOOST_TEST(inTime(Learned.All_) >= inTime(Plain.All_) + 0.1);
  BOOST_TEST(inTime(Learned.OneRack_) >= inTime(Plain.OneRack_) + 0.3);
}

BOOST_AUTO_TEST_CASE(are_all_that_changes) {
  PlaceWaitLoad Load = shortLoad();
  Load.HotShare_ = 0;
  Load.NamingShare_ = 0;
  PlaceWaitResult Plain = play(Load, scheduling::NoPlaceWait{});
  PlaceWaitResult Learned = play(Load, scheduling::LearnedPlaceWait{});
  BOOST_TEST(Learned.All_.SumSeconds_ == Plain.All_.SumSeconds_);
  BOOST_TEST(Learned.All_.InTime_ == Plain.All_.InTime_);
  BOOST_TEST(Learned.Counts_.EndedNear_ + Learned.Counts_.GaveUp_ +
                 Learned.Counts_.NotWorth_ ==
             0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::benchmark
