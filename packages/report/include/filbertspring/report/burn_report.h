#ifndef FILBERTSPRING_REPORT_BURN_REPORT_H
#define FILBERTSPRING_REPORT_BURN_REPORT_H

/// \file
/// The report on service-level burn: how fast each service spends its error
/// budget, and where the bad requests came from.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"

#include <array>
#include <cstdint>
#include <vector>

namespace filbertspring {

/// The windows that end now.
enum class BurnWindow { FiveMinutes, HalfHour, Hour, SixHours, Day };

inline constexpr std::size_t BurnWindowCount = 5;

inline constexpr EnumTable<BurnWindow, BurnWindowCount> BurnWindowNames{
    {{BurnWindow::FiveMinutes, "5min"},
     {BurnWindow::HalfHour, "30min"},
     {BurnWindow::Hour, "1h"},
     {BurnWindow::SixHours, "6h"},
     {BurnWindow::Day, "24h"}}};

/// The length of each window in minutes, in the order of BurnWindow.
inline constexpr std::array<std::int64_t, BurnWindowCount> BurnWindowMinutes{
    5, 30, 60, 360, 1440};

/// A burn rate is fast when it reaches this over 1 h and over 5 min.
inline constexpr double FastBurnRate = 14.4;
/// A burn rate is slow when it reaches this over 6 h and over 30 min.
inline constexpr double SlowBurnRate = 6.0;

/// What is known of one window, over all instances.
struct WindowCoverage {
  std::int64_t Minutes_ = 0;
  /// Minutes that no instance observed: nothing is known of them.
  std::int64_t UnobservedMinutes_ = 0;
  /// Minutes that fewer instances observed than the best minute of the
  /// window: counts of an instance may be missing.
  std::int64_t PartialMinutes_ = 0;
  /// Instances that observed the best minute.
  std::int64_t Instances_ = 0;
};

/// The requests of one service in one window.
struct WindowBurn {
  std::int64_t Good_ = 0;
  std::int64_t Bad_ = 0;
  /// The fraction of bad requests divided by the fraction that the objective
  /// allows: 1 spends the error budget exactly. 0 without requests.
  double BurnRate_ = 0.0;
};

/// Bad requests of one service in the 24 h window, by origin.
struct BurnSource {
  ZoneName Zone_;
  BurnCause Cause_ = BurnCause::Slow;
  std::int64_t Bad_ = 0;
};

/// The counts of one step of the timeline.
struct BurnStep {
  std::int64_t Good_ = 0;
  /// Bad requests by cause, in the order of BurnCause.
  std::array<std::int64_t, BurnCauseCount> Bad_{};
};

/// The burn of one service.
struct ServiceBurn {
  ContractName Contract_;
  ServiceName Service_;
  double Objective_ = 0.0;
  Duration LatencyTarget_{};
  std::array<WindowBurn, BurnWindowCount> Windows_;
  /// Bad requests that the objective allows for the requests of 24 h.
  double BudgetRequests_ = 0.0;
  /// The part of the budget that is left; below 0 when overspent.
  double BudgetLeft_ = 1.0;
  bool FastBurn_ = false;
  bool SlowBurn_ = false;
  /// The largest origin first.
  std::vector<BurnSource> Sources_;
  /// One entry for each step of the timeline.
  std::vector<BurnStep> Steps_;
};

/// The steps into which the time before now is divided, for charts. It covers
/// the shortest window that holds every observed minute.
struct BurnTimeline {
  /// Minutes since 1970.
  std::int64_t FirstMinute_ = 0;
  std::int64_t MinutesPerStep_ = 1;
  /// Observed minutes in each step, by at least one instance.
  std::vector<std::int64_t> ObservedMinutes_;
};

/// Counts of a service that no contract names, such as an ended one.
struct UnknownServiceCounts {
  ContractName Contract_;
  ServiceName Service_;
  std::int64_t Good_ = 0;
  std::int64_t Bad_ = 0;
};

/// The whole report.
struct BurnReport {
  /// Time of day, in milliseconds since 1970.
  std::int64_t NowMs_ = 0;
  std::array<WindowCoverage, BurnWindowCount> Coverage_;
  BurnTimeline Timeline_;
  /// In the order of the contracts and their services.
  std::vector<ServiceBurn> Services_;
  std::vector<UnknownServiceCounts> UnknownServices_;
};

/// Makes the report of \p Records for the windows that end with the minute of
/// \p NowMs (milliseconds since 1970). Records of one instance and hour must
/// not be given twice. Linear in the records, times the windows.
BurnReport makeBurnReport(const std::vector<BurnHourRecord> &Records,
                          const std::vector<Contract> &Contracts,
                          std::int64_t NowMs);

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_REPORT_H
