#include "filbertspring/transport/loop_clock.h"

#include <algorithm>

namespace filbertspring {

void LoopClock::started(TimePoint Now) {
  ProbeDueAt_ = Now + ProbeInterval;
  LastDelay_ = Duration::zero();
}

Duration LoopClock::probed(TimePoint Now) {
  LastDelay_ = std::max(Now - ProbeDueAt_, Duration::zero());
  ProbeDueAt_ = Now + ProbeInterval;
  return LastDelay_;
}

Duration LoopClock::delay(TimePoint Now) const {
  return std::max(LastDelay_, Now - ProbeDueAt_);
}

} // namespace filbertspring
