#include "limiter.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

constexpr std::int64_t NanoPerToken = 1'000'000'000;
/// One token per second is a thousand billionths per microsecond; a share of
/// one permille of it is one.
constexpr std::int64_t NanoPerMicrosecondOfPermille = 1;

} // namespace

void RateLimiter::configure(std::int64_t PerSecond, std::int32_t Permille,
                            TimePoint Now) {
  refill(Now);
  NanoPerMicrosecond_ = PerSecond * Permille * NanoPerMicrosecondOfPermille;
  if (!Started_ && NanoPerMicrosecond_ > 0) {
    Started_ = true;
    NanoTokens_ = NanoPerToken;
  }
  NanoTokens_ = std::min(NanoTokens_, capacity());
}

bool RateLimiter::tryTake(TimePoint Now) {
  refill(Now);
  if (NanoTokens_ < NanoPerToken)
    return false;
  NanoTokens_ -= NanoPerToken;
  return true;
}

Duration RateLimiter::untilToken(TimePoint Now) {
  refill(Now);
  if (NanoPerMicrosecond_ == 0)
    return Duration::max();
  std::int64_t Missing = std::max<std::int64_t>(NanoPerToken - NanoTokens_, 0);
  return Duration((Missing + NanoPerMicrosecond_ - 1) / NanoPerMicrosecond_);
}

void RateLimiter::refill(TimePoint Now) {
  Duration Elapsed = std::max(Now - RefilledAt_, Duration::zero());
  RefilledAt_ = std::max(Now, RefilledAt_);
  if (NanoPerMicrosecond_ == 0)
    return;
  // Bounded by the time to fill the bucket, so that nothing overflows.
  Duration ToFull(capacity() / NanoPerMicrosecond_ + 1);
  Elapsed = std::min(Elapsed, ToFull);
  NanoTokens_ =
      std::min(capacity(), NanoTokens_ + Elapsed.count() * NanoPerMicrosecond_);
}

std::int64_t RateLimiter::capacity() const {
  if (NanoPerMicrosecond_ == 0)
    return 0;
  return std::max(NanoPerToken, NanoPerMicrosecond_ * BurstTime_.count());
}

} // namespace filbertspring::routing
