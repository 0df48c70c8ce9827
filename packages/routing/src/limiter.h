#ifndef FILBERTSPRING_ROUTING_SRC_LIMITER_H
#define FILBERTSPRING_ROUTING_SRC_LIMITER_H

/// \file
/// Rate and concurrency limits, scaled by this instance's share.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/contract.h"

#include <cstdint>

namespace filbertspring::routing {

/// A token bucket. Its capacity is the number of tokens that accrue within the
/// burst time, but at least one. It initially contains one token.
class RateLimiter {
public:
  explicit RateLimiter(Duration BurstTime) : BurstTime_(BurstTime) {}

  /// Sets the rate to \p PerSecond scaled by \p Permille. Tokens beyond the
  /// capacity at the new rate are discarded.
  void configure(std::int64_t PerSecond, std::int32_t Permille, TimePoint Now);
  /// Takes a token and returns true, or returns false when the bucket is empty.
  bool tryTake(TimePoint Now);
  /// Returns the time until a token is available, or Duration::max() when the
  /// rate is zero.
  Duration timeToNextToken(TimePoint Now);

private:
  void refill(TimePoint Now);
  std::int64_t capacity() const;

  Duration BurstTime_;
  /// Refill rate in billionths of a token per microsecond.
  std::int64_t NanoTokensPerMicrosecond_ = 0;
  std::int64_t NanoTokens_ = 0;
  TimePoint RefilledAt_;
  bool InitialTokenGranted_ = false;
};

/// Returns \p Limit scaled by \p Permille. Rounds down, so that the sum over
/// all instances never exceeds \p Limit.
constexpr std::int64_t scaleDown(std::int64_t Limit, std::int32_t Permille) {
  return Limit * Permille / 1000;
}

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_LIMITER_H
