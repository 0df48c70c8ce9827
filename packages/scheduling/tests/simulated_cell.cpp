#include "simulated_cell.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/progress_codec.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling::test {
namespace {

constexpr Duration Tick = std::chrono::milliseconds(20);
constexpr Duration CallTimeout = std::chrono::milliseconds(600);
constexpr Duration CommitTimeout = std::chrono::milliseconds(900);
constexpr std::size_t MaxRows = 90;
constexpr Resources FullCapacity{8000, 16000, 4};

} // namespace

/// An owner of the cell during one tenure.
struct SimulatedCell::Owner {
  Owner(SchedulerSettings Settings, TimePoint Now)
      : Scheduler_(Settings, Now), Token_(Settings.OwnerToken_) {}
  Scheduler Scheduler_;
  std::uint64_t Token_;
  bool IsGone_ = false;
  /// The zone whose workers this owner cannot reach.
  std::string UnreachableZone_;
  bool HasStore_ = true;
  bool IsWriting_ = false;
  TimePoint ConfirmedAt_{};
  TimePoint RowWrittenAt_{};
  /// Until when previous owners may grant leases.
  TimePoint EarlierGrantsEnd_{};
  /// By the numbers of the rows.
  TenureStarts TenureStarts_;
  TimePoint FrozenUntil_{};
};

SimulatedCell::SimulatedCell(std::uint64_t Seed, std::size_t Workers,
                             FaultRates Faults, std::size_t Racks)
    : Random_(Seed), ClockRandom_(~Seed), InitialFaults_(Faults),
      Faults_(Faults), WorkerCount_(Workers),
      Queues_(std::make_shared<QueueTable>()) {
  TailLatencies_->DrawNoise_ = [this] {
    std::normal_distribution<double> Noise(0,
                                           InterferenceModel::ReportDeviation);
    return std::exp(Noise(Random_));
  };
  for (std::size_t Index = 0; Index < Workers; ++Index) {
    WorkerEntry Entry;
    Entry.Id_ = workerId(Index);
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Entry.Id_;
    Entry.Zone_ = Index % 2 == 0 ? "zone-a" : "zone-b";
    Entry.Capacity_ = FullCapacity;
    Entry.StartedAtMs_ = 1;
    if (Racks > 0)
      Entry.Labels_ = {"rack-" + std::to_string(Index % Racks)};
    Oracle_.labelled(Entry.Id_, Entry.Labels_);
    double Rate = 0.98 + 0.02 * chance();
    Workers_[Entry.Id_] = std::make_unique<SimulatedWorker>(
        Entry, Rate, Oracle_,
        [this, Index](const TaskName &Name, std::uint64_t) {
          auto Deadly = Deadly_.find(Name.text());
          if (Deadly != Deadly_.end())
            after(latency() + Deadly->second, [this, Index, Name] {
              if (Stopped_.contains(workerId(Index)) ||
                  !Workers_.at(workerId(Index))->holds(Name.text()))
                return;
              Oracle_.crashedBy(Name);
              crashWorker(Index, true);
            });
          TaskOutcome Outcome = drawOutcome(Name, Index);
          if (Deadly != Deadly_.end())
            Outcome = {std::chrono::hours(1)};
          return Outcome;
        },
        TailLatencies_);
  }
  takeOver(OwnerEnd::Killed);
  refreshRegistrations();
}

SimulatedCell::~SimulatedCell() = default;

double SimulatedCell::chance() {
  return std::uniform_real_distribution<double>(0, 1)(Random_);
}

TaskOutcome SimulatedCell::drawOutcome(const TaskName &Name,
                                       std::size_t Worker) {
  const StepSpec &Step = Jobs_.at(Name.Job_).Spec_.Steps_[Name.Step_];
  auto Milliseconds = [this](double From, double To) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(From + chance() * (To - From)));
  };
  TaskOutcome Outcome{Milliseconds(200, 1700), chance() < Faults_.TaskFails_};
  Outcome.Fails_ |= Failing_.contains(Worker);
  if (Step.SavesProgress_) {
    Outcome.Work_ = Milliseconds(1000, 5000);
    Outcome.CheckpointInterval_ = Milliseconds(200, 600);
  }
  if (Step.IsLongRunning_ && !Outcome.Fails_)
    Outcome.Work_ = std::chrono::hours(1);
  Outcome.Load_ = {
      Step.IsFiller_,
      std::chrono::duration<double, std::milli>(Step.TailLatencyTarget_)
          .count(),
      Step.Image_, Step.Request_.MilliCpu_};
  return Outcome;
}

