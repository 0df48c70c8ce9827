#ifndef FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H
#define FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H

/// \file
/// What the router knows of each endpoint, and which of them have room.

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

/// Position of an endpoint in its table; never used again for another one.
using EndpointId = std::size_t;

/// Whether an endpoint may receive work.
enum class Health {
  Healthy,
  /// Nothing is sent until a time.
  Suspect,
  /// One request may be sent.
  Probation,
  /// That request is under way.
  Probing
};

/// What is known of one endpoint.
struct Endpoint {
  EndpointName Name_;
  Address Address_;
  ZoneName Zone_;
  ServiceName Service_;
  std::int64_t Slots_ = 0;
  bool Listed_ = true;
  bool Leaving_ = false;
  /// When it vanished from the list.
  TimePoint UnlistedAt_;

  Health Health_ = Health::Healthy;
  std::int32_t Failures_ = 0;
  Duration SuspectTime_{};
  TimePoint SuspectUntil_;

  /// Attempts of this router that have not ended.
  std::int64_t Own_ = 0;
  /// Estimate of the requests of other senders, and its time.
  std::int64_t Others_ = 0;
  TimePoint ReportedAt_;
  /// When it told its load to this router itself.
  std::optional<TimePoint> ToldLoadAt_;
  TimePoint BusyUntil_;
  /// Whether it refuses requests above its slots instead of queueing them.
  bool Refuses_ = false;
  std::optional<TimePoint> AnsweredAt_;
  MovingMean Latency_{0.1};
  /// Share of its latest attempts that were overdue.
  double OverdueShare_ = 0.0;
  /// Position in its list of open endpoints.
  std::optional<std::size_t> OpenAt_;

  std::int64_t load() const { return Own_ + Others_; }
};

/// The endpoints of one service.
struct ServicePool {
  /// Those that may receive any request now, by zone.
  std::map<ZoneName, std::vector<EndpointId>> Open_;
  /// How many are listed, not leaving and in a zone in service, by zone.
  std::map<ZoneName, std::size_t> Available_;
  /// How many of these are healthy, over all zones.
  std::size_t Healthy_ = 0;
  std::set<EndpointId> OnProbation_;
  /// Sums over the healthy ones.
  std::int64_t Load_ = 0;
  std::int64_t Slots_ = 0;
  /// Usual time of an attempt without the delay between zones.
  MovingMean Latency_{0.01};

  /// Returns the requests held as a fraction of the slots.
  double load() const {
    return static_cast<double>(Load_) /
           static_cast<double>(std::max<std::int64_t>(Slots_, 1));
  }
};

/// How an attempt on an endpoint ended.
struct EndpointObservation {
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  std::optional<ObservedLoad> Load_;
  Duration Elapsed_{};
  bool FreshConnection_ = false;
};

/// Owns all endpoints. Updates are logarithmic in the endpoints, but for list()
/// and setZone(), which are linear.
class EndpointTable {
public:
  EndpointTable(const RouterConfig &Config, TimerQueue &Timers);

  void list(const std::vector<ListedInstance> &Instances, TimePoint Now);
  void setZone(const ZoneName &Zone, bool InService, TimePoint Now);
  void peerReport(const PeerEndpointReport &Report, TimePoint Now);

  void attemptSent(EndpointId Id, TimePoint Now);
  /// Returns true when idle connections to the endpoint are to be dropped.
  bool attemptEnded(EndpointId Id, const EndpointObservation &Seen,
                    TimePoint Now);
  /// Stops new work to an endpoint that answered nothing since \p SentAt.
  /// Returns true when idle connections to the endpoint are to be dropped.
  bool attemptOverdue(EndpointId Id, TimePoint SentAt, TimePoint Now);
  /// Takes in that a Reopen or Probation timer is due.
  void timerDue(const Timer &Due, TimePoint Now);

  /// Returns the leaving endpoints, and those that told their load within
  /// \p MaxAge.
  std::vector<PeerEndpointReport> reports(TimePoint Now, Duration MaxAge) const;

  const Endpoint &at(EndpointId Id) const { return *Endpoints_[Id]; }
  const ServicePool *findPool(const ServiceName &Service) const;
  /// Returns true when \p Contract has an endpoint for \p Service, with room or
  /// without.
  bool anyAvailable(const Contract &Terms, const ServiceName &Service) const;
  /// Returns true when a non-idempotent request needs a new connection.
  bool needsFreshConnection(EndpointId Id, TimePoint Now) const;
  std::size_t openCount() const { return OpenCount_; }

private:
  void listOne(const ListedInstance &Instance, TimePoint Now);
  void unlistMissing(const std::set<EndpointName> &Names, TimePoint Now);
  bool available(const Endpoint &Node) const;
  bool open(const Endpoint &Node, TimePoint Now) const;
  /// Applies \p Update to an endpoint and keeps the pool's lists in step.
  template <typename Function>
  void update(EndpointId Id, TimePoint Now, Function Update);
  void setOpen(EndpointId Id, bool Open);
  void watchRoom(EndpointId Id, TimePoint Now);
  void applyLoad(Endpoint &Node, const ObservedLoad &Load, TimePoint Now);
  void markSuccess(Endpoint &Node);
  void markFailure(EndpointId Id, Endpoint &Node, TimePoint Now);
  void suspect(EndpointId Id, Endpoint &Node, TimePoint Now);
  void addLatency(Endpoint &Node, Duration Took);

  RouterConfig Config_;
  bool UsesReports_;
  TimerQueue &Timers_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::map<EndpointName, EndpointId> ByName_;
  std::map<ServiceName, ServicePool> Pools_;
  std::set<ZoneName> ZonesOut_;
  std::size_t OpenCount_ = 0;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ENDPOINT_TABLE_H
