#include "filbertspring/base/time.h"

#include <ctime>

namespace filbertspring {

SchedulerClock::time_point SchedulerClock::now() noexcept {
  // std::chrono::steady_clock stops while the system is suspended, but leases
  // keep running. The call cannot fail for this clock.
  timespec SinceBoot{};
  (void)clock_gettime(CLOCK_BOOTTIME, &SinceBoot);
  auto Elapsed = std::chrono::seconds(SinceBoot.tv_sec) +
                 std::chrono::nanoseconds(SinceBoot.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(Elapsed));
}

std::int64_t wallMilliseconds() noexcept {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

} // namespace filbertspring