bool SimulatedCell::hasFault() const {
  bool IsSplit = !Owner_->UnreachableZone_.empty() ||
                 (Predecessor_ && !Predecessor_->UnreachableZone_.empty());
  return IsStoreDown_ || IsSplit || !Unreachable_.empty() ||
         Stopped_.size() > Gone_.size() || !Failing_.empty();
}

std::set<std::string> SimulatedCell::excludedWorkers() const {
  std::set<std::string> Excluded = Stopped_;
  Excluded.insert(Draining_.begin(), Draining_.end());
  for (const auto &[Id, Worker] : Workers_)
    if (ClosedZones_.contains(Worker->entry().Zone_))
      Excluded.insert(Id);
  return Excluded;
}

bool SimulatedCell::isFaulty(double Rate) {
  bool Result = chance() < Rate;
  if (Result)
    noteFault();
  return Result;
}

Duration SimulatedCell::latency() {
  return std::chrono::microseconds(500 +
                                   static_cast<std::int64_t>(chance() * 4000));
}

void SimulatedCell::after(Duration Delay, std::function<void()> Act) {
  Events_.push({Now_ + Delay, NextOrder_++, std::move(Act)});
}

Scheduler &SimulatedCell::scheduler() { return Owner_->Scheduler_; }

void SimulatedCell::configure(QueueTable Queues) {
  Queues_ = std::make_shared<const QueueTable>(std::move(Queues));
  Oracle_.configured(Queues_->Workspaces_, Now_);
  Owner_->Scheduler_.configure(Queues_);
}

void SimulatedCell::setClosedZones(std::set<std::string> Zones) {
  ClosedZones_ = std::move(Zones);
  Owner_->Scheduler_.setClosedZones(ClosedZones_);
}

void SimulatedCell::startUnknown(std::size_t Index, const AcceptedJob &Job) {
  Oracle_.accepted(Job, 1);
  Oracle_.cancelled(Job.Id_, Now_);
  Jobs_[Job.Id_] = Job;
  Cancelled_.insert(Job.Id_);
  std::string Id = workerId(Index);
  SimulatedWorker &Target = *Workers_.at(Id);
  StartTask Start;
  Start.Worker_ = Id;
  Start.Name_ = {Job.Id_, 0, 0, 0};
  Start.Run_ = 1;
  Start.Payload_ = Job.Spec_.Payload_;
  Start.DeadlineMs_ = Target.clockMs(Now_) + 1000;
  Start.Token_ = Owner_->Token_ * TokensPerTenure;
  if (!Stopped_.contains(Id))
    Target.start(Start, Start.Token_, Now_);
}

void SimulatedCell::submit(const AcceptedJob &Job) {
  const Queue *Policy = Queues_->find(Job.Queue_);
  Oracle_.accepted(Job, Policy ? Policy->Attempts_ : 1);
  Jobs_[Job.Id_] = Job;
  Owner_->Scheduler_.addJob(Job, Now_);
}

void SimulatedCell::cancel(const std::string &Job) {
  Cancelled_.insert(Job);
  Oracle_.cancelled(Job, Now_);
  Owner_->Scheduler_.cancelJob(Job, Now_);
}

