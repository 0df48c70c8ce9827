/// \file
/// Tests of the choice of delays to be logged, in virtual time.

#include "loop_delay_log.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(a_late_loop)

BOOST_AUTO_TEST_CASE(logs_only_long_delays) {
  LoopDelayLog Log;
  TimePoint Now(1000s);
  BOOST_TEST(!Log.probed(0ms, Now));
  BOOST_TEST(!Log.probed(LoopDelayLog::MinLoggedDelay - 1ms, Now));
  auto Due = Log.probed(LoopDelayLog::MinLoggedDelay, Now);
  BOOST_REQUIRE(Due.has_value());
  BOOST_TEST((Due->Longest_ == LoopDelayLog::MinLoggedDelay));
  BOOST_TEST(Due->Count_ == 1);
}

BOOST_AUTO_TEST_CASE(logs_one_line_a_second_with_the_longest_delay) {
  LoopDelayLog Log;
  TimePoint Now(1000s);
  BOOST_TEST(Log.probed(300ms, Now).has_value());
  BOOST_TEST(!Log.probed(900ms, Now + 500ms));
  BOOST_TEST(!Log.probed(400ms, Now + 900ms));
  auto Due = Log.probed(0ms, Now + 1s);
  BOOST_REQUIRE(Due.has_value());
  BOOST_TEST((Due->Longest_ == 900ms));
  BOOST_TEST(Due->Count_ == 2);
  BOOST_TEST(!Log.probed(0ms, Now + 3s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
