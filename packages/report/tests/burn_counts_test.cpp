#include "filbertspring/report/burn_counts.h"
#include "filbertspring/report/burn_report.h"

#include "burn_samples.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

constexpr std::int64_t DayMs = 24 * 60 * 60'000;

/// Returns the counts of two instances in the same minutes.
BurnCounts twoInstances() {
  BurnCounter First(InstanceName("bodrum-1"));
  BurnCounter Second(InstanceName("bodrum-2"));
  countSamples(First, SampleMinute, 10, 1);
  countSamples(Second, SampleMinute, 20, 2, BurnCause::NoEndpoint);
  countSamples(Second, SampleMinute + 61, 5, 0);
  BurnCounts Counts;
  Counts.NowMs_ = lastMillisecondOf(SampleMinute + 62);
  Counts.Records_ = First.records();
  for (BurnHourRecord &Record : Second.records())
    Counts.Records_.push_back(std::move(Record));
  Counts.Contracts_ = {sampleContract()};
  return Counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(burn_counts)

BOOST_AUTO_TEST_CASE(round_trip_preserves_the_report) {
  BurnCounts Sent = twoInstances();
  Result<BurnCounts> Received = parseBurnCounts(writeBurnCounts(Sent, DayMs));
  BOOST_REQUIRE(Received.has_value());
  BurnReport Expected =
      makeBurnReport(Sent.Records_, Sent.Contracts_, Sent.NowMs_);
  BurnReport Actual = makeBurnReport(Received->Records_, Received->Contracts_,
                                     Received->NowMs_);
  const ServiceBurn &Burn = Actual.Services_.at(0);
  for (std::size_t Window = 0; Window < BurnWindowCount; ++Window) {
    BOOST_TEST(Burn.Windows_[Window].Good_ ==
               Expected.Services_[0].Windows_[Window].Good_);
    BOOST_TEST(Burn.Windows_[Window].BurnRate_ ==
               Expected.Services_[0].Windows_[Window].BurnRate_);
    BOOST_TEST(Actual.Coverage_[Window].PartialMinutes_ ==
               Expected.Coverage_[Window].PartialMinutes_);
  }
  BOOST_TEST(Burn.Sources_.size() == 2U);
  BOOST_TEST(Burn.Objective_ == 0.99);
}

BOOST_AUTO_TEST_CASE(omits_minutes_older_than_the_window) {
  Result<BurnCounts> Received =
      parseBurnCounts(writeBurnCounts(twoInstances(), 2 * 60'000));
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST(Received->Records_.size() == 2U);
  BOOST_REQUIRE_EQUAL(Received->Records_.back().Minutes_.size(), 1U);
  BOOST_TEST(Received->Records_.back().Minutes_[0].Good_ == 5);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_documents) {
  const std::string Valid = writeBurnCounts(twoInstances(), DayMs);
  BOOST_CHECK(parseBurnCounts("{").error() == Errc::InvalidJson);
  BOOST_CHECK(parseBurnCounts("[]").error() == Errc::InvalidInput);
  auto ParseWithReplacement = [&](const std::string &From,
                                  const std::string &To) {
    std::string Text = Valid;
    std::size_t At = Text.find(From);
    BOOST_REQUIRE(At != std::string::npos);
    return parseBurnCounts(Text.replace(At, From.size(), To));
  };
  BOOST_CHECK(ParseWithReplacement("\"good\":30", "\"good\":-1").error() ==
              Errc::InvalidInput);
  BOOST_CHECK(ParseWithReplacement("\"good\":30", "\"good\":1e3").error() ==
              Errc::InvalidInput);
  BOOST_CHECK(
      ParseWithReplacement("\"good\":30", "\"good\":18446744073709551615")
          .error() == Errc::InvalidInput);
  BOOST_CHECK(
      ParseWithReplacement("\"no-endpoint\"", "\"no-reason\"").error() ==
      Errc::InvalidInput);
  BOOST_CHECK(
      ParseWithReplacement("\"objective\":0.99", "\"objective\":2").error() ==
      Errc::InvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()