void SimulatedCell::takeOver(OwnerEnd End) {
  noteFault();
  Predecessor_ = Owner_;
  bool IsOtherInstance = End == OwnerEnd::Killed || End == OwnerEnd::CutOff;
  if (Owner_ && End == OwnerEnd::CutOff)
    Owner_->HasStore_ = false;
  else if (Owner_)
    Owner_->IsGone_ = true;
  if (End == OwnerEnd::Released) {
    OwnerRecord Released = OwnerRow_;
    Released.Holder_.clear();
    storeOwnerRow(Released);
  }
  OwnerRecord Self;
  bool IsRestart = End == OwnerEnd::Restarted;
  Self.Holder_ =
      IsRestart ? OwnerRow_.Holder_ : "instance-" + std::to_string(Token_);
  Self.Nonce_ = std::to_string(Token_);
  PredecessorLeases Leases = Followed_;
  if (IsRestart) {
    Leases = PredecessorLeases(Self, Now_);
    Leases.rowRead(OwnerRow_, OwnerRowVersion_, Now_);
  }
  TimePoint GrantsEnd = Leases.grantsEnd(Now_);
  // Owners confirm their lease here more often than they write the row.
  if (IsOtherInstance && Owner_)
    GrantsEnd = std::max(GrantsEnd,
                         Owner_->ConfirmedAt_ + OwnerLeaseTimings().ValidFor_);
  Self.Tenure_ = OwnerRow_.Tenure_ + 1;
  Self.EarlierGrants_ = std::max(GrantsEnd - Now_, Duration::zero());
  Self.Notes_ = makeLeaseNotes(Leases.notedLeases(), Now_);
  Self.TenureAges_ = makeTenureAges(Leases.tenureStarts(), Now_);
  storeOwnerRow(Self);
  SchedulerSettings Settings;
  // As the owner of a cell adds it.
  constexpr Duration GrantSlack = std::chrono::milliseconds(500);
  Settings.PredecessorLeaseLimit_ =
      GrantsEnd + Settings.LeaseDuration_ + GrantSlack - Now_;
  Settings.OwnerToken_ = ++Token_;
  Settings.Tenure_ = Token_ - 1;
  Settings.MaxLease_ = MaxLease_;
  auto CellOwner = std::make_shared<Owner>(Settings, Now_);
  CellOwner->ConfirmedAt_ = Now_;
  CellOwner->RowWrittenAt_ = Now_;
  CellOwner->EarlierGrantsEnd_ = GrantsEnd;
  CellOwner->Scheduler_.restoreLeaseNotes(Leases.notedLeases());
  TenureStarts Starts;
  for (const auto &[Number, Start] : Leases.tenureStarts())
    Starts[Number - 1] = Start;
  CellOwner->Scheduler_.restoreTenureStarts(std::move(Starts));
  CellOwner->TenureStarts_ = Leases.tenureStarts();
  CellOwner->TenureStarts_[Self.Tenure_] = Now_;
  Owner_ = CellOwner;
  CellOwner->Scheduler_.configure(Queues_);
  CellOwner->Scheduler_.setClosedZones(ClosedZones_);
  for (const auto &[Id, Entry] : StoredWorkers_)
    CellOwner->Scheduler_.restoreWorker(Entry, Now_);
  for (const auto &[Id, Entry] : Registrations_)
    if (!Stopped_.contains(Id))
      CellOwner->Scheduler_.workerRegistered(Entry, Now_);
  for (const auto &[Id, Job] : Jobs_)
    CellOwner->Scheduler_.addJob(Job, Now_);
  for (const auto &[Id, Progress] : storedProgress())
    CellOwner->Scheduler_.restoreProgress(Id, Progress);
  for (const auto &[Number, Text] : Journal_)
    CellOwner->Scheduler_.restoreJournalRow({Number, *decodeJournal(Text)});
  for (const std::string &Id : Cancelled_)
    CellOwner->Scheduler_.cancelJob(Id, Now_);
  after(Duration::zero(), [this, CellOwner] { tick(CellOwner); });
}

void SimulatedCell::storeOwnerRow(const OwnerRecord &Record) {
  OwnerRow_ = decodeOwnerRecord(encodeOwnerRecord(Record));
  Followed_.rowRead(OwnerRow_, ++OwnerRowVersion_, Now_);
}

