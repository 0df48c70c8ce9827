#include "limiter.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

constexpr std::int64_t NanoTokensPerToken = 1'000'000'000;
/// One token per second is 1000 billionths of a token per microsecond, and one
/// permille of that is 1.
constexpr std::int64_t NanoTokensPerMicrosecondPerPermille = 1;

} // namespace

void RateLimiter::configure(std::int64_t PerSecond, std::int32_t Permille,
                            TimePoint Now) {
  refill(Now);
  NanoTokensPerMicrosecond_ =
      PerSecond * Permille * NanoTokensPerMicrosecondPerPermille;
  if (!InitialTokenGranted_ && NanoTokensPerMicrosecond_ > 0) {
    InitialTokenGranted_ = true;
    NanoTokens_ = NanoTokensPerToken;
  }
  NanoTokens_ = std::min(NanoTokens_, capacity());
}

bool RateLimiter::tryTake(TimePoint Now) {
  refill(Now);
  if (NanoTokens_ < NanoTokensPerToken)
    return false;
  NanoTokens_ -= NanoTokensPerToken;
  return true;
}

Duration RateLimiter::timeToNextToken(TimePoint Now) {
  refill(Now);
  if (NanoTokensPerMicrosecond_ == 0)
    return Duration::max();
  std::int64_t MissingNanoTokens =
      std::max<std::int64_t>(NanoTokensPerToken - NanoTokens_, 0);
  return Duration((MissingNanoTokens + NanoTokensPerMicrosecond_ - 1) /
                  NanoTokensPerMicrosecond_);
}

void RateLimiter::refill(TimePoint Now) {
  Duration Elapsed = std::max(Now - RefilledAt_, Duration::zero());
  RefilledAt_ = std::max(Now, RefilledAt_);
  if (NanoTokensPerMicrosecond_ == 0)
    return;
  // Limited to the time that fills the bucket, so that the product can't
  // overflow.
  Duration TimeToFull(capacity() / NanoTokensPerMicrosecond_ + 1);
  Elapsed = std::min(Elapsed, TimeToFull);
  NanoTokens_ = std::min(
      capacity(), NanoTokens_ + Elapsed.count() * NanoTokensPerMicrosecond_);
}

std::int64_t RateLimiter::capacity() const {
  if (NanoTokensPerMicrosecond_ == 0)
    return 0;
  return std::max(NanoTokensPerToken,
                  NanoTokensPerMicrosecond_ * BurstTime_.count());
}

} // namespace filbertspring::routing
