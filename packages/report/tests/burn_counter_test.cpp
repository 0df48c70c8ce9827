#include "filbertspring/report/burn_counter.h"

#include "burn_samples.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

const InstanceName Instance("bodrum-1");

} // namespace

BOOST_AUTO_TEST_SUITE(burn_counter)

BOOST_AUTO_TEST_CASE(keeps_one_record_for_each_hour) {
  BurnCounter Counter(Instance);
  countSamples(Counter, SampleMinute + 59, 3, 1);
  countSamples(Counter, SampleMinute + 60, 5, 0);
  Counter.observe(SampleMinute + 62);
  std::vector<BurnHourRecord> Records = Counter.records();
  BOOST_REQUIRE_EQUAL(Records.size(), 2U);
  BOOST_TEST(Records[0].Instance_.str() == "bodrum-1");
  BOOST_TEST(Records[0].Hour_ == SampleHour);
  BOOST_TEST(Records[0].ObservedMinutes_ == std::uint64_t{1} << 59);
  BOOST_TEST(Records[0].Minutes_.at(0).Good_ == 3);
  BOOST_TEST(Records[0].Minutes_.at(0).Bad_[0] == 1);
  BOOST_TEST(Records[1].Hour_ == SampleHour + 1);
  BOOST_TEST(Records[1].ObservedMinutes_ == 0b101U);
  BOOST_TEST(Records[1].Minutes_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(counts_each_zone_and_cause_separately) {
  BurnCounter Counter(Instance);
  Counter.count(badSample(BurnCause::Shed, "marmaris"), SampleMinute);
  Counter.count(badSample(BurnCause::Slow, "bodrum"), SampleMinute);
  Counter.count(badSample(BurnCause::Shed, "bodrum"), SampleMinute);
  std::vector<BurnMinute> Minutes = Counter.records().at(0).Minutes_;
  BOOST_REQUIRE_EQUAL(Minutes.size(), 2U);
  BOOST_TEST(Minutes[0].Zone_.str() == "bodrum");
  BOOST_TEST(Minutes[0].Bad_[0] == 1);
  BOOST_TEST(Minutes[0].Bad_[1] == 1);
  BOOST_TEST(Minutes[1].Bad_[1] == 1);
}

BOOST_AUTO_TEST_SUITE(after_a_restart)

BOOST_AUTO_TEST_CASE(adds_the_stored_counts_once) {
  BurnCounter Before(Instance);
  countSamples(Before, SampleMinute, 10, 2);
  BurnHourRecord Stored = Before.records().at(0);

  BurnCounter After(Instance);
  countSamples(After, SampleMinute, 1, 1);
  countSamples(After, SampleMinute + 5, 4, 0);
  BOOST_TEST(After.restore(Stored).has_value());
  BOOST_CHECK(After.restore(Stored).error() == Errc::Duplicate);

  BurnHourRecord Merged = After.records().at(0);
  BOOST_TEST(Merged.ObservedMinutes_ == 0b100001U);
  BOOST_REQUIRE_EQUAL(Merged.Minutes_.size(), 2U);
  BOOST_TEST(Merged.Minutes_[0].Good_ == 11);
  BOOST_TEST(Merged.Minutes_[0].Bad_[0] == 3);
  BOOST_TEST(Merged.Minutes_[1].Good_ == 4);
}

BOOST_AUTO_TEST_CASE(rejects_records_of_another_instance_or_hour) {
  BurnCounter Other(InstanceName("porto-1"));
  countSamples(Other, SampleMinute, 1, 0);
  BurnHourRecord Stored = Other.records().at(0);
  BurnCounter Counter(Instance);
  BOOST_CHECK(Counter.restore(Stored).error() == Errc::InvalidInput);
  Stored.Instance_ = Instance;
  Stored.Hour_ += 1;
  BOOST_CHECK(Counter.restore(Stored).error() == Errc::InvalidInput);
  BOOST_TEST(Counter.records().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ignores_counts_of_erased_hours) {
  BurnCounter Counter(Instance);
  countSamples(Counter, SampleMinute, 1, 0);
  BurnHourRecord Stored = Counter.records().at(0);
  Counter.eraseHoursBefore(SampleHour + 1);
  countSamples(Counter, SampleMinute + 1, 1, 0);
  BOOST_TEST(Counter.restore(Stored).has_value());
  BOOST_TEST(Counter.records().empty());
}

BOOST_AUTO_TEST_SUITE_END()
