#include "worker_exchange.h"

#include "attempt_reconcile.h"
#include "colocation_adapter.h"
#include "rack_ownership.h"
#include "table_reads.h"
#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// Divisor of the poll interval of a worker that is stopping an attempt.
constexpr std::int64_t StopPollDivisor = 4;

TimerKey timerOf(const WorkerState &Worker) {
  return {TimerKind::Worker, Worker.Name_.str()};
}

bool shouldRenew(const TrackedAttempt &Held) {
  return Held.State_ == AttemptPhase::Running &&
         Held.Stop_ != StopMode::Immediate;
}

void addRenewal(SchedulerCore &Core, TrackedAttempt &Held,
                const WorkerState &Worker, WorkerCommands &Commands) {
  const LeaseSettings &Leases = Core.Settings_.Leases_;
  Commands.Renewals_.push_back(
      {Held.Assignment_.Attempt_, leaseEnd(*Worker.LatestReading_, Leases)});
  TimePoint LapsesAt = latestLeaseExpiry(*Worker.LatestReading_, Leases);
  Held.LatestLeaseExpiry_ =
      std::max(Held.LatestLeaseExpiry_.value_or(LapsesAt), LapsesAt);
}

void addStart(const SchedulerCore &Core, TrackedAttempt &Held,
              ExchangeInFlight &Flight) {
  Flight.Commands_.Starts_.push_back(*Held.Start_);
  if (Held.LatestLeaseExpiry_)
    return;
  Flight.FirstStarts_.push_back(Held.Assignment_.Attempt_);
  Held.LatestLeaseExpiry_ =
      latestLeaseExpiry(Held.ClaimReading_, Core.Settings_.Leases_);
}

/// Adds the commands that are due for one attempt to the exchange.
void addCommands(SchedulerCore &Core, const RackState &Rack,
                 TrackedAttempt &Held, const WorkerState &Worker,
                 ExchangeInFlight &Flight) {
  WorkerCommands &Commands = Flight.Commands_;
  const AttemptRef &Attempt = Held.Assignment_.Attempt_;
  if (Held.Stop_ != StopMode::None)
    Commands.Stops_.push_back(
        {Attempt, Held.Stop_ == StopMode::WithCheckpoint});
  if (shouldRenew(Held) && Worker.LatestReading_ && mayRenew(Core, Rack))
    addRenewal(Core, Held, Worker, Commands);
  if (Held.Throttle_)
    Commands.Throttles_.push_back({Attempt, *Held.Throttle_});
  if (Held.State_ == AttemptPhase::Starting && Held.Stop_ == StopMode::None)
    addStart(Core, Held, Flight);
}

void sendExchange(SchedulerCore &Core, RackState &Rack, WorkerState &Worker) {
  ExchangeInFlight Flight;
  Flight.Number_ = Core.nextNumber();
  Flight.SentAt_ = Core.Now_;
  WorkerCommands &Commands = Flight.Commands_;
  Commands.Epoch_ = Rack.Epoch_;
  Commands.Boot_ = Worker.Boot_;
  Commands.Acknowledged_.assign(Worker.EndedUnassigned_.begin(),
                                Worker.EndedUnassigned_.end());
  for (const AttemptRef &Stray : Worker.UnassignedRunning_)
    Commands.Stops_.push_back({Stray, false});
  for (auto &[Attempt, Held] : Rack.TrackedAttempts_)
    if (Held.Worker_ == Worker.Name_ && Held.State_ != AttemptPhase::Ended)
      addCommands(Core, Rack, Held, Worker, Flight);
  Core.emit(
      SendCommands{Worker.Name_, Worker.Address_, Flight.Number_, Commands});
  Worker.InFlight_ = std::move(Flight);
}

