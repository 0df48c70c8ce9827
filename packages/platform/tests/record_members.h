#ifndef FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H
#define FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H

/// \file
/// Tuples of the members of the encoded types, so that tests can fill and
/// compare them independently of the codec's list of fields. When a member is
/// added to one of these types, this file fails to compile.

#include "filbertspring/domain.h"

#include <tuple>
#include <type_traits>

namespace filbertspring {

/// Matches T and const T.
template <typename Self, typename T>
concept MaybeConst = std::is_same_v<std::remove_const_t<Self>, T>;

template <MaybeConst<Resources> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<TaskRef> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<AttemptRef> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<Address> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<HeadRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<ContractRecord> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<Contract> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <MaybeConst<ServiceTerms> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <MaybeConst<BatchTerms> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<BatchKindTerms> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <MaybeConst<WatchTerms> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<AvailabilityZone> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E] = Value;
  return std::tie(A, B, C, D, E);
}
template <MaybeConst<Assignment> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<RackWorker> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <MaybeConst<QuotaGrant> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<RackRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <MaybeConst<Placement> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<Task> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <MaybeConst<JobRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I, J, K, L] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I, J, K, L);
}
template <MaybeConst<RackGrant> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<QuotaLedgerRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<InstanceShare> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<ShareLedgerRecord> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<HeartbeatRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <MaybeConst<RequestKeyRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I);
}
template <MaybeConst<WatchEvent> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<WatchRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <MaybeConst<BurnMinute> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <MaybeConst<BurnHourRecord> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <MaybeConst<AttemptReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <MaybeConst<ServiceReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D] = Value;
  return std::tie(A, B, C, D);
}
template <MaybeConst<WorkerReport> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F] = Value;
  return std::tie(A, B, C, D, E, F);
}
template <MaybeConst<StartCommand> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I);
}
template <MaybeConst<RenewCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<StopCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<ThrottleCommand> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<WorkerCommands> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G] = Value;
  return std::tie(A, B, C, D, E, F, G);
}
template <MaybeConst<RefusedStart> Self> auto members(Self &Value) {
  auto &[A, B] = Value;
  return std::tie(A, B);
}
template <MaybeConst<WorkerAnswer> Self> auto members(Self &Value) {
  auto &[A, B, C] = Value;
  return std::tie(A, B, C);
}
template <MaybeConst<ListedInstance> Self> auto members(Self &Value) {
  auto &[A, B, C, D, E, F, G, H, I, J] = Value;
  return std::tie(A, B, C, D, E, F, G, H, I, J);
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_RECORD_MEMBERS_H
