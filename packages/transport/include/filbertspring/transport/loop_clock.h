#ifndef FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H
#define FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H

/// \file
/// Measures how late an event loop is, and the time during which it keeps up.

#include "filbertspring/base/time.h"

namespace filbertspring {

class LoopClock;
/// A point on the clock of one event loop, for timeouts only.
using LoopTime = std::chrono::time_point<LoopClock, Duration>;

/// Derives the delay of an event loop, and a clock for timeouts, from the times
/// at which a periodic probe runs on the loop. Does no I/O itself.
///
/// An answer that has arrived waits unread while the loop is late or the
/// process is suspended, so that time must not count as silence of the server.
/// Of the time between two probes the clock counts at most MaxAdvance. A loop
/// that is late permanently must end calls, too: on it, the clock counts a
/// quarter of the time. Leases use SchedulerClock instead.
class LoopClock {
public:
  /// The time from one probe until the next one is due. Short against all
  /// timeouts, and long enough that an idle process spends nothing on it.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(20);
  /// The most that counts of the time between two probes. Short against all
  /// timeouts, so that most calls outlast a delay of any length.
  static constexpr Duration MaxAdvance = std::chrono::milliseconds(50);

  explicit LoopClock(TimePoint Now)
      : LastProbeAt_(Now), ProbeDueAt_(Now + ProbeInterval) {}

  /// Notes that the loop starts to run; the next probe is due after
  /// ProbeInterval.
  void started(TimePoint Now);
  /// Notes that the probe runs. Returns by how much it was late.
  Duration probed(TimePoint Now);
  /// Returns by how much the last probe was late or, if that is more, for how
  /// long the next one is overdue.
  Duration delay(TimePoint Now) const;

  /// Returns the time at which a call without an answer ends if it is made at
  /// \p Now. It never passes before \p Now + \p Timeout.
  LoopTime deadlineAfter(Duration Timeout, TimePoint Now) const;
  /// Returns whether \p Deadline had passed at the last probe but one, so that
  /// the loop has polled its sockets since then.
  bool hasPassed(LoopTime Deadline) const { return Polled_ >= Deadline; }
  /// Returns the least time until hasPassed() may return true.
  Duration timeLeft(LoopTime Deadline) const;

private:
  Duration meanInterval(Duration Elapsed) const;
  /// Returns how much of the time since the last probe counts.
  Duration advance(Duration Elapsed) const;

  TimePoint LastProbeAt_;
  TimePoint ProbeDueAt_;
  Duration LastDelay_{};
  /// A moving mean of the time between two probes.
  Duration MeanInterval_ = ProbeInterval;
  /// The time on this clock at the last probe, and at the one before.
  LoopTime Time_{};
  LoopTime Polled_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_LOOP_CLOCK_H