void SimulatedCell::writeOwnerRow(Owner &CellOwner) {
  Scheduler &TheScheduler = CellOwner.Scheduler_;
  bool IsDue =
      Now_ - CellOwner.RowWrittenAt_ >= OwnerLeaseTimings().RenewalInterval_;
  if (!IsDue && !TheScheduler.mustUpdateLeaseNotes(Now_, true))
    return;
  OwnerRecord Record = OwnerRow_;
  Record.Notes_ = TheScheduler.noteLeases(Now_, true);
  Record.TenureAges_ = makeTenureAges(CellOwner.TenureStarts_, Now_);
  TimePoint GrantsEnd =
      std::min(CellOwner.EarlierGrantsEnd_, TheScheduler.earlierGrantsEnd());
  Record.EarlierGrants_ = std::max(GrantsEnd - Now_, Duration::zero());
  storeOwnerRow(Record);
  CellOwner.RowWrittenAt_ = Now_;
  TheScheduler.leaseNotesStored(Record.Notes_, Now_);
}

void SimulatedCell::freezeOwner(Duration Time) {
  noteFault();
  Owner_->FrozenUntil_ = Now_ + Time;
}

void SimulatedCell::afterStandstill(const std::shared_ptr<Owner> &CellOwner,
                                    Duration Delay, std::function<void()> Act) {
  after(Delay, [this, CellOwner, Act = std::move(Act)] {
    if (Now_ >= CellOwner->FrozenUntil_)
      return Act();
    noteFault();
    afterStandstill(CellOwner, CellOwner->FrozenUntil_ - Now_, Act);
  });
}

void SimulatedCell::splitOwners() {
  takeOver(OwnerEnd::CutOff);
  Predecessor_->UnreachableZone_ = "zone-a";
  Owner_->UnreachableZone_ = "zone-b";
}

void SimulatedCell::cutOwner() {
  noteFault();
  Owner_->HasStore_ = false;
  Owner_->UnreachableZone_ = "zone-a";
}

void SimulatedCell::takeOverInPartition(OwnerEnd End) {
  std::string Zone = Owner_->UnreachableZone_;
  takeOver(End);
  Owner_->UnreachableZone_ = Zone;
}

void SimulatedCell::restoreNetwork() {
  Unreachable_.clear();
  Owner_->UnreachableZone_.clear();
  if (Predecessor_)
    Predecessor_->UnreachableZone_.clear();
}

void SimulatedCell::crashWorker(std::size_t Index, bool Restarts) {
  std::string Id = workerId(Index);
  if (!Restarts)
    Oracle_.leaving(Id, Now_);
  // Clocks of incarnations begin at any time.
  std::uniform_int_distribution<std::int64_t> ClockMs(0, 600'000);
  Workers_[Id]->crash(Now_, ClockMs(ClockRandom_));
  Stopped_.insert(Id);
  if (!Restarts) {
    noteFault();
    Gone_.insert(Id);
    // The registration expires.
    after(std::chrono::milliseconds(4500),
          [this, Id] { Owner_->Scheduler_.workerDeregistered(Id, Now_); });
    return;
  }
  after(RestartTime_, [this, Id] {
    Stopped_.erase(Id);
    Draining_.erase(Id);
    if (RegistrationDelay_ == Duration::zero())
      return registerWorker(Id);
    Duration Delay =
        std::chrono::duration_cast<Duration>(RegistrationDelay_ * chance());
    after(Delay, [this, Id] {
      if (!Stopped_.contains(Id))
        registerWorker(Id);
    });
  });
}

void SimulatedCell::drainWorker(std::size_t Index) {
  std::string Id = workerId(Index);
  Draining_.insert(Id);
  registerWorker(Id);
}

void SimulatedCell::restartAsPlanned(std::size_t Index, Duration DrainTime) {
  drainWorker(Index);
  after(DrainTime, [this, Index] {
    if (!isDown(Index))
      crashWorker(Index, true);
  });
}

void SimulatedCell::leave(std::size_t Index) {
  std::string Id = workerId(Index);
  Oracle_.leaving(Id, Now_);
  Workers_[Id]->crash(Now_);
  Stopped_.insert(Id);
  Gone_.insert(Id);
  Owner_->Scheduler_.workerDeregistered(Id, Now_);
}

void SimulatedCell::resizeWorker(std::size_t Index, double Share) {
  auto ShareOf = [Share](std::int64_t Amount) {
    return static_cast<std::int64_t>(static_cast<double>(Amount) * Share);
  };
  Workers_[workerId(Index)]->setCapacity({ShareOf(FullCapacity.MilliCpu_),
                                          ShareOf(FullCapacity.MemoryMb_),
                                          ShareOf(FullCapacity.Accelerators_)});
}

/// Stores the registration of a running worker, and delivers it to the owner.
/// The one before may be delivered again after it.
void SimulatedCell::registerWorker(const std::string &Id) {
  WorkerEntry Entry = Workers_[Id]->registerAgain();
  Entry.IsDraining_ = Draining_.contains(Id);
  if (IsStoreDown_ || !Owner_->HasStore_)
    return;
  WorkerEntry Previous = std::exchange(Registrations_[Id], Entry);
  Oracle_.registered(Id, Entry.Capacity_, Now_);
  Owner_->Scheduler_.workerRegistered(Entry, Now_);
  if (!Previous.Id_.empty() && chance() < Faults_.RegistrationRepeated_)
    after(latency(), [this, Previous] {
      Owner_->Scheduler_.workerRegistered(Previous, Now_);
    });
}

/// Renews the registrations of all running workers at regular intervals.
void SimulatedCell::refreshRegistrations() {
  for (const auto &[Id, Worker] : Workers_)
    if (!Stopped_.contains(Id))
      registerWorker(Id);
  after(std::chrono::milliseconds(1500), [this] { refreshRegistrations(); });
}

void SimulatedCell::run(Duration Time) {
  TimePoint End = Now_ + Time;
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = std::max(Now_, Next.At_);
    for (auto &[Id, Worker] : Workers_)
      Worker->advance(Now_);
    Next.Act_();
  }
  Now_ = End;
}

