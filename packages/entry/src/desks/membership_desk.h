#ifndef FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_DESK_H

/// \file
/// The thread that follows the configuration, the other entry instances and
/// the shares of limits, and tells the router and the scheduler.

#include "demand_meter.h"
#include "placement_desk.h"
#include "route_desk.h"
#include "table_desk.h"

#include "../snapshot.h"

#include "filbertspring/config/settings.h"

#include <memory>

namespace filbertspring {

/// The threads that a membership thread works with.
struct MembershipPartners {
  /// The name of this process among the instances.
  InstanceName Self_;
  TableDesk &Table_;
  RouteDesk &Routes_;
  PlacementDesk &Placement_;
  DemandMeter &Demand_;
  SnapshotBoard &Board_;
  CounterRegistry &Counters_;
};

/// Owns the membership thread and the streams to peers.
class MembershipDesk {
public:
  MembershipDesk(const Settings &Values, const MembershipPartners &Partners);
  ~MembershipDesk();
  MembershipDesk(const MembershipDesk &) = delete;
  MembershipDesk &operator=(const MembershipDesk &) = delete;

  /// Starts to listen for peers and to follow the configuration. Errors:
  /// those of binding the address.
  Status start();
  /// Tells the others that this instance is leaving.
  void leave();
  /// Gives shares and the heartbeat back; waits a short while for that.
  void release();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_DESK_H
