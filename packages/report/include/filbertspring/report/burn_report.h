#ifndef FILBERTSPRING_REPORT_BURN_REPORT_H
#define FILBERTSPRING_REPORT_BURN_REPORT_H

/// \file
/// The report on service-level burn: how fast each service consumes its error
/// budget, and the zones and causes of its bad requests.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"

#include <array>
#include <cstdint>
#include <vector>

namespace filbertspring {

/// Time windows of the report. Each of them ends with the current minute.
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

/// A service is in fast burn if its burn rate is at least this in both the 1 h
/// and the 5 min window.
inline constexpr double FastBurnRate = 14.4;
/// A service is in slow burn if its burn rate is at least this in both the 6 h
/// and the 30 min window.
inline constexpr double SlowBurnRate = 6.0;

/// How completely the instances observed one window.
struct WindowCoverage {
  std::int64_t Minutes_ = 0;
  /// Minutes that no instance observed; there are no counts for them.
  std::int64_t UnobservedMinutes_ = 0;
  /// Minutes observed by at least one instance, but by fewer than Instances_:
  /// counts of an instance may be missing.
  std::int64_t PartialMinutes_ = 0;
  /// The largest number of instances that observed the same minute.
  std::int64_t Instances_ = 0;
};

/// The requests of one service in one window.
struct WindowBurn {
  std::int64_t Good_ = 0;
  std::int64_t Bad_ = 0;
  /// The fraction of bad requests divided by the fraction that the objective
  /// allows: 1 consumes the error budget exactly. 0 without requests.
  double BurnRate_ = 0.0;
};

/// Bad requests of one service in the 24 h window with the same zone and
/// cause.
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
  /// Number of bad requests that the objective allows among the requests of the
  /// 24 h window.
  double BudgetRequests_ = 0.0;
  /// The fraction of the budget that is left; negative when it is exceeded.
  double BudgetLeft_ = 1.0;
  bool FastBurn_ = false;
  bool SlowBurn_ = false;
  /// Ordered by the number of bad requests, largest first.
  std::vector<BurnSource> Sources_;
  /// One entry for each step of the timeline.
  std::vector<BurnStep> Steps_;
};

/// Division of the time before now into steps of equal length, for charts. The
/// timeline covers the shortest window, from 30 min, that includes every
/// observed minute of the last 24 h.
struct BurnTimeline {
  /// The first minute of the timeline, in minutes since the Unix epoch.
  std::int64_t FirstMinute_ = 0;
  std::int64_t MinutesPerStep_ = 1;
  /// For each step, the number of minutes that at least one instance observed.
  std::vector<std::int64_t> ObservedMinutes_;
};

/// Counts of the 24 h window for a service that is in no contract, for example
/// because it was removed.
struct UnknownServiceCounts {
  ContractName Contract_;
  ServiceName Service_;
  std::int64_t Good_ = 0;
  std::int64_t Bad_ = 0;
};

/// The report on all services.
struct BurnReport {
  /// Wall-clock time of the report, in milliseconds since the Unix epoch.
  std::int64_t NowMs_ = 0;
  std::array<WindowCoverage, BurnWindowCount> Coverage_;
  BurnTimeline Timeline_;
  /// In the order of the contracts and their services.
  std::vector<ServiceBurn> Services_;
  std::vector<UnknownServiceCounts> UnknownServices_;
};

/// Computes the report of \p Records for the windows that end with the minute
/// of \p NowMs (milliseconds since the Unix epoch). \p Records must not contain
/// two records of the same instance and hour. The cost is proportional to the
/// size of the records times the number of windows.
BurnReport makeBurnReport(const std::vector<BurnHourRecord> &Records,
                          const std::vector<Contract> &Contracts,
                          std::int64_t NowMs);

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_REPORT_H
