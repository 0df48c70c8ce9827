#include "workspace_metrics.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

scheduling::WorkspaceCounts makeCounts(const std::string &Name,
                                       std::int64_t MilliCpu) {
  scheduling::WorkspaceCounts Counts;
  Counts.Name_ = Name;
  Counts.Used_.MilliCpu_ = MilliCpu;
  return Counts;
}

struct Published {
  std::int64_t used(const std::string &Name) {
    return Counters_
        .gauge("workspace_used_millicpu", "workspace=\"" + Name + "\"")
        .value();
  }

  CounterRegistry Counters_;
  WorkspaceMetrics Metrics_{Counters_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(workspace_metrics)

BOOST_FIXTURE_TEST_CASE(name_the_largest_and_add_up_the_rest, Published) {
  // A gauge for each of thousands of names would fill the memory.
  std::vector<scheduling::WorkspaceCounts> Workspaces;
  Workspaces.reserve(60);
  for (int Number = 0; Number < 60; ++Number)
    Workspaces.push_back(makeCounts("team-" + std::to_string(Number), Number));
  Metrics_.publish(Workspaces, TimePoint(1s));
  BOOST_TEST(used("team-59") == 59);
  BOOST_TEST(used("team-10") == 10);
  BOOST_TEST(used("(others)") == 9 * 10 / 2);
}

BOOST_FIXTURE_TEST_CASE(are_reset_when_the_cell_is_lost, Published) {
  Metrics_.publish({makeCounts("alder", 500)}, TimePoint(1s));
  BOOST_TEST(used("alder") == 500);
  Metrics_.publish({}, TimePoint(2s));
  BOOST_TEST(used("alder") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
