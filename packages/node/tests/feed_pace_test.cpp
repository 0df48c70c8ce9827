/// \file
/// Tests of the pace at which a change feed is read, in virtual time.

#include "feed_pace.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr Duration Interval = 250ms;

/// Workers that write rows at regular times, and a reader of their feed.
struct FollowedWorkers {
  /// Reads the feed for a minute. Returns the greatest age of a row at the time
  /// at which its page was handled.
  Duration oldestRow(Duration ReadTime) {
    Duration Oldest{};
    std::size_t Handled = 0;
    for (Duration Now{}; Now < 60s;) {
      auto Written = static_cast<std::size_t>(Now / RowInterval_);
      std::size_t Rows = std::min(Written - Handled, MaxPageRows_);
      Now += ReadTime;
      if (Rows > 0)
        Oldest = std::max(Oldest, Now - RowInterval_ *
                                            static_cast<std::int64_t>(Handled));
      Handled += Rows;
      ++Reads_;
      Now += pauseBeforeFeed(Rows, ReadTime, Interval);
    }
    return Oldest;
  }

  /// 1,100 workers that write a row every 1.5 s each.
  Duration RowInterval_ = Duration(1'500'000 / 1100);
  std::size_t MaxPageRows_ = 10'000;
  int Reads_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_followed_feed)

BOOST_AUTO_TEST_CASE(is_read_once_in_an_interval) {
  BOOST_TEST((pauseBeforeFeed(1, 0ms, Interval) == Interval));
  BOOST_TEST((pauseBeforeFeed(1, 100ms, Interval) == 150ms));
  BOOST_TEST((pauseBeforeFeed(0, 1500ms, Interval) == 0ms));
}

BOOST_AUTO_TEST_CASE(is_read_on_at_once_after_a_large_page) {
  BOOST_TEST(
      (pauseBeforeFeed(LargeFeedPageRows - 1, 0ms, Interval) == Interval));
  BOOST_TEST((pauseBeforeFeed(LargeFeedPageRows, 0ms, Interval) == 0ms));
}

BOOST_FIXTURE_TEST_CASE(of_1100_workers_shows_drains_within_two_seconds,
                        FollowedWorkers) {
  for (Duration ReadTime : {10ms, 100ms, 500ms})
    BOOST_TEST((oldestRow(ReadTime) <= 2s));
}

BOOST_FIXTURE_TEST_CASE(that_comes_in_parts_shows_drains_within_two_seconds,
                        FollowedWorkers) {
  MaxPageRows_ = 150;
  for (Duration ReadTime : {10ms, 100ms, 190ms})
    BOOST_TEST((oldestRow(ReadTime) <= 2s));
}

// Each read costs the owner processor time.
BOOST_FIXTURE_TEST_CASE(costs_at_most_two_reads_an_interval, FollowedWorkers) {
  oldestRow(10ms);
  BOOST_TEST(Reads_ <= 2 * (60s / Interval));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
