#include "limiter.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace std::chrono_literals;

namespace {

std::int64_t takeFor(RateLimiter &Limiter, TimePoint Start, Duration Time) {
  std::int64_t Taken = 0;
  for (TimePoint Now = Start; Now <= Start + Time; Now += 100us)
    while (Limiter.tryTake(Now))
      ++Taken;
  return Taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limiter)

BOOST_AUTO_TEST_CASE(shares_of_all_instances_stay_within_the_rate) {
  // Seven instances with uneven shares that add up to 1000.
  std::int64_t Total = 0;
  for (std::int32_t Permille : {143, 143, 143, 143, 143, 143, 142}) {
    RateLimiter Limiter(100ms);
    Limiter.configure(400, Permille, TimePoint(1h));
    Total += takeFor(Limiter, TimePoint(1h), 10s);
  }
  // Ten seconds of the rate, and the token that each instance starts with.
  BOOST_TEST(Total <= 4000 + 7);
  BOOST_TEST(Total >= 4000 - 7);
}

BOOST_AUTO_TEST_CASE(bursts_after_a_pause_are_bounded) {
  RateLimiter Limiter(100ms);
  Limiter.configure(400, 1000, TimePoint(1h));
  BOOST_TEST(takeFor(Limiter, TimePoint(2h), 0us) == 40);
}

BOOST_AUTO_TEST_CASE(a_smaller_share_discards_saved_tokens_immediately) {
  RateLimiter Limiter(100ms);
  Limiter.configure(400, 1000, TimePoint(1h));
  Limiter.configure(400, 250, TimePoint(2h));
  BOOST_TEST(takeFor(Limiter, TimePoint(2h), 0us) == 10);
  Limiter.configure(400, 0, TimePoint(3h));
  BOOST_TEST(takeFor(Limiter, TimePoint(4h), 0us) == 0);
  BOOST_TEST((Limiter.timeToNextToken(TimePoint(4h)) == Duration::max()));
}

BOOST_AUTO_TEST_CASE(predicts_when_the_next_token_is_available) {
  RateLimiter Limiter(100ms);
  Limiter.configure(1, 100, TimePoint(1h));
  BOOST_TEST(Limiter.tryTake(TimePoint(1h)));
  Duration Wait = Limiter.timeToNextToken(TimePoint(1h));
  BOOST_TEST((Wait == 10s));
  BOOST_TEST(!Limiter.tryTake(TimePoint(1h) + Wait - 1us));
  BOOST_TEST(Limiter.tryTake(TimePoint(1h) + Wait));
}

BOOST_AUTO_TEST_CASE(concurrency_is_rounded_down) {
  BOOST_TEST(scaleDown(8, 166) == 1);
  BOOST_TEST(scaleDown(8, 124) == 0);
  BOOST_TEST(scaleDown(300, 1000) == 300);
}

BOOST_AUTO_TEST_SUITE_END()
