#ifndef FILBERTSPRING_DOMAIN_ENDPOINT_H
#define FILBERTSPRING_DOMAIN_ENDPOINT_H

/// \file
/// Instances and workers as the platform lists them.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"

#include <cstdint>
#include <string>

namespace filbertspring {

/// The role of a listed instance.
enum class InstanceRole { Entry, Executor, Worker };

inline constexpr EnumTable<InstanceRole, 3> InstanceRoleNames{
    {{InstanceRole::Entry, "entry"},
     {InstanceRole::Executor, "executor"},
     {InstanceRole::Worker, "worker"}}};

/// Whether a listed instance accepts new work.
enum class InstanceState { Live, Leaving };

inline constexpr EnumTable<InstanceState, 2> InstanceStateNames{
    {{InstanceState::Live, "live"}, {InstanceState::Leaving, "leaving"}}};

/// A numeric address and a port.
struct Address {
  std::string Host_;
  std::uint16_t Port_ = 0;

  std::string toString() const;
  friend bool operator==(const Address &, const Address &) = default;
};

/// One entry of the platform's list of instances. The list lags behind their
/// actual state.
struct ListedInstance {
  InstanceName Name_;
  InstanceRole Role_ = InstanceRole::Entry;
  InstanceState State_ = InstanceState::Live;
  ZoneName Zone_;
  /// Workers only.
  RackName Rack_;
  /// Executors only: the service that the executor runs.
  ServiceName Service_;
  /// Executors only: number of requests that the executor runs concurrently.
  std::int64_t Slots_ = 0;
  /// Workers only.
  Resources Capacity_;
  /// Address of its HTTP server.
  Address Http_;
  /// Entry instances only: address on which it accepts streams from other entry
  /// instances.
  Address Peer_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_ENDPOINT_H
