#include "virtual_fleet.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/progress_codec.h"

namespace filbertspring::scheduling::test {
namespace {

constexpr Duration Tick = std::chrono::milliseconds(20);
constexpr Duration CallTimeout = std::chrono::milliseconds(600);
constexpr Duration CommitTimeout = std::chrono::milliseconds(900);
constexpr std::size_t MaxRows = 90;

} // namespace

/// One tenure of an instance.
struct VirtualFleet::Owner {
  Owner(SchedulerSettings Settings, TimePoint Now)
      : Scheduler_(Settings, Now), Token_(Settings.OwnerToken_) {}
  Scheduler Scheduler_;
  std::uint64_t Token_;
  bool IsGone_ = false;
  /// The zone whose workers it does not reach.
  std::string CutZone_;
  bool HasStore_ = true;
  bool IsWriting_ = false;
  TimePoint ConfirmedAt_{};
};

VirtualFleet::VirtualFleet(std::uint64_t Seed, std::size_t Workers,
                           FaultRates Faults)
    : Random_(Seed), Faults_(Faults), WorkerCount_(Workers),
      Queues_(std::make_shared<QueueTable>()) {
  for (std::size_t Index = 0; Index < Workers; ++Index) {
    WorkerEntry Entry;
    Entry.Id_ = workerId(Index);
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Entry.Id_;
    Entry.Zone_ = Index % 2 == 0 ? "zone-a" : "zone-b";
    Entry.Capacity_ = {8000, 16000, 0};
    Entry.StartedAtMs_ = 1;
    Oracle_.registered(Entry);
    double Rate = 0.98 + 0.02 * chance();
    Workers_[Entry.Id_] = std::make_unique<VirtualWorker>(
        Entry, Rate, Oracle_, [this](const TaskName &, std::uint64_t) {
          auto Work = std::chrono::milliseconds(
              200 + static_cast<std::int64_t>(chance() * 1500));
          return TaskFate{Work, chance() < Faults_.TaskFails_};
        });
  }
  takeOver(false);
  beatAll();
}

VirtualFleet::~VirtualFleet() = default;

double VirtualFleet::chance() {
  return std::uniform_real_distribution<double>(0, 1)(Random_);
}

Duration VirtualFleet::latency() {
  return std::chrono::microseconds(500 +
                                   static_cast<std::int64_t>(chance() * 4000));
}

void VirtualFleet::after(Duration Delay, std::function<void()> Act) {
  Events_.push({Now_ + Delay, NextOrder_++, std::move(Act)});
}

Scheduler &VirtualFleet::scheduler() { return Owner_->Scheduler_; }

void VirtualFleet::configure(QueueTable Queues) {
  Queues_ = std::make_shared<const QueueTable>(std::move(Queues));
  Owner_->Scheduler_.configure(Queues_);
}

void VirtualFleet::setClosedZones(std::set<std::string> Zones) {
  Owner_->Scheduler_.setClosedZones(std::move(Zones));
}

void VirtualFleet::submit(const AcceptedJob &Job) {
  const Queue *Found = Queues_->find(Job.Queue_);
  Oracle_.accepted(Job, Found ? Found->Attempts_ : 1);
  Jobs_[Job.Id_] = Job;
  Owner_->Scheduler_.addJob(Job, Now_);
}

void VirtualFleet::cancel(const std::string &Job) {
  Cancelled_.insert(Job);
  Oracle_.cancelled(Job, Now_);
  Owner_->Scheduler_.cancelJob(Job, Now_);
}

void VirtualFleet::takeOver(bool PredecessorRunsOn) {
  Predecessor_ = Owner_;
  if (Owner_ && PredecessorRunsOn)
    Owner_->HasStore_ = false;
  else if (Owner_)
    Owner_->IsGone_ = true;
  SchedulerSettings Settings;
  Settings.OwnerToken_ = ++Token_;
  Settings.Tenure_ = Token_ - 1;
  auto Of = std::make_shared<Owner>(Settings, Now_);
  Of->ConfirmedAt_ = Now_;
  Owner_ = Of;
  Of->Scheduler_.configure(Queues_);
  for (const auto &[Id, Entry] : Known_)
    Of->Scheduler_.restoreWorker(Entry, Now_);
  for (const auto &[Id, One] : Workers_)
    if (!Dead_.contains(Id))
      Of->Scheduler_.workerRegistered(One->entry(), Now_);
  for (const auto &[Id, Job] : Jobs_)
    Of->Scheduler_.addJob(Job, Now_);
  for (const auto &[Id, Text] : Progress_)
    Of->Scheduler_.restoreProgress(Id, *decodeProgress(Text));
  for (const std::string &Id : Cancelled_)
    Of->Scheduler_.cancelJob(Id, Now_);
  after(Duration::zero(), [this, Of] { tick(Of); });
}

void VirtualFleet::splitOwners() {
  takeOver(true);
  Predecessor_->CutZone_ = "zone-a";
  Owner_->CutZone_ = "zone-b";
}

void VirtualFleet::heal() {
  Cut_.clear();
  Owner_->CutZone_.clear();
  if (Predecessor_)
    Predecessor_->CutZone_.clear();
}

void VirtualFleet::crashWorker(std::size_t Index, bool Restarts) {
  std::string Id = workerId(Index);
  Workers_[Id]->crash(Now_);
  Dead_.insert(Id);
  if (!Restarts) {
    // The registration lapses.
    after(std::chrono::milliseconds(4500),
          [this, Id] { Owner_->Scheduler_.workerDeregistered(Id, Now_); });
    return;
  }
  after(std::chrono::milliseconds(1500), [this, Id] {
    Dead_.erase(Id);
    Draining_.erase(Id);
    Owner_->Scheduler_.workerRegistered(Workers_[Id]->entry(), Now_);
  });
}

void VirtualFleet::drainWorker(std::size_t Index) {
  std::string Id = workerId(Index);
  Draining_.insert(Id);
  WorkerEntry Entry = Workers_[Id]->entry();
  Entry.IsDraining_ = true;
  Owner_->Scheduler_.workerRegistered(Entry, Now_);
}

/// Workers rewrite their registrations all the time.
void VirtualFleet::beatAll() {
  for (const auto &[Id, One] : Workers_) {
    if (Dead_.contains(Id))
      continue;
    WorkerEntry Entry = One->entry();
    Entry.IsDraining_ = Draining_.contains(Id);
    if (!IsStoreDown_ && Owner_->HasStore_)
      Owner_->Scheduler_.workerRegistered(Entry, Now_);
  }
  after(std::chrono::milliseconds(1500), [this] { beatAll(); });
}

void VirtualFleet::run(Duration Time) {
  TimePoint End = Now_ + Time;
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = std::max(Now_, Next.At_);
    for (auto &[Id, One] : Workers_)
      One->advance(Now_);
    Next.Act_();
  }
  Now_ = End;
}

