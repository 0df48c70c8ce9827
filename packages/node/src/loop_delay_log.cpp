#include "loop_delay_log.h"

#include <algorithm>
#include <utility>

namespace filbertspring::node {

std::optional<LoopDelays> LoopDelayLog::probed(Duration Delay, TimePoint Now) {
  if (Delay >= MinLoggedDelay) {
    Unlogged_.Longest_ = std::max(Unlogged_.Longest_, Delay);
    ++Unlogged_.Count_;
  }
  if (Unlogged_.Count_ == 0 || Now < NextLineAt_)
    return std::nullopt;
  NextLineAt_ = Now + LogInterval;
  return std::exchange(Unlogged_, {});
}

} // namespace filbertspring::node
