#include "filbertspring/domain/watch.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(watch)

BOOST_AUTO_TEST_CASE(keeps_events_until_they_are_acknowledged) {
  Watch Subject = Watch::restore({}).value();
  BOOST_TEST(Subject.append("damp").has_value());
  BOOST_TEST(Subject.append("dry").has_value());
  BOOST_TEST(Subject.after(0).size() == 2U);
  BOOST_TEST(Subject.after(0).size() == 2U);
  BOOST_TEST(Subject.acknowledge(1).has_value());
  BOOST_TEST(Subject.after(0).front().Payload_ == "dry");
  BOOST_TEST(Subject.acknowledge(3).error() == Errc::InvalidInput);
}

BOOST_AUTO_TEST_CASE(refuses_events_when_full_rather_than_dropping_old_ones) {
  Watch Subject = Watch::restore({}).value();
  for (std::size_t Index = 0; Index < Watch::MaxPending; ++Index)
    BOOST_TEST(Subject.append("x").has_value());
  BOOST_TEST(Subject.append("y").error() == Errc::QueueFull);
  BOOST_TEST(Subject.after(0).front().Sequence_ == 1);
}

BOOST_AUTO_TEST_CASE(refuses_stored_rows_with_gaps) {
  WatchRecord Record;
  Record.NextSequence_ = 4;
  Record.Events_ = {{1, "a"}, {3, "b"}};
  BOOST_TEST(Watch::restore(Record).error() == Errc::InvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()