void VirtualFleet::tick(const std::shared_ptr<Owner> &Of) {
  if (Of->IsGone_)
    return;
  if (Of->HasStore_ && !IsStoreDown_)
    Of->ConfirmedAt_ = Now_;
  bool IsTrusted = Now_ - Of->ConfirmedAt_ < OwnerLeaseTimings().ValidFor_;
  auto WallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now_.time_since_epoch());
  Of->Scheduler_.advance(Now_, WallMs.count(), Of->ConfirmedAt_, IsTrusted);
  for (const Action &Decided : Of->Scheduler_.takeActions())
    act(Of, Decided);
  Of->Scheduler_.takeLogRecords();
  if (Of->Scheduler_.isFenced()) {
    Of->IsGone_ = true;
    return;
  }
  write(Of);
  after(Tick, [this, Of] { tick(Of); });
}

void VirtualFleet::call(
    const std::shared_ptr<Owner> &Of, const std::string &Worker, Duration Wait,
    const std::function<CallOutcome(VirtualWorker &, std::int64_t)> &Execute,
    const std::function<void(CallOutcome)> &Answered) {
  auto Answer = [this, Of, Answered](Duration Delay, CallOutcome Outcome) {
    after(Delay, [Of, Answered, Outcome] {
      if (!Of->IsGone_)
        Answered(Outcome);
    });
  };
  auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || Dead_.contains(Worker))
    return Answer(latency(), CallOutcome::NotSent);
  bool IsCut =
      Cut_.contains(Worker) || Found->second->entry().Zone_ == Of->CutZone_;
  if (IsCut)
    return Answer(CallTimeout, CallOutcome::NoAnswer);
  std::int64_t Born = Found->second->entry().StartedAtMs_;
  VirtualWorker &Target = *Found->second;
  if (chance() < Faults_.CarriedOutLate_) {
    auto Late = std::chrono::milliseconds(
        2000 + static_cast<std::int64_t>(chance() * 6000));
    after(Late, [this, Worker, Born, &Target, Execute] {
      if (!Dead_.contains(Worker))
        Execute(Target, Born);
    });
    return Answer(CallTimeout, CallOutcome::NoAnswer);
  }
  bool IsLost = chance() < Faults_.AnswerLost_;
  after(latency(),
        [this, Worker, Born, Wait, &Target, Execute, Answer, IsLost] {
          if (Dead_.contains(Worker))
            return Answer(CallTimeout, CallOutcome::NoAnswer);
          CallOutcome Outcome = Execute(Target, Born);
          if (IsLost)
            return Answer(CallTimeout, CallOutcome::NoAnswer);
          // The answer of a renewal that waits is as old as its way back only.
          Answer(latency(), Outcome);
          (void)Wait;
        });
}

