#ifndef FILBERTSPRING_ROUTING_EVENT_H
#define FILBERTSPRING_ROUTING_EVENT_H

/// \file
/// What the router is told.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/routing/attempt.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace filbertspring::routing {

/// A caller sent a request. The ticket is the sender's own number for it and is
/// never used twice; a ticket that is still held is ignored.
struct RequestArrived {
  std::uint64_t Ticket_ = 0;
  RequestId Id_;
  ContractName Contract_;
  ServiceName Service_;
  /// The latest time for an answer; the contract's deadline caps it.
  TimePoint Deadline_;
  /// Whether it may run more than once.
  bool Idempotent_ = true;
};

/// An attempt is over. Every SendAttempt is followed by exactly one of these,
/// also after CancelAttempt and after its request has been answered.
struct AttemptEnded {
  std::uint64_t Ticket_ = 0;
  AttemptNumber Attempt_ = 0;
  EndpointName Endpoint_;
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  std::optional<ObservedLoad> Load_;
  /// From SendAttempt to the end.
  Duration Elapsed_{};
};

/// The caller of a request closed its connection.
struct CallerDisconnected {
  std::uint64_t Ticket_ = 0;
};

/// The platform's list was read. It replaces the one before; entries of other
/// roles than executors are ignored.
struct EndpointsListed {
  std::vector<ListedInstance> Instances_;
};

/// What a peer saw of one endpoint.
struct PeerEndpointReport {
  EndpointName Endpoint_;
  std::int64_t InFlight_ = 0;
  bool Leaving_ = false;
  /// How long ago the peer saw it.
  Duration Age_{};
};

/// A peer passed on what it saw of endpoints.
struct PeerEndpointReports {
  std::vector<PeerEndpointReport> Reports_;
};

/// The contracts in force. They replace the ones before.
struct ContractsChanged {
  std::vector<Contract> Contracts_;
};

/// This instance's share of the limits of a contract changed. A contract
/// without a share has the share zero.
struct ShareChanged {
  ContractName Contract_;
  /// Thousandths of each limit, 0 to 1000.
  std::int32_t Permille_ = 0;
};

/// Operators took an availability zone out of service or brought it back.
struct ZoneChanged {
  ZoneName Zone_;
  bool InService_ = true;
};

/// This process is shutting down: no new admissions.
struct DrainStarted {};

/// The time of nextWake() was reached.
struct Tick {};

/// Anything that the router is told.
using RoutingEvent =
    std::variant<RequestArrived, AttemptEnded, CallerDisconnected,
                 EndpointsListed, PeerEndpointReports, ContractsChanged,
                 ShareChanged, ZoneChanged, DrainStarted, Tick>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_EVENT_H
