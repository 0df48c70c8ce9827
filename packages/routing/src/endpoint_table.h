#ifndef FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H
#define FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H

/// \file
/// The state of each endpoint and the lists of usable endpoints.

#include "filbertspring/routing/config.h"
#include "filbertspring/routing/event.h"
#include "moving_mean.h"
#include "timers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring::routing {

/// Index of an endpoint in its table. Indexes are never reused.
using EndpointId = std::size_t;

/// Health of an endpoint, which determines whether it may receive requests.
enum class Health {
  Healthy,
  /// No request is sent until Endpoint::SuspectUntil_.
  Suspect,
  /// One probe request may be sent.
  Probation,
  /// The probe request is active.
  Probing
};

/// The state of one endpoint.
struct Endpoint {
  EndpointName Name_;
  Address Address_;
  ZoneName Zone_;
  ServiceName Service_;
  std::int64_t Slots_ = 0;
  bool Listed_ = true;
  bool Leaving_ = false;
  /// When the endpoint disappeared from the list.
  TimePoint UnlistedAt_;

  Health Health_ = Health::Healthy;
  std::int32_t ConsecutiveFailures_ = 0;
  Duration SuspectTime_{};
  TimePoint SuspectUntil_;

  /// Active attempts of this router.
  std::int64_t OwnInFlight_ = 0;
  /// Estimated number of requests of other senders.
  std::int64_t OthersInFlight_ = 0;
  /// When the report behind OthersInFlight_ was observed.
  TimePoint OthersReportedAt_;
  /// When an answer to this router last reported the load of the endpoint.
  std::optional<TimePoint> LoadReceivedAt_;
  TimePoint BusyUntil_;
  /// Whether the endpoint refuses requests beyond its slots instead of queueing
  /// them.
  bool RefusesWhenFull_ = false;
  std::optional<TimePoint> LastAnswerAt_;
  MovingMean Latency_{0.1};
  /// Moving average of the fraction of attempts that were overdue.
  double OverdueFraction_ = 0.0;
  /// Index in ServicePool::UsableByZone_ for its zone, if usable.
  std::optional<std::size_t> UsableIndex_;

  std::int64_t load() const { return OwnInFlight_ + OthersInFlight_; }
};

/// The endpoints of one service.
struct ServicePool {
  /// Endpoints that may currently receive any request, by zone.
  std::map<ZoneName, std::vector<EndpointId>> UsableByZone_;
  /// Number of available endpoints by zone: listed, not leaving and in a zone
  /// that is in service.
  std::map<ZoneName, std::size_t> AvailableByZone_;
  /// Number of available endpoints of all zones that are healthy.
  std::size_t HealthyCount_ = 0;
  std::set<EndpointId> OnProbation_;
  /// Requests held by the healthy available endpoints, and the sum of their
  /// slots.
  std::int64_t Load_ = 0;
  std::int64_t Slots_ = 0;
  /// Mean duration of an attempt, excluding the round trip between zones.
  MovingMean Latency_{0.01};

  /// Returns the requests held by healthy endpoints as a fraction of their
  /// slots.
  double load() const {
    return static_cast<double>(Load_) /
           static_cast<double>(std::max<std::int64_t>(Slots_, 1));
  }
};

/// The result of an attempt on an endpoint.
struct EndpointObservation {
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  std::optional<ObservedLoad> Load_;
  Duration Elapsed_{};
  bool FreshConnection_ = false;
};

/// Owns all endpoints. Updates take time logarithmic in the number of
/// endpoints, except applyList() and setZone(), which are linear.
class EndpointTable {
public:
  EndpointTable(const RouterConfig &Config, TimerQueue &Timers);

  void applyList(const std::vector<ListedInstance> &Instances, TimePoint Now);
  void setZone(const ZoneName &Zone, bool InService, TimePoint Now);
  void applyPeerReport(const PeerEndpointReport &Report, TimePoint Now);

  void attemptSent(EndpointId Id, TimePoint Now);
  /// Records the end of an attempt. Returns true when idle connections to the
  /// endpoint are to be closed.
  bool attemptEnded(EndpointId Id, const EndpointObservation &Observation,
                    TimePoint Now);
  /// Records that an attempt sent at \p SentAt is overdue, and puts a healthy
  /// endpoint that has answered nothing since then on probation. Returns true
  /// when idle connections to the endpoint are to be closed.
  bool attemptOverdue(EndpointId Id, TimePoint SentAt, TimePoint Now);
  /// Handles a due timer of the kind CapacityCheck or Probation.
  void handleTimer(const Timer &Due, TimePoint Now);

  /// Returns the listed endpoints that are leaving, and those that reported
  /// their load to this router within \p MaxAge.
  std::vector<PeerEndpointReport> reports(TimePoint Now, Duration MaxAge) const;

  const Endpoint &at(EndpointId Id) const { return *Endpoints_[Id]; }
  const ServicePool *findPool(const ServiceName &Service) const;
  /// Returns true when at least one endpoint of \p Service is available in a
  /// zone that \p Terms allow, regardless of its free capacity.
  bool anyAvailable(const Contract &Terms, const ServiceName &Service) const;
  /// Returns true when a non-idempotent request to the endpoint requires a new
  /// connection because idle connections may be dead.
  bool needsFreshConnection(EndpointId Id, TimePoint Now) const;
  std::size_t usableCount() const { return UsableCount_; }

private:
  void applyListEntry(const ListedInstance &Instance, TimePoint Now);
  void unlistMissing(const std::set<EndpointName> &ListedNames, TimePoint Now);
  bool isAvailable(const Endpoint &Target) const;
  bool isUsable(const Endpoint &Target, TimePoint Now) const;
  /// Applies \p Update to an endpoint, then updates the lists and counters of
  /// its pool.
  template <typename Function>
  void update(EndpointId Id, TimePoint Now, Function Update);
  void setUsable(EndpointId Id, bool Usable);
  void scheduleCapacityCheck(EndpointId Id, TimePoint Now);
  void applyLoad(Endpoint &Target, const ObservedLoad &Load, TimePoint Now);
  void markSuccess(Endpoint &Target);
  void markFailure(EndpointId Id, Endpoint &Target, TimePoint Now);
  void markSuspect(EndpointId Id, Endpoint &Target, TimePoint Now);
  void recordLatency(Endpoint &Target, Duration Elapsed);

  RouterConfig Config_;
  bool UsesLoadReports_;
  TimerQueue &Timers_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::map<EndpointName, EndpointId> ByName_;
  std::map<ServiceName, ServicePool> Pools_;
  std::set<ZoneName> ZonesOut_;
  std::size_t UsableCount_ = 0;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H
