#ifndef FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H
#define FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H

/// \file
/// The members of the encoded types, one by one, so that tests can fill and
/// compare them without the codec's own list of fields. A member that is added
/// to one of these types fails to compile here.

#include "filbertspring/domain.h"

#include <tuple>
#include <type_traits>

namespace filbertspring {

template <typename Self, typename T>
concept Either = std::is_same_v<std::remove_const_t<Self>, T>;

template <Either<Resources> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<TaskRef> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<AttemptRef> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<Address> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<HeadRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<ContractRecord> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<Contract> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <Either<ServiceTerms> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <Either<BatchTerms> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<BatchKindTerms> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <Either<WatchTerms> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<AvailabilityZone> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E] = Value;
  return std::tie(A, B, C, D, E);
}
template <Either<Assignment> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<RackWorker> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <Either<QuotaGrant> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<RackRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <Either<Placement> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<Task> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <Either<JobRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I, J, K, L] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I, J, K, L);
}
template <Either<RackGrant> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<QuotaLedgerRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<InstanceShare> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<ShareLedgerRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<HeartbeatRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <Either<RequestKeyRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I);
}
template <Either<WatchEvent> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<WatchRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <Either<BurnMinute> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <Either<BurnHourRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <Either<AttemptReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <Either<ServiceReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <Either<WorkerReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <Either<StartCommand> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I);
}
template <Either<RenewCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<StopCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<ThrottleCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<WorkerCommands> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <Either<RefusedStart> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <Either<WorkerAnswer> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <Either<ListedInstance> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I, J] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I, J);
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H
