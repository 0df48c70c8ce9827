#ifndef FILBERTSPRING_NODE_STANDSTILL_WATCH_H
#define FILBERTSPRING_NODE_STANDSTILL_WATCH_H

/// \file
/// Recognizes that the process was suspended for long.

#include "filbertspring/base/time.h"

#include <algorithm>
#include <optional>

namespace filbertspring::node {

/// Bounds how long a request may wait, unread, in the connections of a
/// suspended process.
///
/// A cancellation keeps the submissions of its job from being stored for the
/// retention of final states. A submission that waited for longer must not be
/// stored.
class StandstillWatch {
public:
  /// \p Retention: how long the cell's owner keeps cancellations.
  explicit StandstillWatch(Duration Retention)
      : Limit_(std::max(Retention / RetentionDivisor, MinLimit)) {}

  /// To be called regularly, and with each request. Returns whether a request
  /// that is read at \p Now may have waited for too long.
  bool observe(TimePoint Now) {
    if (LastObserved_ && Now - *LastObserved_ > Limit_)
      DistrustEnd_ = Now + DistrustTime;
    LastObserved_ = Now;
    return Now < DistrustEnd_;
  }

private:
  /// A submission may wait in two processes, an instance and the one that
  /// relays its store calls. The third part is for its way and for repeats.
  static constexpr int RetentionDivisor = 3;
  /// Longer than any delay of an event loop that is only late.
  static constexpr Duration MinLimit = std::chrono::seconds(5);
  /// How long after a suspension requests may have been sent before or during
  /// it. Three times the usual timeout of a caller: the event loop reads the
  /// connections that have waited one after the other.
  static constexpr Duration DistrustTime = std::chrono::seconds(10);

  Duration Limit_;
  std::optional<TimePoint> LastObserved_;
  TimePoint DistrustEnd_ = TimePoint::min();
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STANDSTILL_WATCH_H
