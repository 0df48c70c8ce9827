#include "bulk_read_pace.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

struct PaceFixture {
  /// Lets a page time out that was requested after the last one did.
  void timeOut() {
    TimePoint SentAt = Now_;
    Now_ += 900ms;
    Pace_.pageFailed(SentAt, Now_);
  }

  BulkReadPace Pace_;
  TimePoint Now_{1h};
};

BOOST_FIXTURE_TEST_SUITE(a_bulk_read, PaceFixture)

BOOST_AUTO_TEST_CASE(starts_with_large_pages_in_parallel) {
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MaxPageRows);
  BOOST_TEST(Pace_.parallelReads() == BulkReadPace::MaxParallelReads);
}

BOOST_AUTO_TEST_CASE(first_reads_one_page_at_a_time_if_pages_are_late) {
  timeOut();
  BOOST_TEST(Pace_.parallelReads() == 1);
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MaxPageRows);
}

BOOST_AUTO_TEST_CASE(is_slowed_down_once_by_pages_that_are_late_together) {
  Pace_.pageFailed(Now_, Now_ + 900ms);
  Pace_.pageFailed(Now_, Now_ + 901ms);
  BOOST_TEST(Pace_.parallelReads() == 1);
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MaxPageRows);
}

BOOST_AUTO_TEST_CASE(reaches_the_smallest_page_within_six_tries) {
  for (int Try = 0; Try < 5; ++Try)
    timeOut();
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MinPageRows);
  timeOut();
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MinPageRows);
  BOOST_TEST(Pace_.parallelReads() == 1);
}

BOOST_AUTO_TEST_CASE(grows_again_after_a_series_of_pages_in_time) {
  for (int Try = 0; Try < 5; ++Try)
    timeOut();
  Pace_.pageArrived();
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MinPageRows);
  for (int Page = 0; Page < 100; ++Page)
    Pace_.pageArrived();
  BOOST_TEST(Pace_.pageRows() == BulkReadPace::MaxPageRows);
  BOOST_TEST(Pace_.parallelReads() == BulkReadPace::MaxParallelReads);
}

BOOST_AUTO_TEST_CASE(does_not_grow_while_some_pages_are_late) {
  timeOut();
  for (int Page = 0; Page < 7; ++Page)
    Pace_.pageArrived();
  timeOut();
  Pace_.pageArrived();
  BOOST_TEST(Pace_.parallelReads() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::node
