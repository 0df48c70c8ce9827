#include "output.h"
#include "routing_runs.h"
#include "statistics.h"
#include "svg.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::benchmark;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(filbertbench)

BOOST_AUTO_TEST_CASE(prints_rows_and_verdicts) {
  Report Result;
  Result.Columns_ = {"load", "p99 ms"};
  Result.Rows_ = {{"85", "120.5"}};
  Result.Verdicts_ = {"PASS fast"};
  BOOST_TEST(contains(toTable(Result), "| 85   | 120.5  |"));
  BOOST_TEST(contains(toJson("e", Result), "\"p99 ms\": \"120.5\""));
}

BOOST_AUTO_TEST_CASE(draws_axes_with_labels_and_a_legend) {
  Plot Drawing{"a < b", "load (%)", "p99 (ms)", {{"sampled", {1, 2}, {3, 4}}}};
  std::string Svg = toSvg(Drawing);
  for (const char *Part :
       {"a &lt; b", "load (%)", "p99 (ms)", "sampled", "<polyline"})
    BOOST_TEST(contains(Svg, Part), Part);
}

BOOST_AUTO_TEST_CASE(takes_quantiles_from_above) {
  BOOST_TEST(quantileOf({1, 2, 3, 4}, 0.5) == 2);
  BOOST_TEST(quantileOf({1, 2, 3, 4}, 0.99) == 4);
  BOOST_TEST(quantileOf({}, 0.5) == 0);
}

BOOST_AUTO_TEST_CASE(runs_the_same_world_twice_alike) {
  auto Run = [](std::uint64_t Seed) {
    SimulationSettings Settings = settingsAtLoad(0.7, RouterConfig(), true);
    Settings.Measured_ = std::chrono::milliseconds(300);
    RoutingSimulation Simulation(Settings, Seed);
    Simulation.run();
    return figuresOf(Simulation, Settings).P99_;
  };
  BOOST_TEST(Run(1) == Run(1));
  BOOST_TEST(Run(1) != Run(2));
}

BOOST_AUTO_TEST_SUITE_END()
