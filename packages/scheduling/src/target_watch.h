#ifndef FILBERTSPRING_SCHEDULING_TARGET_WATCH_H
#define FILBERTSPRING_SCHEDULING_TARGET_WATCH_H

/// \file
/// Follows whether a serving task is over its tail latency target.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <optional>

namespace filbertspring::scheduling {

/// Since when a serving task has been over its target. Reported tail latencies
/// vary, so a single one under the target does not show that it has recovered.
class TargetWatch {
public:
  /// Notes a reported tail latency. Without a target, \p Target is 0.
  void observe(double TailLatencyMs, Duration Target, TimePoint Now);
  /// Returns when the first report over the target came, unless the task has
  /// recovered since.
  std::optional<TimePoint> overSince() const { return OverSince_; }
  /// Returns whether the last report was over the target, and the task has not
  /// recovered for \p Time.
  bool isOverFor(Duration Time, TimePoint Now) const {
    return OverSince_ && ReportsUnder_ == 0 && Now - *OverSince_ >= Time;
  }

private:
  std::optional<TimePoint> OverSince_;
  /// Number of reports under the target since the last one over it.
  std::uint32_t ReportsUnder_ = 0;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_TARGET_WATCH_H
