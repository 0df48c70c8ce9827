#ifndef FILBERTSPRING_NODE_RELAY_CLOCK_H
#define FILBERTSPRING_NODE_RELAY_CLOCK_H

/// \file
/// Conversion of sending limits between the clocks of two instances.

#include "filbertspring/base/time.h"

#include <string>

namespace filbertspring::node {

/// What is known about the clock of a relay: a lower bound of its difference to
/// the own clock. Both are steady, so no time of day is involved.
class RelayClock {
public:
  /// Notes that the relay read \p RelayTime on its clock before \p Now on the
  /// own clock. \p Process: the process of the relay; the clocks of two
  /// processes have nothing in common, since a machine may have been replaced.
  void observed(const std::string &Process, TimePoint RelayTime,
                TimePoint Now) {
    Duration Offset = RelayTime - Now;
    bool IsOutdated = Now - ObservedAt_ > MaxAge;
    // The later an answer is handled, the lower the difference that it shows.
    if (Process == Process_ && !IsOutdated && Offset < Offset_)
      return;
    Process_ = Process;
    Offset_ = Offset;
    ObservedAt_ = Now;
  }

  /// The process whose clock is known; empty if none is.
  const std::string &process() const { return Process_; }
  /// Returns a time on the relay's clock that is not later than \p Own, a time
  /// on the own clock, apart from the drift of the clocks since the last
  /// observation.
  TimePoint toRelay(TimePoint Own) const {
    return Own == TimePoint::max() ? Own : Own + Offset_;
  }

private:
  /// Steady clocks of two machines drift apart by some milliseconds in this
  /// time.
  static constexpr Duration MaxAge = std::chrono::seconds(10);

  std::string Process_;
  Duration Offset_{};
  TimePoint ObservedAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_RELAY_CLOCK_H
