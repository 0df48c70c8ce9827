#include "filbertspring/base/time.h"

namespace filbertspring {

SchedulerClock::time_point SchedulerClock::now() noexcept {
  auto SinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<Duration>(SinceStart));
}

std::int64_t wallMilliseconds() noexcept {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

} // namespace filbertspring
