#include "filbertspring/placement/zone_ramp_limit.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

/// Returns how many starts are allowed at once, \p After the return.
int startsAfter(Duration After) {
  DrainSettings Settings;
  ZoneRampLimit Limit;
  Limit.restart(TimePoint(0s));
  int Starts = 0;
  constexpr int Many = 10'000;
  while (Starts < Many && Limit.mayStart(TimePoint(After), Settings)) {
    Limit.countStart();
    ++Starts;
  }
  return Starts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(zone_ramp_limit)

BOOST_AUTO_TEST_CASE(does_not_bound_a_zone_that_never_left) {
  BOOST_TEST(ZoneRampLimit().mayStart(TimePoint(0s), DrainSettings{}));
}

BOOST_AUTO_TEST_CASE(grows_from_one_start_to_no_bound) {
  BOOST_TEST(startsAfter(0s) == 1);
  BOOST_TEST(startsAfter(1s) >= 10);
  BOOST_TEST(startsAfter(1s) < 20);
  BOOST_TEST(startsAfter(20s) > 2 * startsAfter(10s));
  BOOST_TEST(startsAfter(60s) == 10'000);
}

BOOST_AUTO_TEST_SUITE_END()
