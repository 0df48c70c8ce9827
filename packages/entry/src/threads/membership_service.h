#ifndef FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_SERVICE_H
#define FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_SERVICE_H

/// \file
/// The thread that tracks the configuration, the other entry instances and the
/// shares of contract limits, and passes changes to the router and the
/// scheduler.

#include "demand_meter.h"
#include "router_thread.h"
#include "scheduler_thread.h"
#include "table_client_pool.h"

#include "../snapshot.h"

#include "filbertspring/config/settings.h"

#include <memory>

namespace filbertspring {

/// The components that the membership thread uses.
struct MembershipDependencies {
  /// The name of this process among the entry instances.
  InstanceName Self_;
  TableClientPool &Table_;
  RouterThread &Routing_;
  SchedulerThread &Placement_;
  DemandMeter &Demand_;
  SnapshotPublisher &Snapshots_;
  CounterRegistry &Counters_;
};

/// Owns the membership thread, the thread that polls the instance list, and the
/// streams to peers.
class MembershipService {
public:
  MembershipService(const Settings &Values,
                    const MembershipDependencies &Dependencies);
  ~MembershipService();
  MembershipService(const MembershipService &) = delete;
  MembershipService &operator=(const MembershipService &) = delete;

  /// Starts to listen for peers and to track the configuration. Errors: those
  /// of binding the address.
  Status start();
  /// Announces to the other instances that this one is leaving.
  void leave();
  /// Releases the shares and the heartbeat row, and waits for a fixed short
  /// time so that the table can commit this.
  void release();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_SERVICE_H
