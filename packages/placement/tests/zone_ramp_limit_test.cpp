#include "filbertspring/placement/zone_ramp_limit.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

/// Returns how many starts the limit allows without further delay when
/// \p Elapsed has passed since the return of the zone.
int startsAfter(Duration Elapsed) {
  DrainSettings Settings;
  ZoneRampLimit Limit;
  Limit.restart(TimePoint(0s));
  int Starts = 0;
  constexpr int MaxStarts = 10'000;
  while (Starts < MaxStarts && Limit.mayStart(TimePoint(Elapsed), Settings)) {
    Limit.countStart();
    ++Starts;
  }
  return Starts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(zone_ramp_limit)

BOOST_AUTO_TEST_CASE(does_not_limit_a_zone_that_never_left) {
  BOOST_TEST(ZoneRampLimit().mayStart(TimePoint(0s), DrainSettings{}));
}

BOOST_AUTO_TEST_CASE(grows_from_one_start_to_no_limit) {
  BOOST_TEST(startsAfter(0s) == 1);
  BOOST_TEST(startsAfter(1s) >= 10);
  BOOST_TEST(startsAfter(1s) < 20);
  BOOST_TEST(startsAfter(20s) > 2 * startsAfter(10s));
  BOOST_TEST(startsAfter(60s) == 10'000);
}

BOOST_AUTO_TEST_SUITE_END()