/// Returns the time until the next periodic exchange.
Duration pollInterval(const SchedulerCore &Core, const RackState &Rack,
                      const WorkerState &Worker) {
  Duration Interval = Core.Settings_.Timing_.WorkerPollInterval_;
  bool Stopping =
      std::ranges::any_of(Rack.TrackedAttempts_, [&](const auto &Item) {
        const TrackedAttempt &Held = Item.second;
        return Held.Worker_ == Worker.Name_ && Held.Stop_ != StopMode::None &&
               Held.State_ == AttemptPhase::Running;
      });
  return Stopping ? Interval / StopPollDivisor : Interval;
}

void handleExchangeFailure(SchedulerCore &Core, WorkerState &Worker,
                           bool SurelyNotReceived) {
  if (SurelyNotReceived)
    for (const AttemptRef &Attempt : Worker.InFlight_->FirstStarts_)
      if (TrackedAttempt *Held = Core.findAttempt(Attempt))
        Held->LatestLeaseExpiry_.reset();
  Worker.InFlight_.reset();
  ++Worker.Failures_;
  const TimingSettings &Timing = Core.Settings_.Timing_;
  Worker.NextExchange_ =
      Core.Now_ + Worker.Backoff_.fail(Timing.InitialBackoff_,
                                       Timing.WorkerPollInterval_,
                                       Core.Random_);
  Core.DirtyWorkers_.insert(Worker.Name_);
}

/// Processes an answer by which the worker refused all commands of an exchange.
void handleRefusal(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
                   const WorkerReport &Report, bool BootChanged) {
  const TimingSettings &Timing = Core.Settings_.Timing_;
  if (Report.Epoch_ > Rack.Epoch_)
    requestRack(Core, Rack.Name_);
  Duration Wait = Timing.WorkerPollInterval_;
  if (BootChanged && Report.Epoch_ <= Rack.Epoch_)
    Wait = Duration::zero();
  Worker.NextExchange_ = Core.Now_ + Wait;
}

/// Returns when the first lease on \p Worker is certain to have lapsed.
std::optional<TimePoint> nextLapse(const RackState &Rack,
                                   const WorkerState &Worker) {
  std::optional<TimePoint> Next;
  for (const auto &[Attempt, Held] : Rack.TrackedAttempts_) {
    bool LeaseMayBeHeld = Held.Worker_ == Worker.Name_ &&
                          Held.State_ != AttemptPhase::Ended &&
                          Held.LatestLeaseExpiry_;
    if (LeaseMayBeHeld)
      Next = std::min(Next.value_or(*Held.LatestLeaseExpiry_),
                      *Held.LatestLeaseExpiry_);
  }
  return Next;
}

void setWorkerTimer(SchedulerCore &Core, const RackState &Rack,
                    const WorkerState &Worker) {
  TimePoint Next = Worker.NextExchange_;
  if (Worker.InFlight_)
    Next = Worker.InFlight_->SentAt_ + Core.Settings_.Timing_.ExchangeTimeout_;
  else if (Worker.Address_.Port_ == 0)
    Next = Core.Now_ + Core.Settings_.Timing_.WorkerPollInterval_;
  if (std::optional<TimePoint> Lapse = nextLapse(Rack, Worker))
    Next = std::min(Next, *Lapse);
  Core.Timers_.set(timerOf(Worker), Next);
}

/// Returns true when the row of an owned rack contains \p Worker. Such a worker
/// stays in that rack even if a list names another one.
bool inOwnedRow(SchedulerCore &Core, const WorkerState &Worker) {
  const RackState *Rack = Core.ownedRackOf(Worker);
  if (Rack == nullptr)
    return false;
  const std::vector<RackWorker> &Workers = Rack->Row_.Workers_;
  return std::ranges::find(Workers, Worker.Name_, &RackWorker::Name_) !=
         Workers.end();
}

} // namespace

