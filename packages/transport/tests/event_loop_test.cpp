/// \file
/// Tests of an event loop that callbacks block.

#include "filbertspring/transport/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(an_event_loop)

BOOST_AUTO_TEST_CASE(measures_its_delay_while_a_callback_blocks_it) {
  EventLoop Loop;
  Duration Delay{};
  Loop.after(50ms, [&] {
    std::this_thread::sleep_for(300ms);
    Delay = Loop.delay();
    Loop.stop();
  });
  Loop.run();
  // The probe became due during the callback, within its interval of 20 ms.
  BOOST_TEST((Delay >= 280ms));
}

BOOST_AUTO_TEST_CASE(measures_its_delay_after_a_callback_has_blocked_it) {
  EventLoop Loop;
  Duration Delay{};
  Loop.after(50ms, [] { std::this_thread::sleep_for(300ms); });
  Loop.after(50ms, [&] {
    Delay = Loop.delay();
    Loop.stop();
  });
  Loop.run();
  BOOST_TEST((Delay >= 280ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