void SimulatedCell::tick(const std::shared_ptr<Owner> &CellOwner) {
  if (CellOwner->IsGone_)
    return;
  if (Now_ < CellOwner->FrozenUntil_) {
    noteFault();
    // Timers run after the sockets are read.
    return after(CellOwner->FrozenUntil_ - Now_ + std::chrono::milliseconds(1),
                 [this, CellOwner] { tick(CellOwner); });
  }
  if (CellOwner->HasStore_ && !IsStoreDown_) {
    CellOwner->ConfirmedAt_ = Now_;
    if (CellOwner == Owner_)
      writeOwnerRow(*CellOwner);
  }
  bool IsTrusted =
      Now_ - CellOwner->ConfirmedAt_ < OwnerLeaseTimings().ValidFor_;
  auto WallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now_.time_since_epoch());
  CellOwner->Scheduler_.advance(Now_, WallMs.count(), CellOwner->ConfirmedAt_,
                                IsTrusted);
  for (const Action &NextAction : CellOwner->Scheduler_.takeActions())
    execute(CellOwner, NextAction);
  for (const LogRecord &Record : CellOwner->Scheduler_.takeLogRecords())
    noteObstacles(Record);
  if (CellOwner->Scheduler_.isFenced()) {
    CellOwner->IsGone_ = true;
    return;
  }
  write(CellOwner);
  if (hasFault())
    noteFault();
  Oracle_.excluded(excludedWorkers());
  Oracle_.calm(FaultAt_, Now_);
  for (const auto &[Id, Worker] : Workers_)
    if (std::optional<TimePoint> Since = Worker->harmedSince())
      Oracle_.harmed(Id, *Since, FaultAt_, Now_);
  explainViolations();
  after(Tick, [this, CellOwner] { tick(CellOwner); });
}

void SimulatedCell::call(
    const std::shared_ptr<Owner> &CellOwner, const std::string &Worker,
    Duration Wait, TimePoint SendBefore,
    const std::function<CallOutcome(SimulatedWorker &)> &Execute,
    const std::function<void(CallOutcome)> &Answered) {
  auto Send = [this, CellOwner, Worker, Wait, SendBefore, Execute, Answered] {
    if (Now_ < SendBefore)
      write(CellOwner, Worker, Wait, Execute, Answered);
    else
      after(Duration::zero(), [Answered] { Answered(CallOutcome::Expired); });
  };
  if (SendingTime_ == Duration::zero())
    return Send();
  afterStandstill(CellOwner, SendingTime_, Send);
}

