#include "filbertspring/placement/scheduler.h"

#include "colocation_adapter.h"
#include "job_rejection.h"
#include "rack_commits.h"
#include "rack_ownership.h"
#include "rack_service.h"
#include "scheduler_core.h"
#include "scheduler_views.h"
#include "table_reads.h"
#include "worker_exchange.h"

#include "attempt_requests.h"
#include "filbertspring/base/overloaded.h"
#include "row_updates.h"

#include <algorithm>
#include <string>

namespace filbertspring::placement {
namespace {

const TimerKey JobScanTimer{TimerKind::JobScan, {}};
const TimerKey ConfigurationScanTimer{TimerKind::ConfigurationScan, {}};

void setPlatformState(SchedulerCore &Core, const PlatformState &Event) {
  Core.PlatformReachable_ = Event.Reachable_;
  if (Event.Reachable_)
    retryReadsNow(Core);
  Core.markAllRacksDirty();
}

void dispatchEvent(SchedulerCore &Core, const PlacementEvent &Event) {
  std::visit(
      Overloaded{
          [&](const RowsRead &Payload) { handleRowsRead(Core, Payload); },
          [&](const ReadFailed &Payload) {
            handleReadFailed(Core, Payload.Read_);
          },
          [&](const CommitDone &Payload) { handleCommitDone(Core, Payload); },
          [&](const WorkerAnswered &Payload) { workerAnswered(Core, Payload); },
          [&](const WorkerUnreachable &Payload) {
            workerUnreachable(Core, Payload);
          },
          [&](const WorkersListed &Payload) { workersListed(Core, Payload); },
          [&](const RacksAssigned &Payload) { assignRacks(Core, Payload); },
          [&](const PlatformState &Payload) {
            setPlatformState(Core, Payload);
          },
          [&](const DrainStarted &) { Core.Draining_ = true; },
          [&](const EvictRequested &Payload) {
            requestEviction(Core, Payload);
          },
          [&](const ThrottleRequested &Payload) {
            requestThrottle(Core, Payload);
          },
          [](const Tick &) {}},
      Event);
}

bool schedulesAnyRack(const SchedulerCore &Core) {
  return std::ranges::any_of(Core.Racks_, [](const auto &Item) {
    return Item.second.Owned_ || Item.second.Assigned_;
  });
}

void scanJobs(SchedulerCore &Core) {
  if (schedulesAnyRack(Core) && Core.PlatformReachable_)
    scanRows(Core, RowKind::Job);
  Core.Timers_.set(JobScanTimer,
                   Core.Now_ + Core.Settings_.Timing_.JobScanInterval_);
}

/// Scans the configuration rows. The scan of the zones also runs while the
/// platform does not answer, to detect its return.
void scanConfiguration(SchedulerCore &Core) {
  refreshLatencyTargets(Core);
  scanRows(Core, RowKind::Zone);
  if (Core.PlatformReachable_)
    scanRows(Core, RowKind::Contract);
  Core.Timers_.set(ConfigurationScanTimer,
                   Core.Now_ +
                       Core.Settings_.Timing_.ConfigurationScanInterval_);
}

void handleJobEligible(SchedulerCore &Core, const JobId &Job) {
  JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr)
    return;
  Core.Jobs_.updateQueue(*Entry, Core.Now_);
  Core.markAllRacksDirty();
}

/// Lets quarantined workers whose quarantine is over run a trial task.
void startTrials(SchedulerCore &Core) {
  Core.Evidence_.discardExpired(Core.Now_);
  Core.markAllRacksDirty();
  if (std::optional<TimePoint> Next = Core.Evidence_.nextTrial(Core.Now_))
    Core.Timers_.set(TrialTimer, *Next);
}

void handleReadTimeout(SchedulerCore &Core, const std::string &Name) {
  constexpr int Decimal = 10;
  RequestNumber Number = std::strtoull(Name.c_str(), nullptr, Decimal);
  if (Number != UnsolicitedRead)
    handleReadFailed(Core, Number);
}

void runTimer(SchedulerCore &Core, const TimerKey &Key) {
  switch (Key.Kind_) {
  case TimerKind::JobScan:
    scanJobs(Core);
    break;
  case TimerKind::ConfigurationScan:
    scanConfiguration(Core);
    break;
  case TimerKind::Read:
    handleReadTimeout(Core, Key.Name_);
    break;
  case TimerKind::Rack:
    Core.markDirty(RackName(Key.Name_));
    break;
  case TimerKind::Worker:
    Core.DirtyWorkers_.insert(WorkerName(Key.Name_));
    break;
  case TimerKind::Job:
    handleJobEligible(Core, JobId(Key.Name_));
    break;
  case TimerKind::Trial:
    startTrials(Core);
    break;
  }
}

/// Services dirty racks and workers until none is left. This terminates, since
/// servicing either sends a request and waits for its answer or leaves no work;
/// the bound on the rounds guards against a defect in that invariant.
void processDirty(SchedulerCore &Core) {
  constexpr int MaxRounds = 64;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    std::set<WorkerName> Workers = std::exchange(Core.DirtyWorkers_, {});
    for (const WorkerName &Name : Workers)
      if (WorkerState *Worker = Core.findWorker(Name))
        serviceWorker(Core, *Worker);
    std::set<RackName> Racks = std::exchange(Core.DirtyRacks_, {});
    for (const RackName &Name : Racks)
      if (RackState *Rack = Core.findRack(Name))
        serviceRack(Core, *Rack);
    if (Core.DirtyWorkers_.empty() && Core.DirtyRacks_.empty())
      return;
  }
}

} // namespace

struct Scheduler::Impl {
  Impl(SchedulerSettings Settings, InstanceName Self, std::uint64_t Seed)
      : Core_(Settings, std::move(Self), Seed) {}

  SchedulerCore Core_;
  bool Started_ = false;
};

Scheduler::Scheduler(SchedulerSettings Settings, InstanceName Self,
                     std::uint64_t Seed)
    : Impl_(std::make_unique<Impl>(Settings, std::move(Self), Seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::handle(const PlacementEvent &Event, TimePoint Now,
                       std::vector<PlacementAction> &Out) {
  SchedulerCore &Core = Impl_->Core_;
  Core.Now_ = std::max(Core.Now_, Now);
  Core.Out_ = &Out;
  if (!std::exchange(Impl_->Started_, true)) {
    Core.Timers_.set(JobScanTimer, Core.Now_);
    Core.Timers_.set(ConfigurationScanTimer, Core.Now_);
  }
  dispatchEvent(Core, Event);
  while (std::optional<TimerKey> Due = Core.Timers_.popDue(Core.Now_))
    runTimer(Core, *Due);
  processDirty(Core);
  flushReads(Core);
  Core.Out_ = nullptr;
}

std::optional<TimePoint> Scheduler::nextWake() const {
  return Impl_->Core_.Timers_.next();
}

std::vector<TaskExplanation> Scheduler::explain(const JobId &Job) const {
  return explainJob(Impl_->Core_, Job);
}

SchedulerSnapshot Scheduler::snapshot() const {
  return snapshotOf(Impl_->Core_);
}

} // namespace filbertspring::placement
