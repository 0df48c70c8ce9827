#include "filbertspring/report/burn_report.h"

#include "burn_samples.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;

namespace {

const InstanceName ReportingInstance("bodrum-1");

const WindowBurn &windowOf(const ServiceBurn &Burn, BurnWindow Window) {
  return Burn.Windows_[static_cast<std::size_t>(Window)];
}

const WindowCoverage &coverageOf(const BurnReport &Report, BurnWindow Window) {
  return Report.Coverage_[static_cast<std::size_t>(Window)];
}

/// Returns the report of \p Counter at the end of \p Minute.
BurnReport reportOf(const BurnCounter &Counter, std::int64_t Minute) {
  return makeBurnReport(Counter.records(), {sampleContract()},
                        lastMillisecondOf(Minute));
}

} // namespace

BOOST_AUTO_TEST_SUITE(burn_report)

BOOST_AUTO_TEST_SUITE(windows)

BOOST_AUTO_TEST_CASE(divide_bad_requests_by_what_the_objective_allows) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute + 100, 97, 3);
  BurnReport Report = reportOf(Counter, SampleMinute + 100);
  BOOST_REQUIRE_EQUAL(Report.Services_.size(), 1U);
  const ServiceBurn &Burn = Report.Services_[0];
  BOOST_TEST(windowOf(Burn, BurnWindow::FiveMinutes).BurnRate_ == 3.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Burn.BudgetRequests_ == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Burn.BudgetLeft_ == -2.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(end_with_the_current_minute) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute, 10, 0);
  countSamples(Counter, SampleMinute + 5, 1, 0);
  countSamples(Counter, SampleMinute + 6, 100, 0); // In the future.
  BurnReport Report = reportOf(Counter, SampleMinute + 5);
  const ServiceBurn &Burn = Report.Services_[0];
  BOOST_TEST(windowOf(Burn, BurnWindow::FiveMinutes).Good_ == 1);
  BOOST_TEST(windowOf(Burn, BurnWindow::HalfHour).Good_ == 11);
  BurnReport NextDay = reportOf(Counter, SampleMinute + 1440);
  BOOST_TEST(windowOf(NextDay.Services_[0], BurnWindow::Day).Good_ == 101);
}

BOOST_AUTO_TEST_CASE(agree_with_a_sum_over_all_minutes) {
  BOOST_TEST(rc::check("windows", [] {
    BurnCounter Counter(ReportingInstance);
    std::int64_t Now = SampleMinute + 1500;
    std::array<std::int64_t, BurnWindowCount> Bad{};
    auto Count = *rc::gen::inRange(0, 60);
    for (int Index = 0; Index < Count; ++Index) {
      auto Age = *rc::gen::inRange<std::int64_t>(-3, 1500);
      Counter.count(badSample(BurnCause::Shed), Now - Age);
      for (std::size_t Window = 0; Window < BurnWindowCount; ++Window)
        if (Age >= 0 && Age < BurnWindowMinutes[Window])
          ++Bad[Window];
    }
    BurnReport Report = reportOf(Counter, Now);
    for (std::size_t Window = 0; Window < BurnWindowCount; ++Window)
      RC_ASSERT(Report.Services_[0].Windows_[Window].Bad_ == Bad[Window]);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(alerts)

BOOST_AUTO_TEST_CASE(need_a_long_and_a_short_window_for_a_fast_burn) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute, 50, 50);
  BOOST_TEST(reportOf(Counter, SampleMinute + 4).Services_[0].FastBurn_);
  // The fault has ended: the 1 h burn rate is still fast, the 5 min rate is 0.
  countSamples(Counter, SampleMinute + 5, 100, 0);
  BurnReport Later = reportOf(Counter, SampleMinute + 9);
  BOOST_TEST(windowOf(Later.Services_[0], BurnWindow::Hour).BurnRate_ >=
             FastBurnRate);
  BOOST_TEST(!Later.Services_[0].FastBurn_);
}

BOOST_AUTO_TEST_CASE(report_a_slow_burn_between_the_thresholds) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute, 93, 7);
  const ServiceBurn Burn = reportOf(Counter, SampleMinute).Services_[0];
  BOOST_TEST(Burn.SlowBurn_);
  BOOST_TEST(!Burn.FastBurn_);
}