void SimulatedCell::write(
    const std::shared_ptr<Owner> &CellOwner, const std::string &Worker,
    Duration Wait, const std::function<CallOutcome(SimulatedWorker &)> &Execute,
    const std::function<void(CallOutcome)> &Answered) {
  auto Answer = [this, CellOwner, Answered](Duration Delay,
                                            CallOutcome Outcome) {
    afterStandstill(CellOwner, Delay, [CellOwner, Answered, Outcome] {
      if (!CellOwner->IsGone_)
        Answered(Outcome);
    });
  };
  auto It = Workers_.find(Worker);
  if (It != Workers_.end() && Stopped_.contains(Worker) &&
      isFaulty(Faults_.ExecutedAfterRestart_)) {
    after(std::chrono::duration_cast<Duration>(chance() *
                                               Faults_.LatestAfterRestart_),
          [this, Worker, &Target = *It->second, Execute] {
            if (!Stopped_.contains(Worker))
              Execute(Target);
          });
    return Answer(CallTimeout, CallOutcome::NoAnswer);
  }
  if (It == Workers_.end() || Stopped_.contains(Worker))
    return LosesPower_ ? Answer(CallTimeout, CallOutcome::NoAnswer)
                       : Answer(latency(), CallOutcome::NotSent);
  bool IsIsolated = Unreachable_.contains(Worker) ||
                    It->second->entry().Zone_ == CellOwner->UnreachableZone_;
  if (IsIsolated)
    return Answer(CallTimeout, CallOutcome::NoAnswer);
  std::int64_t Born = It->second->entry().StartedAtMs_;
  SimulatedWorker &Target = *It->second;
  if (isFaulty(Faults_.DelayedExecution_)) {
    constexpr Duration Earliest = std::chrono::seconds(2);
    Duration Late =
        Earliest + std::chrono::duration_cast<Duration>(
                       chance() * (Faults_.LatestExecution_ - Earliest));
    after(Late, [this, Worker, Born, &Target, Execute] {
      noteFault();
      if (!Stopped_.contains(Worker))
        Execute(Target);
    });
    return Answer(CallTimeout, CallOutcome::NoAnswer);
  }
  bool IsLost = isFaulty(Faults_.AnswerLost_);
  after(latency(),
        [this, Worker, Born, Wait, &Target, Execute, Answer, IsLost] {
          if (Stopped_.contains(Worker))
            return Answer(CallTimeout, CallOutcome::NoAnswer);
          CallOutcome Outcome = Execute(Target);
          if (IsLost)
            return Answer(CallTimeout, CallOutcome::NoAnswer);
          if (!HasReportWaits_ || Wait == Duration::zero() ||
              Outcome != CallOutcome::Accepted)
            return Answer(latency(), Outcome);
          waitForEnd(Worker, Born, Now_ + Wait,
                     [this, Born, &Target, Execute, Answer](bool IsAlive) {
                       Answer(latency(), IsAlive ? Execute(Target)
                                                 : CallOutcome::NoAnswer);
                     });
        });
}

void SimulatedCell::waitForEnd(
    const std::string &Worker, std::int64_t Born, TimePoint Until,
    const std::function<void(bool IsAlive)> &Answer) {
  bool IsAlive = !Stopped_.contains(Worker) &&
                 Workers_.at(Worker)->entry().StartedAtMs_ == Born;
  if (!IsAlive || Now_ >= Until || Workers_.at(Worker)->hasEnds())
    return Answer(IsAlive);
  after(Tick, [this, Worker, Born, Until, Answer] {
    waitForEnd(Worker, Born, Until, Answer);
  });
}

