#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/pacing.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace filbertspring::scheduling {
namespace {

/// Plays reports of a serving image whose tail is 8 ms, and 100 ms more for
/// each whole worker of the image "harmful"; "harmless" adds nothing.
InterferenceModel learned() {
  InterferenceModel Model;
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Share(0.0, 0.3);
  std::normal_distribution<double> Noise(0.0, 1.0);
  for (int Report = 0; Report < 200; ++Report) {
    FillerShare Fillers[] = {{"harmful", Share(Random)},
                             {"harmless", Share(Random)}};
    double Tail = 8 + 100 * Fillers[0].Share_ + Noise(Random);
    Model.observe("serving", Tail, Fillers);
  }
  return Model;
}

BOOST_AUTO_TEST_SUITE(the_interference_model)

BOOST_AUTO_TEST_CASE(tells_harmful_images_from_harmless_ones) {
  InterferenceModel Model = learned();
  BOOST_TEST(Model.baseTailMs("serving") == 8.0,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.slope("serving", "harmful") == 100.0,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.slope("serving", "harmless") < 5.0);
  BOOST_TEST(Model.isKnown("serving", "harmless"));
}

BOOST_AUTO_TEST_CASE(knows_nothing_of_images_that_it_has_not_seen) {
  InterferenceModel Model;
  BOOST_TEST(Model.slope("serving", "filler") == 0.0);
  BOOST_TEST(!Model.isKnown("serving", "filler"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pace_of_fillers)

BOOST_AUTO_TEST_CASE(is_cut_for_the_harmful_one_only) {
  InterferenceModel Model = learned();
  ServingSample Serving[] = {{"serving", 20.0, 18.0}};
  FillerSample Fillers[] = {{"harmful", 0.2, 100}, {"harmless", 0.2, 100}};
  std::vector<int> Paces = choosePaces(Model, Serving, Fillers);
  BOOST_TEST(Paces[0] <= 50);
  BOOST_TEST(Paces[1] == 100);
}

BOOST_AUTO_TEST_CASE(is_cut_for_unknown_ones_beside_a_long_tail) {
  InterferenceModel Model;
  ServingSample Serving[] = {{"serving", 20.0, 18.0}};
  FillerSample Fillers[] = {{"unknown", 0.2, 100}};
  BOOST_TEST(choosePaces(Model, Serving, Fillers)[0] == 50);
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
  // 13.5 ms are planned for, 8 of them are the task's own.
  BOOST_TEST(fillerHeadroom(Model, Serving, {}, "harmful") == 0.055,
             boost::test_tools::tolerance(0.2));
  BOOST_TEST(fillerHeadroom(Model, Serving, {}, "harmless") > 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
