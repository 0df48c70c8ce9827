#include "filbertspring/transport/loop_clock.h"

#include <algorithm>

namespace filbertspring {
namespace {

/// The weight of one interval in the moving mean is the inverse of this. A
/// single delay hardly changes the mean.
constexpr int MeanIntervals = 16;
/// The most that one interval counts in the moving mean. A longer one is a
/// suspended process rather than a busy one.
constexpr Duration MaxInterval = std::chrono::seconds(1);
/// The time on a loop that is permanently late is divided by this.
constexpr int LateLoopDivisor = 4;

} // namespace

void LoopClock::started(TimePoint Now) {
  LastProbeAt_ = Now;
  ProbeDueAt_ = Now + ProbeInterval;
  LastDelay_ = Duration::zero();
}

Duration LoopClock::probed(TimePoint Now) {
  LastDelay_ = std::max(Now - ProbeDueAt_, Duration::zero());
  ProbeDueAt_ = Now + ProbeInterval;
  Duration Elapsed = Now - LastProbeAt_;
  LastProbeAt_ = Now;
  Polled_ = Time_;
  Time_ += advance(Elapsed);
  MeanInterval_ = meanInterval(Elapsed);
  return LastDelay_;
}

Duration LoopClock::delay(TimePoint Now) const {
  return std::max(LastDelay_, Now - ProbeDueAt_);
}

Duration LoopClock::meanInterval(Duration Elapsed) const {
  return MeanInterval_ +
         (std::min(Elapsed, MaxInterval) - MeanInterval_) / MeanIntervals;
}

Duration LoopClock::advance(Duration Elapsed) const {
  return std::min(
      Elapsed, std::max(MaxAdvance, meanInterval(Elapsed) / LateLoopDivisor));
}

LoopTime LoopClock::deadlineAfter(Duration Timeout, TimePoint Now) const {
  return Time_ + advance(Now - LastProbeAt_) + Timeout;
}

Duration LoopClock::timeLeft(LoopTime Deadline) const {
  return std::max(Deadline - Polled_, Duration::zero());
}

} // namespace filbertspring
