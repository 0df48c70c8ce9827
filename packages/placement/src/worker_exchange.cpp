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

bool shouldRenew(const HeldAttempt &Held) {
  return Held.State_ == HeldState::Running && Held.Stop_ != StopWish::AtOnce;
}

void addRenewal(SchedulerCore &Core, HeldAttempt &Held,
                const WorkerState &Worker, WorkerCommands &Commands) {
  const LeaseSettings &Leases = Core.Settings_.Leases_;
  Commands.Renewals_.push_back(
      {Held.Assignment_.Attempt_, leaseEnd(*Worker.Reading_, Leases)});
  TimePoint LapsesAt = surelyLapsed(*Worker.Reading_, Leases);
  Held.LapsedAt_ = std::max(Held.LapsedAt_.value_or(LapsesAt), LapsesAt);
}

void addStart(const SchedulerCore &Core, HeldAttempt &Held,
              ExchangeInFlight &Flight) {
  Flight.Commands_.Starts_.push_back(*Held.Start_);
  if (Held.LapsedAt_)
    return;
  Flight.FirstStarts_.push_back(Held.Assignment_.Attempt_);
  Held.LapsedAt_ = surelyLapsed(Held.ClaimReading_, Core.Settings_.Leases_);
}

/// Adds the commands that are due for one attempt to the exchange.
void addCommands(SchedulerCore &Core, const RackState &Rack, HeldAttempt &Held,
                 const WorkerState &Worker, ExchangeInFlight &Flight) {
  WorkerCommands &Commands = Flight.Commands_;
  const AttemptRef &Attempt = Held.Assignment_.Attempt_;
  if (Held.Stop_ != StopWish::None)
    Commands.Stops_.push_back(
        {Attempt, Held.Stop_ == StopWish::WithCheckpoint});
  if (shouldRenew(Held) && Worker.Reading_ && mayRenew(Core, Rack))
    addRenewal(Core, Held, Worker, Commands);
  if (Held.Throttle_)
    Commands.Throttles_.push_back({Attempt, *Held.Throttle_});
  if (Held.State_ == HeldState::Starting && Held.Stop_ == StopWish::None)
    addStart(Core, Held, Flight);
}

void sendExchange(SchedulerCore &Core, RackState &Rack, WorkerState &Worker) {
  ExchangeInFlight Flight;
  Flight.Number_ = Core.nextNumber();
  Flight.SentAt_ = Core.Now_;
  WorkerCommands &Commands = Flight.Commands_;
  Commands.Epoch_ = Rack.Epoch_;
  Commands.Boot_ = Worker.Boot_;
  Commands.Acknowledged_.assign(Worker.Acknowledge_.begin(),
                                Worker.Acknowledge_.end());
  for (const AttemptRef &Stray : Worker.Strays_)
    Commands.Stops_.push_back({Stray, false});
  for (auto &[Attempt, Held] : Rack.Held_)
    if (Held.Worker_ == Worker.Name_ && Held.State_ != HeldState::Over)
      addCommands(Core, Rack, Held, Worker, Flight);
  Core.act(
      SendCommands{Worker.Name_, Worker.Address_, Flight.Number_, Commands});
  Worker.InFlight_ = std::move(Flight);
}

/// Returns the time until the next periodic exchange.
Duration pollInterval(const SchedulerCore &Core, const RackState &Rack,
                      const WorkerState &Worker) {
  Duration Interval = Core.Settings_.Pace_.WorkerPoll_;
  bool Stopping = std::ranges::any_of(Rack.Held_, [&](const auto &Item) {
    const HeldAttempt &Held = Item.second;
    return Held.Worker_ == Worker.Name_ && Held.Stop_ != StopWish::None &&
           Held.State_ == HeldState::Running;
  });
  return Stopping ? Interval / StopPollDivisor : Interval;
}

