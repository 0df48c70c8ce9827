#ifndef FILBERTSPRING_ROUTING_EVENT_H
#define FILBERTSPRING_ROUTING_EVENT_H

/// \file
/// The events that the router handles.

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

/// A request was received from a caller. The ticket identifies the request; the
/// sender of the event assigns it and never reuses it. An event whose ticket is
/// still in use is ignored.
struct RequestArrived {
  std::uint64_t Ticket_ = 0;
  RequestId Id_;
  ContractName Contract_;
  ServiceName Service_;
  /// The latest time for an answer. The deadline of the contract is an upper
  /// bound.
  TimePoint Deadline_;
  /// Whether the request may run more than once.
  bool Idempotent_ = true;
};

/// An attempt has ended. Every SendAttempt is followed by exactly one
/// AttemptEnded, also after CancelAttempt and after the request has been
/// answered.
struct AttemptEnded {
  std::uint64_t Ticket_ = 0;
  AttemptNumber Attempt_ = 0;
  EndpointName Endpoint_;
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  std::optional<ObservedLoad> Load_;
  /// Time from SendAttempt to the end of the attempt.
  Duration Elapsed_{};
};

/// The caller of a request closed its connection.
struct CallerDisconnected {
  std::uint64_t Ticket_ = 0;
};

/// The platform's instance list was read. It replaces the previous list;
/// entries with roles other than executor are ignored.
struct EndpointsListed {
  std::vector<ListedInstance> Instances_;
};

/// The state of one endpoint as observed by a peer.
struct PeerEndpointReport {
  EndpointName Endpoint_;
  std::int64_t InFlight_ = 0;
  bool Leaving_ = false;
  /// Time since the peer's observation.
  Duration Age_{};
};

/// A peer reported the state of endpoints.
struct PeerEndpointReports {
  std::vector<PeerEndpointReport> Reports_;
};

/// The set of contracts in force. It replaces the previous set.
struct ContractsChanged {
  std::vector<Contract> Contracts_;
};

/// The share of a contract's limits that this instance may use has changed. The
/// share of a contract is zero until the first ShareChanged.
struct ShareChanged {
  ContractName Contract_;
  /// Thousandths of each limit, 0 to 1000.
  std::int32_t Permille_ = 0;
};

/// An operator took an availability zone out of service or returned it to
/// service.
struct ZoneChanged {
  ZoneName Zone_;
  bool InService_ = true;
};

/// The process is shutting down; new requests are refused from now on.
struct DrainStarted {};

/// The time returned by Router::nextWake() was reached.
struct Tick {};

/// Any event of the router.
using RoutingEvent =
    std::variant<RequestArrived, AttemptEnded, CallerDisconnected,
                 EndpointsListed, PeerEndpointReports, ContractsChanged,
                 ShareChanged, ZoneChanged, DrainStarted, Tick>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_EVENT_H
