#include "store_route.h"

#include <utility>

namespace filbertspring::node {

void StoreRoute::setRelays(std::vector<std::string> Addresses) {
  Relays_ = std::move(Addresses);
}

std::string StoreRoute::relay(TimePoint Now) const {
  for (const std::string &Address : Relays_) {
    auto Found = Avoided_.find(Address);
    if (Found == Avoided_.end() || Found->second <= Now)
      return Address;
  }
  return {};
}

bool StoreRoute::takeProbe(TimePoint Now) {
  if (!IsLost_ || Now < NextProbeAt_)
    return false;
  NextProbeAt_ = Now + Times_.ProbePause_;
  return true;
}

bool StoreRoute::directAnswered(TimePoint /*Now*/) {
  Refusals_ = 0;
  HasFailed_ = false;
  return std::exchange(IsLost_, false);
}

bool StoreRoute::directFailed(TimePoint Now) {
  failed(Now);
  NextProbeAt_ = Now + Times_.ProbePause_;
  return !std::exchange(IsLost_, true);
}

bool StoreRoute::directRefused(TimePoint Now) {
  failed(Now);
  if (++Refusals_ < Times_.RefusalsUntilLost_)
    return false;
  NextProbeAt_ = Now + Times_.ProbePause_;
  return !std::exchange(IsLost_, true);
}

void StoreRoute::relayAnswered(TimePoint /*Now*/) { HasFailed_ = false; }

void StoreRoute::relayFailed(const std::string &Address, TimePoint Now) {
  failed(Now);
  Avoided_[Address] = Now + Times_.RelayPause_;
}

void StoreRoute::failed(TimePoint Now) {
  if (std::exchange(HasFailed_, true))
    return;
  FailingSince_ = Now;
}

bool StoreRoute::isServed(TimePoint Now) const {
  return !HasFailed_ || Now - FailingSince_ < Times_.UnservedAfter_;
}

} // namespace filbertspring::node