void handleExchangeFailure(SchedulerCore &Core, WorkerState &Worker,
                           bool SurelyNotReceived) {
  if (SurelyNotReceived)
    for (const AttemptRef &Attempt : Worker.InFlight_->FirstStarts_)
      if (HeldAttempt *Held = Core.findHeld(Attempt))
        Held->LapsedAt_.reset();
  Worker.InFlight_.reset();
  ++Worker.Failures_;
  const PaceSettings &Pace = Core.Settings_.Pace_;
  Worker.NextExchange_ =
      Core.Now_ +
      Worker.Backoff_.fail(Pace.Backoff_, Pace.WorkerPoll_, Core.Random_);
  Core.DirtyWorkers_.insert(Worker.Name_);
}

/// Processes an answer by which the worker refused all commands of an exchange.
void handleRefusal(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
                   const WorkerReport &Report, bool BootChanged) {
  const PaceSettings &Pace = Core.Settings_.Pace_;
  if (Report.Epoch_ > Rack.Epoch_)
    wantRack(Core, Rack.Name_);
  Duration Wait = Pace.WorkerPoll_;
  if (BootChanged && Report.Epoch_ <= Rack.Epoch_)
    Wait = Duration::zero();
  Worker.NextExchange_ = Core.Now_ + Wait;
}

/// Returns when the first lease on \p Worker is certain to have lapsed.
std::optional<TimePoint> nextLapse(const RackState &Rack,
                                   const WorkerState &Worker) {
  std::optional<TimePoint> Next;
  for (const auto &[Attempt, Held] : Rack.Held_) {
    bool LeaseMayBeHeld = Held.Worker_ == Worker.Name_ &&
                          Held.State_ != HeldState::Over && Held.LapsedAt_;
    if (LeaseMayBeHeld)
      Next = std::min(Next.value_or(*Held.LapsedAt_), *Held.LapsedAt_);
  }
  return Next;
}

void setWorkerTimer(SchedulerCore &Core, const RackState &Rack,
                    const WorkerState &Worker) {
  TimePoint Next = Worker.NextExchange_;
  if (Worker.InFlight_)
    Next = Worker.InFlight_->SentAt_ + Core.Settings_.Pace_.ExchangeTimeout_;
  else if (Worker.Address_.Port_ == 0)
    Next = Core.Now_ + Core.Settings_.Pace_.WorkerPoll_;
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
                                Core.Settings_.Impossible_);
  Core.dirtyAllRacks();
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
  Worker->Reading_ = ClockReading{Report.Clock_, Core.Now_};
  Worker->Failures_ = 0;
  Worker->Backoff_.reset();
  Rack->BlockedAt_.reset();
  Core.dirty(Rack->Name_);
  if (!Event.Answer_.Obeyed_) {
    handleRefusal(Core, *Rack, *Worker, Report, BootChanged);
    return;
  }
  Worker->ObeyedEpoch_ = Rack->Epoch_;
  for (const ThrottleCommand &Throttle : Flight.Commands_.Throttles_)
    if (HeldAttempt *Held = Core.findHeld(Throttle.Attempt_))
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
    handleExchangeFailure(Core, *Worker, Event.SurelyNotReceived_);
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
    if (Elapsed >= Core.Settings_.Pace_.ExchangeTimeout_)
      handleExchangeFailure(Core, Worker, false);
  }
  bool Due = !Worker.InFlight_ && Core.Now_ >= Worker.NextExchange_;
  if (Due && Worker.Address_.Port_ != 0)
    sendExchange(Core, *Rack, Worker);
  setWorkerTimer(Core, *Rack, Worker);
}

bool hasFreshReading(const SchedulerCore &Core, const WorkerState &Worker) {
  return Worker.Reading_ && Worker.Failures_ == 0 &&
         Core.Now_ - Worker.Reading_->ReceivedAt_ <=
             Core.Settings_.Pace_.FreshReading_;
}

} // namespace filbertspring::placement
