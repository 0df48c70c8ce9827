#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_CORE_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_CORE_H

/// \file
/// The state shared by the components of a scheduler.

#include "job_index.h"
#include "rack_state.h"
#include "table_view.h"
#include "timer_set.h"
#include "worker_capacity_index.h"

#include "filbertspring/placement/colocation.h"
#include "filbertspring/placement/failure_evidence.h"
#include "filbertspring/placement/placement_action.h"
#include "filbertspring/placement/placement_event.h"
#include "filbertspring/placement/scheduler_settings.h"
#include "filbertspring/placement/worker_choice.h"
#include "filbertspring/placement/zone_ramp_limit.h"

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace filbertspring::placement {

/// A read in flight.
struct PendingRead {
  TimePoint IssuedAt_{};
  std::vector<RowKey> Keys_;
  std::optional<RowKind> Scan_;
};

/// A transaction in flight that rejects jobs as impossible to run.
struct PendingRejection {
  TransactionId Id_;
  TimePoint SentAt_{};
  Transaction Transaction_;
};

/// The state of a scheduler, and operations common to its components.
struct SchedulerCore {
  SchedulerCore(SchedulerSettings Settings, InstanceName Self,
                std::uint64_t Seed);

  /// Appends an action to the output of handle().
  template <typename Action> void emit(Action NewAction) {
    Out_->push_back(std::move(NewAction));
  }
  /// Appends a log record to the output of handle().
  void log(LogEvent Event, const AttemptRef &Attempt, const RackName &Rack,
           const WorkerName &Worker, std::string Text = {});
  RequestNumber nextNumber() { return ++LastRequestNumber_; }
  TransactionId nextTransaction();

  RackState *findRack(const RackName &Name);
  WorkerState *findWorker(const WorkerName &Name);
  /// Returns the rack of \p Worker when this instance owns it, else null.
  RackState *ownedRackOf(const WorkerState &Worker);
  /// Returns the tracked attempt, or null.
  TrackedAttempt *findAttempt(const AttemptRef &Attempt);

  /// Marks \p Rack to be serviced before handle() returns.
  void markDirty(const RackName &Rack) { DirtyRacks_.insert(Rack); }
  /// Marks all racks to be serviced, and clears their blocked generations,
  /// since a change may permit placements that failed before.
  void markAllRacksDirty();
  /// Schedules an exchange with \p Worker as soon as none is in flight.
  void scheduleExchangeNow(WorkerState &Worker);

  SchedulerSettings Settings_;
  InstanceName Self_;
  std::uint64_t Seed_;
  pcg32 Random_;

  TimePoint Now_{};
  std::vector<PlacementAction> *Out_ = nullptr;
  TimerSet Timers_;
  RequestNumber LastRequestNumber_ = 0;
  std::uint64_t LastTransaction_ = 0;

  JobIndex Jobs_;
  TableView Table_;
  WorkerCapacityIndex WorkerCapacities_;
  std::map<RackName, RackState> Racks_;
  std::map<WorkerName, WorkerState> Workers_;
  /// The names of the workers by their racks; see worker_roster.h.
  std::map<RackName, std::set<WorkerName>> WorkersByRack_;
  std::map<AttemptRef, RackName> RackOfAttempt_;
  std::map<ZoneName, ZoneRampLimit> Ramps_;
  FailureEvidence Evidence_;
  ColocationPolicy Colocation_;
  std::vector<InstanceName> LiveInstances_;
  bool PlatformReachable_ = true;
  bool Draining_ = false;

  std::map<TransactionId, RackName> RackOfCommit_;
  std::optional<PendingRejection> PendingRejection_;
  std::set<ContractName> LockedLedgers_;

  std::map<RequestNumber, PendingRead> PendingReads_;
  std::set<RowKey> RequestedRows_;
  std::set<RowKey> RowsBeingRead_;
  TimePoint ReadRetryAt_{};
  Backoff ReadBackoff_;

  std::set<RackName> DirtyRacks_;
  std::set<WorkerName> DirtyWorkers_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_CORE_H
