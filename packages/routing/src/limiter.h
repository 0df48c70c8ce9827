#ifndef FILBERTSPRING_ROUTING_SRC_LIMITER_H
#define FILBERTSPRING_ROUTING_SRC_LIMITER_H

/// \file
/// The limits of one service of a contract, scaled by this instance's share.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/contract.h"

#include <cstdint>

namespace filbertspring::routing {

/// A token bucket. It holds the tokens of BurstTime, and at least one, and
/// starts with one.
class RateLimiter {
public:
  explicit RateLimiter(Duration BurstTime) : BurstTime_(BurstTime) {}

  /// Sets the rate to \p PerSecond scaled by \p Permille, keeping at most as
  /// many tokens as the new rate can save up.
  void configure(std::int64_t PerSecond, std::int32_t Permille, TimePoint Now);
  /// Takes a token and returns true, or returns false when there is none.
  bool tryTake(TimePoint Now);
  /// Returns the time until there is a token; Duration::max() at rate zero.
  Duration untilToken(TimePoint Now);

private:
  void refill(TimePoint Now);
  std::int64_t capacity() const;

  Duration BurstTime_;
  /// Billionths of a token per microsecond.
  std::int64_t NanoPerMicrosecond_ = 0;
  std::int64_t NanoTokens_ = 0;
  TimePoint RefilledAt_;
  bool Started_ = false;
};

/// Returns \p Limit scaled by \p Permille, rounded down, so that the shares of
/// all instances never add up to more than \p Limit.
constexpr std::int64_t scaleDown(std::int64_t Limit, std::int32_t Permille) {
  return Limit * Permille / 1000;
}

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_LIMITER_H