void SimulatedCell::execute(const std::shared_ptr<Owner> &CellOwner,
                            const Action &NextAction) {
  OwnerLeaseTimings Times;
  TimePoint SendBefore =
      sendingLimit(NextAction, {CellOwner->ConfirmedAt_ + Times.TakeoverAfter_,
                                CellOwner->ConfirmedAt_ + Times.ValidFor_});
  std::visit(
      Overloaded{
          [&](const RenewLease &Renewal) {
            auto Report = std::make_shared<WorkerReport>();
            call(
                CellOwner, Renewal.Worker_, Renewal.Wait_, SendBefore,
                [this, Renewal, Report](SimulatedWorker &Target) {
                  return Target.renew(Renewal, Renewal.Token_, Now_, *Report);
                },
                [this, CellOwner, Renewal, Report](CallOutcome Outcome) {
                  if (Outcome != CallOutcome::Accepted)
                    return CellOwner->Scheduler_.renewalFailed(Renewal, Outcome,
                                                               Now_);
                  Oracle_.reported(CellOwner->Token_, *Report);
                  CellOwner->Scheduler_.renewalAnswered(Renewal, *Report, Now_);
                });
          },
          [&](const StartTask &Start) {
            auto ClockMs = std::make_shared<std::int64_t>();
            call(
                CellOwner, Start.Worker_, {}, SendBefore,
                [this, Start, ClockMs](SimulatedWorker &Target) {
                  *ClockMs = Target.clockMs(Now_);
                  return Target.start(Start, Start.Token_, Now_);
                },
                [this, CellOwner, Start, ClockMs](CallOutcome Outcome) {
                  CellOwner->Scheduler_.startAnswered(Start.Worker_,
                                                      Start.Name_, Start.Run_,
                                                      Outcome, Now_, *ClockMs);
                });
          },
          [&](const StopTask &Stop) {
            call(
                CellOwner, Stop.Worker_, {}, SendBefore,
                [this, Stop](SimulatedWorker &Target) {
                  return Target.stop(Stop, Stop.Token_, Now_);
                },
                [this, CellOwner, Stop](CallOutcome Outcome) {
                  CellOwner->Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_,
                                                     Stop.Run_, Outcome, Now_);
                });
          },
          [&](const PaceTask &Pace) {
            call(
                CellOwner, Pace.Worker_, {}, SendBefore,
                [this, Pace](SimulatedWorker &Target) {
                  return Target.pace(Pace, Pace.Token_, Now_);
                },
                [this, CellOwner, Pace](CallOutcome Outcome) {
                  if (Outcome != CallOutcome::Accepted)
                    CellOwner->Scheduler_.paceFailed(Pace.Worker_, Pace.Name_,
                                                     Pace.Run_);
                });
          },
      },
      NextAction);
}

void SimulatedCell::write(const std::shared_ptr<Owner> &CellOwner) {
  if (CellOwner->IsWriting_)
    return;
  if (Now_ - CellOwner->ConfirmedAt_ < OwnerLeaseTimings().ValidFor_)
    CellOwner->Scheduler_.place(Now_);
  if (!CellOwner->Scheduler_.hasWrites())
    return;
  PendingWrites Writes = CellOwner->Scheduler_.takeWrites(MaxRows);
  CellOwner->IsWriting_ = true;
  auto Fail = [this, CellOwner, Writes](Duration Delay) {
    afterStandstill(CellOwner, Delay, [CellOwner, Writes] {
      CellOwner->IsWriting_ = false;
      CellOwner->Scheduler_.writesFailed(Writes);
    });
  };
  if (!CellOwner->HasStore_ || IsStoreDown_ || isFaulty(Faults_.CommitRefused_))
    return Fail(latency());
  bool IsLost = isFaulty(Faults_.CommitLost_);
  after(latency(), [this, CellOwner, Writes, Fail, IsLost] {
    // Each transaction is conditional on the row of the owner lease.
    if (CellOwner != Owner_) {
      CellOwner->IsGone_ = true;
      return;
    }
    apply(Writes);
    if (IsLost)
      return Fail(CommitTimeout);
    afterStandstill(CellOwner, latency(), [this, CellOwner, Writes] {
      CellOwner->IsWriting_ = false;
      CellOwner->Scheduler_.writesStored(Writes, Now_);
    });
  });
}

} // namespace filbertspring::scheduling::test