void VirtualFleet::act(const std::shared_ptr<Owner> &Of,
                       const Action &Decided) {
  std::uint64_t Token = Of->Token_;
  std::visit(
      Overloaded{
          [&](const RenewLease &Renewal) {
            auto Report = std::make_shared<WorkerReport>();
            call(
                Of, Renewal.Worker_, Renewal.Wait_,
                [this, Renewal, Token, Report](VirtualWorker &Target,
                                               std::int64_t Born) {
                  return Target.renew(Renewal, Token, Born, Now_, *Report);
                },
                [this, Of, Renewal, Report](CallOutcome Outcome) {
                  if (Outcome == CallOutcome::Accepted)
                    Of->Scheduler_.renewalAnswered(Renewal.Worker_, *Report,
                                                   Now_);
                  else
                    Of->Scheduler_.renewalFailed(Renewal.Worker_, Outcome,
                                                 Now_);
                });
          },
          [&](const StartTask &Start) {
            call(
                Of, Start.Worker_, {},
                [this, Start, Token](VirtualWorker &Target, std::int64_t Born) {
                  return Target.start(Start, Token, Born, Now_);
                },
                [this, Of, Start](CallOutcome Outcome) {
                  Of->Scheduler_.startAnswered(Start.Worker_, Start.Name_,
                                               Start.Run_, Outcome, Now_);
                });
          },
          [&](const StopTask &Stop) {
            call(
                Of, Stop.Worker_, {},
                [this, Stop, Token](VirtualWorker &Target, std::int64_t Born) {
                  return Target.stop(Stop, Token, Born, Now_);
                },
                [this, Of, Stop](CallOutcome Outcome) {
                  Of->Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_,
                                              Stop.Run_, Outcome, Now_);
                });
          },
          [&](const PaceTask &Pace) {
            call(
                Of, Pace.Worker_, {},
                [this, Token](VirtualWorker &Target, std::int64_t) {
                  return Target.pace(Token, Now_);
                },
                [this, Of, Pace](CallOutcome Outcome) {
                  if (Outcome != CallOutcome::Accepted)
                    Of->Scheduler_.paceFailed(Pace.Worker_, Pace.Name_,
                                              Pace.Run_);
                });
          },
      },
      Decided);
}

void VirtualFleet::write(const std::shared_ptr<Owner> &Of) {
  if (Of->IsWriting_)
    return;
  if (Now_ - Of->ConfirmedAt_ < OwnerLeaseTimings().ValidFor_)
    Of->Scheduler_.place(Now_);
  if (!Of->Scheduler_.hasWrites())
    return;
  PendingWrites Writes = Of->Scheduler_.takeWrites(MaxRows);
  Of->IsWriting_ = true;
  auto Fail = [this, Of, Writes](Duration Delay) {
    after(Delay, [Of, Writes] {
      Of->IsWriting_ = false;
      Of->Scheduler_.writesFailed(Writes);
    });
  };
  if (!Of->HasStore_ || IsStoreDown_ || chance() < Faults_.CommitRefused_)
    return Fail(latency());
  bool IsLost = chance() < Faults_.CommitLost_;
  after(latency(), [this, Of, Writes, Fail, IsLost] {
    // The owner's row is a condition of each transaction.
    if (Of != Owner_) {
      Of->IsGone_ = true;
      return;
    }
    apply(Writes);
    if (IsLost)
      return Fail(CommitTimeout);
    after(latency(), [this, Of, Writes] {
      Of->IsWriting_ = false;
      Of->Scheduler_.writesStored(Writes, Now_);
    });
  });
}

void VirtualFleet::apply(const PendingWrites &Writes) {
  for (const auto &[Id, Progress] : Writes.Progress_)
    Progress_[Id] = encodeProgress(Progress);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    Known_[Entry.Id_] = Entry;
  for (const std::string &Id : Writes.RemovedWorkers_)
    Known_.erase(Id);
}

std::optional<JobState>
VirtualFleet::storedState(const std::string &Job) const {
  auto Found = Progress_.find(Job);
  if (Found != Progress_.end())
    return decodeProgress(Found->second)->State_;
  return Jobs_.contains(Job) ? std::optional(JobState::Queued) : std::nullopt;
}

} // namespace filbertspring::scheduling::test
