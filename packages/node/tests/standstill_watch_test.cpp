/// \file
/// Tests of the recognition of suspensions.

#include "standstill_watch.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_request_after_a_suspension)

BOOST_AUTO_TEST_CASE(may_have_waited_too_long) {
  StandstillWatch Watch(120s);
  TimePoint Start{100s};
  BOOST_TEST(!Watch.observe(Start));
  BOOST_TEST(!Watch.observe(Start + 40s));
  BOOST_TEST(Watch.observe(Start + 81s));
  BOOST_TEST(Watch.observe(Start + 90s));
  BOOST_TEST(!Watch.observe(Start + 91s));
}

BOOST_AUTO_TEST_CASE(is_not_distrusted_after_a_delay_of_the_event_loop) {
  StandstillWatch Watch(1s);
  TimePoint Start{100s};
  BOOST_TEST(!Watch.observe(Start));
  BOOST_TEST(!Watch.observe(Start + 5s));
  BOOST_TEST(Watch.observe(Start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
