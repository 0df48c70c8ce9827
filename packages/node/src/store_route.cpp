#include "store_route.h"

#include <utility>

namespace filbertspring::node {

void StoreRoute::setRelays(std::vector<std::string> Addresses) {
  RelayAddresses_ = std::move(Addresses);
}

std::string StoreRoute::selectRelay(TimePoint Now) const {
  for (const std::string &Address : RelayAddresses_) {
    auto Found = AvoidedUntil_.find(Address);
    if (Found == AvoidedUntil_.end() || Found->second <= Now)
      return Address;
  }
  return {};
}

bool StoreRoute::claimProbe(TimePoint Now) {
  if (!IsUnreachable_ || Now < NextProbeAt_)
    return false;
  NextProbeAt_ = Now + Times_.ProbeInterval_;
  return true;
}

bool StoreRoute::recordDirectAnswer(TimePoint /*Now*/) {
  ConsecutiveRefusals_ = 0;
  HasFailedSinceAnswer_ = false;
  return std::exchange(IsUnreachable_, false);
}

bool StoreRoute::recordDirectFailure(TimePoint Now) {
  recordFailure(Now);
  NextProbeAt_ = Now + Times_.ProbeInterval_;
  return !std::exchange(IsUnreachable_, true);
}

bool StoreRoute::recordDirectRefusal(TimePoint Now) {
  recordFailure(Now);
  if (++ConsecutiveRefusals_ < Times_.RefusalsUntilUnreachable_)
    return false;
  NextProbeAt_ = Now + Times_.ProbeInterval_;
  return !std::exchange(IsUnreachable_, true);
}

void StoreRoute::recordRelayAnswer(TimePoint /*Now*/) {
  HasFailedSinceAnswer_ = false;
}

void StoreRoute::recordRelayFailure(const std::string &Address, TimePoint Now) {
  recordFailure(Now);
  AvoidedUntil_[Address] = Now + Times_.RelayRetryDelay_;
}

void StoreRoute::recordFailure(TimePoint Now) {
  if (std::exchange(HasFailedSinceAnswer_, true))
    return;
  FirstFailureAt_ = Now;
}

bool StoreRoute::isStoreAvailable(TimePoint Now) const {
  return !HasFailedSinceAnswer_ ||
         Now - FirstFailureAt_ < Times_.UnavailableAfter_;
}

} // namespace filbertspring::node
