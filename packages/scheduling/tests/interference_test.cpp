#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/pacing.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace filbertspring::scheduling {
namespace {

constexpr double HarmfulEffect = 10.0;
constexpr double AloneMs = 8.0;

/// Plays one report of a serving image beside "harmful" and "harmless".
void observeOnce(InterferenceModel &Model, std::mt19937 &Random) {
  std::uniform_real_distribution<double> Share(0.0, 0.2);
  std::normal_distribution<double> Noise(0.0, 0.3);
  FillerShare Fillers[] = {{"harmful", Share(Random)},
                           {"harmless", Share(Random)}};
  double Log = HarmfulEffect * Fillers[0].Share_ + Noise(Random);
  Model.observe("serving", AloneMs * std::exp(Log), Fillers);
}

InterferenceModel learned() {
  InterferenceModel Model;
  std::mt19937 Random(7);
  for (int Report = 0; Report < 400; ++Report)
    observeOnce(Model, Random);
  return Model;
}

BOOST_AUTO_TEST_SUITE(the_interference_model)

BOOST_AUTO_TEST_CASE(tells_harmful_images_from_harmless_ones) {
  InterferenceModel Model = learned();
  BOOST_TEST(std::exp(Model.baselineLog("serving").Mean_) == AloneMs,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.effect("serving", "harmful").Mean_ == HarmfulEffect,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.effect("serving", "harmless").Mean_ < 1.0);
  BOOST_TEST(Model.effect("serving", "harmless").Deviation_ < 1.0);
}

BOOST_AUTO_TEST_CASE(knows_nothing_of_images_that_it_has_not_seen) {
  InterferenceModel Model;
  BOOST_TEST(Model.effect("serving", "filler").Mean_ == 0.0);
  BOOST_TEST(Model.effect("serving", "filler").Deviation_ > 3.0);
}

BOOST_AUTO_TEST_CASE(is_not_misled_by_a_stalled_worker) {
  InterferenceModel Model = learned();
  double Before = Model.effect("serving", "harmless").Mean_;
  FillerShare Fillers[] = {{"harmless", 0.2}};
  for (int Report = 0; Report < 3; ++Report)
    Model.observe("serving", 5000.0, Fillers);
  BOOST_TEST(Model.effect("serving", "harmless").Mean_ - Before < 1.0);
}

BOOST_AUTO_TEST_CASE(passes_what_it_learned_to_a_successor) {
  InterferenceModel Model = learned();
  InterferenceModel Successor;
  Successor.restore(Model.estimates());
  BOOST_TEST(Successor.effect("serving", "harmful").Mean_ ==
             Model.effect("serving", "harmful").Mean_);
  BOOST_TEST(Successor.baselineLog("serving").Mean_ ==
             Model.baselineLog("serving").Mean_);
  // The successor goes on learning.
  std::mt19937 Random(8);
  observeOnce(Successor, Random);
  BOOST_TEST(Successor.effect("serving", "harmful").Mean_ == HarmfulEffect,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pace_of_fillers)

BOOST_AUTO_TEST_CASE(is_cut_for_the_harmful_one_only) {
  InterferenceModel Model = learned();
  ServingSample Serving[] = {{"serving", 40.0, 18.0}};
  FillerSample Fillers[] = {{"harmful", 0.15, 100}, {"harmless", 0.05, 100}};
  std::vector<int> Paces = choosePaces(Model, Serving, Fillers);
  BOOST_TEST(Paces[0] <= 50);
  BOOST_TEST(Paces[1] == 100);
}

BOOST_AUTO_TEST_CASE(is_cut_for_unknown_ones_beside_a_long_tail) {
  InterferenceModel Model;
  ServingSample Serving[] = {{"serving", 20.0, 18.0}};
  FillerSample Fillers[] = {{"unknown", 0.2, 100}};
  BOOST_TEST(choosePaces(Model, Serving, Fillers)[0] <= 50);
}

BOOST_AUTO_TEST_CASE(stays_full_for_harmless_ones_beside_a_long_tail) {
  InterferenceModel Model = learned();
  ServingSample Serving[] = {{"serving", 19.0, 18.0}};
  FillerSample Fillers[] = {{"harmless", 0.05, 100}};
  BOOST_TEST(choosePaces(Model, Serving, Fillers)[0] == 100);
}

BOOST_AUTO_TEST_CASE(is_full_without_serving_tasks) {
  InterferenceModel Model = learned();
  FillerSample Fillers[] = {{"harmful", 0.2, 100}};
  BOOST_TEST(choosePaces(Model, {}, Fillers)[0] == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(headroom)

BOOST_AUTO_TEST_CASE(ends_where_a_filler_would_harm) {
  InterferenceModel Model = learned();
  ServingSample Serving[] = {{"serving", 8.0, 18.0}};
  // Two deviations below the target are planned for, 8 ms are the task's own.
  double PlannedMs = 18.0 * std::exp(-2 * InterferenceModel::ReportDeviation);
  BOOST_TEST(fillerHeadroom(Model, Serving, {}, "harmful") ==
                 std::log(PlannedMs / AloneMs) / HarmfulEffect,
             boost::test_tools::tolerance(0.2));
  BOOST_TEST(fillerHeadroom(Model, Serving, {}, "harmless") > 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
