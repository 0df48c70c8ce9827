#ifndef FILBERTSPRING_DOMAIN_ENDPOINT_H
#define FILBERTSPRING_DOMAIN_ENDPOINT_H

/// \file
/// Processes and machines that the platform's list shows.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"

#include <cstdint>
#include <string>

namespace filbertspring {

/// What a listed instance does.
enum class InstanceRole { Entry, Executor, Worker };

inline constexpr EnumTable<InstanceRole, 3> InstanceRoleNames{
    {{InstanceRole::Entry, "entry"},
     {InstanceRole::Executor, "executor"},
     {InstanceRole::Worker, "worker"}}};

/// Whether a listed instance takes new work.
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

/// One entry of the platform's lagging list.
struct ListedInstance {
  InstanceName Name_;
  InstanceRole Role_ = InstanceRole::Entry;
  InstanceState State_ = InstanceState::Live;
  ZoneName Zone_;
  /// Workers only.
  RackName Rack_;
  /// Executors only: the service that they run.
  ServiceName Service_;
  /// Executors only: requests that they run at one time.
  std::int64_t Slots_ = 0;
  /// Workers only.
  Resources Capacity_;
  /// Where it answers HTTP.
  Address Http_;
  /// Entry instances only: where it accepts streams of its peers.
  Address Peer_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_ENDPOINT_H
