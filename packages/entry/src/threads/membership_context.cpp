#include "membership_context.h"

#include <algorithm>

namespace filbertspring {
namespace {

constexpr std::size_t RingCapacity = 4096;
constexpr double Permille = 1000.0;

membership::LeaseSettings leaseSettings(const Settings &Values) {
  membership::LeaseSettings Lease;
  Lease.HeartbeatInterval_ = Values.Leases_.HeartbeatInterval_;
  Lease.SuspicionTimeout_ = Values.Leases_.InstanceLapse_;
  Lease.LeaseDuration_ = Values.Shares_.Lapse_;
  Lease.DrainLimit_ = Values.Drain_.Limit_;
  Lease.DriftPermille_ = std::max<std::int32_t>(
      1, static_cast<std::int32_t>(Values.Leases_.ClockDrift_ * Permille));
  Lease.Margin_ = Values.Leases_.Margin_;
  return Lease;
}

} // namespace

MembershipContext::MembershipContext(const Settings &Values,
                                     const MembershipDependencies &Dependencies)
    : Settings_(Values), Dependencies_(Dependencies), Self_(Dependencies.Self_),
      BootId_(Self_.str()), Place_{Self_, Values.Zone_},
      Lease_(leaseSettings(Values)), Tasks_(RingCapacity) {}

void MembershipContext::post(MembershipTask Task) {
  if (!Tasks_.tryPush(std::move(Task)))
    Dependencies_.Counters_.counter("filbertspring_membership_dropped_total")
        .add();
}

} // namespace filbertspring
