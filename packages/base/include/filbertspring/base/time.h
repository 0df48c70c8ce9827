#ifndef FILBERTSPRING_BASE_TIME_H
#define FILBERTSPRING_BASE_TIME_H

/// \file
/// Time points and durations, in microseconds.
///
/// Decisions take a TimePoint as an argument and never read a clock, so that
/// tests run them in virtual time.

#include <chrono>
#include <cstdint>

namespace filbertspring {

/// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of this process. It does not stop while the process is
/// suspended.
struct SchedulerClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<SchedulerClock>;
  static constexpr bool is_steady = true;

  /// Returns the present time. Call it in shells only, not in decisions.
  static time_point now() noexcept;
};

/// A point on the monotonic clock of one process; not comparable with the
/// points of another process.
using TimePoint = SchedulerClock::time_point;

/// Returns the time of day as milliseconds since 1970. For logs and for values
/// that people read; never for leases.
std::int64_t wallMilliseconds() noexcept;

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_TIME_H