BOOST_AUTO_TEST_CASE(are_off_without_requests) {
  const ServiceBurn Burn =
      reportOf(BurnCounter(ReportingInstance), SampleMinute).Services_[0];
  BOOST_TEST(!Burn.SlowBurn_);
  BOOST_TEST(!Burn.FastBurn_);
  BOOST_TEST(Burn.BudgetLeft_ == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(lists_the_sources_of_bad_requests_largest_first) {
  BurnCounter Counter(ReportingInstance);
  Counter.count(badSample(BurnCause::Slow, "bodrum"), SampleMinute);
  Counter.count(badSample(BurnCause::Shed, "marmaris"), SampleMinute);
  Counter.count(badSample(BurnCause::Shed, "marmaris"), SampleMinute + 1);
  const ServiceBurn Burn = reportOf(Counter, SampleMinute + 1).Services_[0];
  BOOST_REQUIRE_EQUAL(Burn.Sources_.size(), 2U);
  BOOST_TEST(Burn.Sources_[0].Zone_.str() == "marmaris");
  BOOST_CHECK(Burn.Sources_[0].Cause_ == BurnCause::Shed);
  BOOST_TEST(Burn.Sources_[0].Bad_ == 2);
}

BOOST_AUTO_TEST_CASE(reports_counts_of_services_in_no_contract) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute, 4, 1);
  BurnReport Report =
      makeBurnReport(Counter.records(), {}, lastMillisecondOf(SampleMinute));
  BOOST_REQUIRE_EQUAL(Report.UnknownServices_.size(), 1U);
  BOOST_TEST(Report.UnknownServices_[0].Good_ == 4);
  BOOST_TEST(Report.UnknownServices_[0].Bad_ == 1);
}

BOOST_AUTO_TEST_SUITE(coverage)

BOOST_AUTO_TEST_CASE(counts_minutes_that_no_instance_observed) {
  BurnCounter First(ReportingInstance);
  for (std::int64_t Minute = 0; Minute < 20; ++Minute)
    First.observe(SampleMinute + Minute);
  // The replacement starts three minutes after the first instance ended.
  BurnCounter Second(InstanceName("bodrum-2"));
  for (std::int64_t Minute = 23; Minute < 30; ++Minute)
    Second.observe(SampleMinute + Minute);
  std::vector<BurnHourRecord> Records = First.records();
  Records.push_back(Second.records().at(0));
  BurnReport Report =
      makeBurnReport(Records, {}, lastMillisecondOf(SampleMinute + 29));
  BOOST_TEST(coverageOf(Report, BurnWindow::FiveMinutes).UnobservedMinutes_ ==
             0);
  BOOST_TEST(coverageOf(Report, BurnWindow::HalfHour).UnobservedMinutes_ == 3);
  BOOST_TEST(coverageOf(Report, BurnWindow::HalfHour).PartialMinutes_ == 0);
  BOOST_TEST(coverageOf(Report, BurnWindow::Hour).UnobservedMinutes_ == 33);
}

BOOST_AUTO_TEST_CASE(counts_minutes_that_only_some_instances_observed) {
  BurnCounter First(ReportingInstance);
  BurnCounter Second(InstanceName("bodrum-2"));
  for (std::int64_t Minute = 0; Minute < 5; ++Minute) {
    First.observe(SampleMinute + Minute);
    if (Minute != 2)
      Second.observe(SampleMinute + Minute);
  }
  std::vector<BurnHourRecord> Records = First.records();
  Records.push_back(Second.records().at(0));
  BurnReport Report =
      makeBurnReport(Records, {}, lastMillisecondOf(SampleMinute + 4));
  const WindowCoverage &Window = coverageOf(Report, BurnWindow::FiveMinutes);
  BOOST_TEST(Window.Instances_ == 2);
  BOOST_TEST(Window.UnobservedMinutes_ == 0);
  BOOST_TEST(Window.PartialMinutes_ == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(chooses_the_shortest_timeline_with_all_observed_minutes) {
  BurnCounter Counter(ReportingInstance);
  countSamples(Counter, SampleMinute, 8, 2);
  BurnReport Short = reportOf(Counter, SampleMinute + 29);
  BOOST_TEST(Short.Timeline_.MinutesPerStep_ == 1);
  BOOST_TEST(Short.Timeline_.ObservedMinutes_.size() == 30U);
  BOOST_TEST(Short.Timeline_.ObservedMinutes_[0] == 1);
  BOOST_TEST(Short.Services_[0].Steps_[0].Bad_[0] == 2);
  BurnReport Long = reportOf(Counter, SampleMinute + 60);
  BOOST_TEST(Long.Timeline_.MinutesPerStep_ == 5);
  BOOST_TEST(Long.Timeline_.ObservedMinutes_.size() == 72U);
}

BOOST_AUTO_TEST_SUITE_END()
