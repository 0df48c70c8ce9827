#ifndef FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H
#define FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H

/// \file
/// Measures how late an event loop is.

#include "filbertspring/base/time.h"

namespace filbertspring {

/// Derives the delay of an event loop from the times at which a periodic probe
/// runs on it. Does no I/O itself.
class LoopClock {
public:
  /// The time from one probe until the next one is due. Short against all
  /// timeouts, and long enough that an idle process spends nothing on it.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(20);

  explicit LoopClock(TimePoint Now) : ProbeDueAt_(Now + ProbeInterval) {}

  /// Notes that the loop starts to run; the next probe is due after
  /// ProbeInterval.
  void started(TimePoint Now);
  /// Notes that the probe runs. Returns by how much it was late.
  Duration probed(TimePoint Now);
  /// Returns by how much the last probe was late or, if that is more, for how
  /// long the next one is overdue.
  Duration delay(TimePoint Now) const;

private:
  TimePoint ProbeDueAt_;
  Duration LastDelay_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H
