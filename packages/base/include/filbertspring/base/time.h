#ifndef FILBERTSPRING_BASE_TIME_H
#define FILBERTSPRING_BASE_TIME_H

/// \file
/// Time points and durations, in microseconds.
///
/// Decision logic takes a TimePoint as an argument and never reads a clock, so
/// that tests run it in virtual time.

#include <chrono>
#include <cstdint>

namespace filbertspring {

/// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of this process. It keeps running while the system is
/// suspended.
struct SchedulerClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<SchedulerClock>;
  static constexpr bool is_steady = true;

  /// Returns the current time. Call it only in the code that drives the
  /// decision logic, never in that logic itself.
  static time_point now() noexcept;
};

/// A point on the monotonic clock of one process; not comparable with time
/// points of another process.
using TimePoint = SchedulerClock::time_point;

/// Returns the time of day as milliseconds since 1970. Only for logs and
/// informational values; never for leases.
std::int64_t wallMilliseconds() noexcept;

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_TIME_H