void workersListed(SchedulerCore &Core, const WorkersListed &List) {
  for (const ListedInstance &Instance : List.Instances_) {
    if (Instance.Role_ != InstanceRole::Worker)
      continue;
    WorkerName Name(Instance.Name_.str());
    WorkerState &Worker = Core.Workers_[Name];
    Worker.Name_ = Name;
    bool RackChanged =
        Worker.Rack_ != Instance.Rack_ && !inOwnedRow(Core, Worker);
    if (RackChanged)
      moveToRack(Core, Worker, Instance.Rack_, Instance.Zone_);
    Worker.Address_ = Instance.Http_;
    Worker.Capacity_ = Instance.Capacity_;
    Worker.Leaving_ = Instance.State_ == InstanceState::Leaving;
    Worker.ListedAt_ = Core.Now_;
    if (RackChanged)
      Core.DirtyWorkers_.insert(Name);
  }
  Core.WorkerCapacities_.update(List.Instances_, Core.Now_,
                                Core.Settings_.Rejection_);
  Core.markAllRacksDirty();
}

void workerAnswered(SchedulerCore &Core, const WorkerAnswered &Event) {
  WorkerState *Worker = Core.findWorker(Event.Worker_);
  bool Expected = Worker != nullptr && Worker->InFlight_ &&
                  Worker->InFlight_->Number_ == Event.Exchange_;
  if (!Expected)
    return;
  ExchangeInFlight Flight = std::move(*Worker->InFlight_);
  Worker->InFlight_.reset();
  Core.DirtyWorkers_.insert(Worker->Name_);
  RackState *Rack = Core.ownedRackOf(*Worker);
  if (Rack == nullptr)
    return;
  const WorkerReport &Report = Event.Answer_.Report_;
  bool BootChanged = Report.Boot_ != Worker->Boot_;
  if (BootChanged)
    endEarlierBoots(Core, *Rack, *Worker, Report.Boot_);
  Worker->Boot_ = Report.Boot_;
  Worker->LatestReading_ = ClockReading{Report.Clock_, Core.Now_};
  Worker->Failures_ = 0;
  Worker->Backoff_.reset();
  Rack->BlockedGeneration_.reset();
  Core.markDirty(Rack->Name_);
  if (!Event.Answer_.Accepted_) {
    handleRefusal(Core, *Rack, *Worker, Report, BootChanged);
    return;
  }
  Worker->AcceptedEpoch_ = Rack->Epoch_;
  for (const ThrottleCommand &Throttle : Flight.Commands_.Throttles_)
    if (TrackedAttempt *Held = Core.findAttempt(Throttle.Attempt_))
      Held->Throttle_.reset();
  Worker->NextExchange_ = Core.Now_ + pollInterval(Core, *Rack, *Worker);
  reconcile(Core, *Rack, *Worker, Flight, Event.Answer_);
  observeServices(Core, *Rack, *Worker, Report);
}

void workerUnreachable(SchedulerCore &Core, const WorkerUnreachable &Event) {
  WorkerState *Worker = Core.findWorker(Event.Worker_);
  bool Expected = Worker != nullptr && Worker->InFlight_ &&
                  Worker->InFlight_->Number_ == Event.Exchange_;
  if (Expected)
    handleExchangeFailure(Core, *Worker, Event.NeverReceived_);
}

void serviceWorker(SchedulerCore &Core, WorkerState &Worker) {
  RackState *Rack = Core.ownedRackOf(Worker);
  if (Rack == nullptr) {
    Core.Timers_.clear(timerOf(Worker));
    return;
  }
  expireAttempts(Core, *Rack, Worker);
  if (Worker.InFlight_) {
    Duration Elapsed = Core.Now_ - Worker.InFlight_->SentAt_;
    if (Elapsed >= Core.Settings_.Timing_.ExchangeTimeout_)
      handleExchangeFailure(Core, Worker, false);
  }
  bool Due = !Worker.InFlight_ && Core.Now_ >= Worker.NextExchange_;
  if (Due && Worker.Address_.Port_ != 0)
    sendExchange(Core, *Rack, Worker);
  setWorkerTimer(Core, *Rack, Worker);
}

bool hasFreshReading(const SchedulerCore &Core, const WorkerState &Worker) {
  return Worker.LatestReading_ && Worker.Failures_ == 0 &&
         Core.Now_ - Worker.LatestReading_->ReceivedAt_ <=
             Core.Settings_.Timing_.MaxReadingAge_;
}

} // namespace filbertspring::placement
