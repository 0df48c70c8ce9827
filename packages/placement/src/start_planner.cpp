#include "start_planner.h"

#include "colocation_adapter.h"
#include "grant_planner.h"
#include "room_reservations.h"
#include "worker_exchange.h"

#include "filbertspring/placement/worker_choice.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

using Starts = std::map<AttemptRef, TrackedAttempt>;

/// Selects the tasks that one transaction claims for one rack.
class ClaimPlanner {
public:
  ClaimPlanner(SchedulerCore &Core, RackState &Rack, RackDraft &Draft)
      : Core_(Core), Rack_(Rack), Draft_(Draft),
        Reservations_(Core, Rack, Workers_, Draft) {}

  Starts run() {
    collectWorkers();
    // Urgent tasks may use the room that is reserved for others.
    for (bool Urgent : {true, false}) {
      Reservations_.withhold(Urgent);
      claimTasks(Urgent);
    }
    if (Starts_.empty())
      Rack_.BlockedGeneration_ = Core_.Jobs_.generation();
    return std::move(Starts_);
  }

private:
  bool commitIsFull() const {
    return Starts_.size() >= Core_.Settings_.Batch_.MaxStartsPerCommit_;
  }

  /// Collects the usable workers of the rack: those with a fresh clock reading,
  /// and those that must report before a claim may use them.
  void collectWorkers() {
    std::vector<const RackWorker *> Usable;
    for (const RackWorker &Row : Draft_.rack().record().Workers_)
      if (isUsable(Row))
        Usable.push_back(&Row);
    auto Quarantined = static_cast<std::size_t>(
        std::ranges::count_if(Usable, [this](const RackWorker *Row) {
          return Core_.Evidence_.allowance(Row->Name_, Core_.Now_) == 0;
        }));
    bool MostAreSuspect = 2 * Quarantined > Usable.size();
    for (const RackWorker *Row : Usable) {
      bool HasFreshReading =
          hasFreshReading(Core_, *Core_.findWorker(Row->Name_));
      std::size_t Allowed =
          MostAreSuspect
              ? Core_.Evidence_.allowanceAmongSuspects(Row->Name_, Core_.Now_)
              : Core_.Evidence_.allowance(Row->Name_, Core_.Now_);
      (HasFreshReading ? Workers_.Fresh_ : Workers_.Stale_)
          .push_back({Row->Name_, Row->Capacity_, Row->free(),
                      remainingAllowance(*Row, Allowed)});
      TotalCapacity_ += Row->Capacity_;
    }
  }

  bool isUsable(const RackWorker &Row) const {
    const WorkerState *Worker = Core_.findWorker(Row.Name_);
    return Worker != nullptr && Worker->ListedAt_ && !Worker->Leaving_ &&
           Worker->Failures_ == 0 && Worker->AcceptedEpoch_ == Rack_.Epoch_;
  }

  /// Returns how many more attempts \p Worker may be assigned.
  std::size_t remainingAllowance(const RackWorker &Worker,
                                 std::size_t Allowed) const {
    if (Allowed == UnboundedAllowance)
      return Allowed;
    auto Counted = static_cast<std::size_t>(std::ranges::count_if(
        Worker.Assignments_, [this](const Assignment &Entry) {
          const TrackedAttempt *Held = Core_.findAttempt(Entry.Attempt_);
          bool Proved = Held != nullptr && Held->RunningSince_ &&
                        Core_.Evidence_.hasProvedItself(Core_.Now_ -
                                                        *Held->RunningSince_);
          return !Proved;
        }));
    return Allowed - std::min(Allowed, Counted);
  }

  void claimTasks(bool Urgent) {
    for (const ContractName &Contract : Core_.Jobs_.contractsByShare(Urgent)) {
      if (ContractsWithoutQuota_.contains(Contract))
        continue;
      Contracts_.push_back({Contract, {}, 0});
      Contracts_.back().Jobs_ = Core_.Jobs_.candidates(
          Contract, Urgent, Core_.Settings_.Batch_.MaxSkipsPerContract_);
      addJobsWithReservations(Contracts_.back(), Urgent);
    }
    while (!Contracts_.empty() && !commitIsFull())
      tryNextJob(leastShareContract());
    Contracts_.clear();
  }

  /// The jobs of one contract that are candidates in this transaction.
  struct ContractCandidates {
    ContractName Contract_;
    std::vector<JobId> Jobs_;
    std::size_t NextJob_ = 0;
  };

  void addJobsWithReservations(ContractCandidates &Candidates, bool Urgent) {
    for (const JobId &Job :
         Reservations_.jobsOf(Candidates.Contract_, Urgent)) {
      bool Listed =
          std::ranges::find(Candidates.Jobs_, Job) != Candidates.Jobs_.end();
      if (!Listed)
        Candidates.Jobs_.insert(Candidates.Jobs_.begin(), Job);
    }
  }

  std::size_t leastShareContract() const {
    auto Least = std::ranges::min_element(
        Contracts_, {}, [this](const ContractCandidates &Candidates) {
          return Core_.Jobs_.shareOf(Candidates.Contract_);
        });
    return static_cast<std::size_t>(Least - Contracts_.begin());
  }

  /// Tries to claim one task of the next job of a contract. Removes the
  /// contract when no jobs are left.
  void tryNextJob(std::size_t Position) {
    ContractCandidates &Candidates = Contracts_[Position];
    if (Candidates.NextJob_ >= Candidates.Jobs_.size()) {
      if (!Candidates.Jobs_.empty())
        Core_.Jobs_.moveCursorBehind(Candidates.Jobs_.back());
      Contracts_.erase(Contracts_.begin() +
                       static_cast<std::ptrdiff_t>(Position));
      return;
    }
    JobEntry *Entry = Core_.Jobs_.find(Candidates.Jobs_[Candidates.NextJob_]);
    Reservations_.release(Entry->Record_);
    std::optional<WaitReason> Obstacle = tryTask(*Entry);
    if (!Obstacle)
      return;
    notePassedOver(*Entry, *Obstacle);
    Entry->LastWaitReason_ = *Obstacle;
    ++Candidates.NextJob_;
    if (needsRestOfQuota(*Entry))
      keepQuota(Candidates);
  }

  /// Returns true when the quota that is left is kept for a task of the job.
  bool needsRestOfQuota(const JobEntry &Entry) const {
    const TimingSettings &Timing = Core_.Settings_.Timing_;
    return Entry.QuotaUsedAt_ && hasWaitedLong(Core_, Entry) &&
           Core_.Now_ - *Entry.QuotaUsedAt_ <= 2 * Timing.WorkerPollInterval_;
  }

  /// Lets the other jobs of the contract wait, those of lower urgency too.
  void keepQuota(ContractCandidates &Candidates) {
    for (; Candidates.NextJob_ < Candidates.Jobs_.size(); ++Candidates.NextJob_)
      Core_.Jobs_.find(Candidates.Jobs_[Candidates.NextJob_])->LastWaitReason_ =
          WaitReason::QuotaUsed;
    ContractsWithoutQuota_.insert(Candidates.Contract_);
  }

  /// Reserves room for a task that waits for room, or has it and waits for a
  /// grant.
  void notePassedOver(JobEntry &Entry, WaitReason Obstacle) {
    bool WaitsForRoom = Obstacle == WaitReason::NoRoom ||
                        Obstacle == WaitReason::WorkersOnTrial ||
                        Obstacle == WaitReason::NoFreshWorker;
    bool WaitsForGrant = Obstacle == WaitReason::CommitUnderWay;
    bool HasClaimed = LastClaimedTask_.contains(Entry.Record_.Id_);
    bool WaitsForQuota = Obstacle == WaitReason::QuotaUsed;
    if (HasClaimed)
      return;
    if ((WaitsForRoom || WaitsForQuota) && !Entry.PassedOverSince_)
      Entry.PassedOverSince_ = Core_.Now_;
    if (WaitsForQuota)
      Entry.QuotaUsedAt_ = Core_.Now_;
    if (WaitsForRoom || WaitsForGrant)
      Reservations_.reserve(Entry);
  }

  /// Claims the next waiting task of the job. Returns the reason on failure.
  std::optional<WaitReason> tryTask(JobEntry &Entry) {
    std::optional<std::int32_t> Index = nextTask(Entry);
    if (!Index)
      return WaitReason::CommitUnderWay;
    if (std::optional<WaitReason> Obstacle =
            checkContractAndZone(Entry.Record_))
      return Obstacle;
    const JobRecord &Record = Entry.Record_;
    std::optional<std::size_t> Chosen = chooseWorker(
        Workers_.Fresh_, Record.Size_, [&](const WorkerCandidate &Worker) {
          return admitsBesideServices(Core_, Worker, Record);
        });
    if (!Chosen)
      return reasonForNoWorker(Record.Size_);
    if (auto Obstacle = ensureGrant(Core_, Entry.Record_.Contract_,
                                    Entry.Record_.Size_, Draft_))
      return Obstacle;
    return claim(Entry, *Index, Workers_.Fresh_[*Chosen]);
  }

  std::optional<std::int32_t> nextTask(const JobEntry &Entry) {
    auto LastClaimed = LastClaimedTask_.find(Entry.Record_.Id_);
    auto Next =
        LastClaimed == LastClaimedTask_.end()
            ? Entry.WaitingTaskIndexes_.begin()
            : Entry.WaitingTaskIndexes_.upper_bound(LastClaimed->second);
    if (Next == Entry.WaitingTaskIndexes_.end())
      return std::nullopt;
    return *Next;
  }

  std::optional<WaitReason> checkContractAndZone(const JobRecord &Job) {
    const auto *Contract = findRow(Core_.Table_.Contracts_, Job.Contract_);
    if (Contract == nullptr || Contract->Value_.Removed_)
      return WaitReason::ContractUnknown;
    bool JobAllows =
        Job.Zones_.empty() ||
        std::ranges::find(Job.Zones_, Rack_.Zone_) != Job.Zones_.end();
    if (!JobAllows || !Contract->Value_.Terms_.allowsZone(Rack_.Zone_))
      return WaitReason::ZoneNotAllowed;
    const auto *Zone = findRow(Core_.Table_.Zones_, Rack_.Zone_);
    if (Zone == nullptr || !Zone->Value_.inService())
      return WaitReason::ZoneOutOfService;
    if (!Core_.Ramps_[Rack_.Zone_].mayStart(Core_.Now_, Core_.Settings_.Drain_))
      return WaitReason::ZoneReturning;
    return std::nullopt;
  }

  /// Returns the reason why no worker was chosen.
  WaitReason reasonForNoWorker(const Resources &Size) {
    if (chooseWorker(Workers_.Fresh_, Size))
      return WaitReason::SlowsService;
    return requestFreshReport(Size);
  }

  /// Requests a report of a worker with room, so that a later transaction can
  /// use the worker.
  WaitReason requestFreshReport(const Resources &Size) {
    std::optional<std::size_t> Chosen = chooseWorker(Workers_.Stale_, Size);
    if (!Chosen)
      return hasRoomOnTrial(Size) ? WaitReason::WorkersOnTrial
                                  : WaitReason::NoRoom;
    WorkerState &Worker = *Core_.findWorker(Workers_.Stale_[*Chosen].Name_);
    if (!Worker.InFlight_)
      Core_.scheduleExchangeNow(Worker);
    return WaitReason::NoFreshWorker;
  }

  /// Returns true when a worker has room whose allowance is used up.
  bool hasRoomOnTrial(const Resources &Size) const {
    auto HasRoom = [&Size](const WorkerCandidate &Worker) {
      return Worker.Allowance_ == 0 && Size.fitsIn(Worker.Free_);
    };
    return std::ranges::any_of(Workers_.Fresh_, HasRoom) ||
           std::ranges::any_of(Workers_.Stale_, HasRoom);
  }

  std::optional<WaitReason> claim(JobEntry &Entry, std::int32_t Index,
                                  WorkerCandidate &Chosen) {
    const JobRecord &Record = Entry.Record_;
    Result<Job *> DraftJob = Draft_.job(Record, Entry.Version_);
    if (!DraftJob)
      return WaitReason::NotConsidered;
    Placement Target{Rack_.Zone_, Rack_.Name_, Chosen.Name_};
    TaskRef Task{Record.Id_, Index};
    std::int32_t Attempt = Record.Tasks_[Index].Attempt_ + 1;
    Assignment Claim{{Task, Attempt}, Record.Contract_, Record.Size_};
    // The rack rejects the claim while an earlier attempt of the task is still
    // assigned.
    if (!Draft_.rack().claim(Chosen.Name_, Claim))
      return WaitReason::NoRoom;
    (void)(*DraftJob)->claim(Index, Target); // Cannot fail for a waiting task.
    addGuards(Record.Contract_);
    Starts_[Claim.Attempt_] = makeStart(Entry, Claim, Chosen.Name_);
    LastClaimedTask_[Record.Id_] = Index;
    Chosen.Free_ -= Record.Size_;
    addPlacement(Core_, Chosen, Record);
    if (Chosen.Allowance_ != UnboundedAllowance)
      --Chosen.Allowance_;
    chargeClaim(Record);
    return std::nullopt;
  }

  void addGuards(const ContractName &Contract) {
    const auto *Terms = findRow(Core_.Table_.Contracts_, Contract);
    const auto *Zone = findRow(Core_.Table_.Zones_, Rack_.Zone_);
    Draft_.guard({RowKind::Contract, Contract.str()}, Terms->Version_);
    Draft_.guard({RowKind::Zone, Rack_.Zone_.str()}, Zone->Version_);
    Draft_.touch();
  }

  TrackedAttempt makeStart(const JobEntry &Entry, const Assignment &Claim,
                           const WorkerName &Name) const {
    const WorkerState &Worker = *Core_.findWorker(Name);
    const JobRecord &Record = Entry.Record_;
    const LeaseSettings &Leases = Core_.Settings_.Leases_;
    TrackedAttempt Held;
    Held.Assignment_ = Claim;
    Held.Worker_ = Name;
    Held.State_ = AttemptPhase::Starting;
    Held.Boot_ = Worker.Boot_;
    Held.ClaimReading_ = *Worker.LatestReading_;
    Held.DeclaredRunTime_ = Record.DeclaredRunTime_;
    const Task &ClaimedTask = Record.Tasks_[Claim.Attempt_.Task_.Index_];
    Held.Checkpoint_ = ClaimedTask.Checkpoint_;
    Held.Start_ = StartCommand{Claim.Attempt_,
                               Record.Contract_,
                               Record.Kind_,
                               Record.Size_,
                               Record.DeclaredRunTime_,
                               ClaimedTask.Checkpoint_,
                               Record.Payload_,
                               startDeadline(Held.ClaimReading_, Leases),
                               leaseEnd(Held.ClaimReading_, Leases)};
    return Held;
  }

  /// Charges the claim to the share of its contract and to the ramp limit of
  /// its zone.
  void chargeClaim(const JobRecord &Job) {
    auto Share = [](std::int64_t Part, std::int64_t Whole) {
      return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                       : 0.0;
    };
    double DominantShare = std::max(
        {Share(Job.Size_.Cpu_.count(), TotalCapacity_.Cpu_.count()),
         Share(Job.Size_.Memory_.count(), TotalCapacity_.Memory_.count()),
         Share(Job.Size_.Accelerators_.count(),
               TotalCapacity_.Accelerators_.count())});
    const auto *Contract = findRow(Core_.Table_.Contracts_, Job.Contract_);
    std::int32_t Weight = std::max(1, Contract->Value_.Terms_.Weight_);
    Core_.Jobs_.addShare(Job.Contract_, DominantShare / Weight);
    Core_.Ramps_[Rack_.Zone_].countStart();
    Rack_.LastClaim_[Job.Contract_] = Core_.Now_;
  }

  SchedulerCore &Core_;
  RackState &Rack_;
  RackDraft &Draft_;
  RackCandidates Workers_;
  RoomReservations Reservations_;
  Resources TotalCapacity_;
  std::vector<ContractCandidates> Contracts_;
  /// Contracts whose quota is kept for a task that has waited long.
  std::set<ContractName> ContractsWithoutQuota_;
  /// Index of the last claimed task by job.
  std::map<JobId, std::int32_t> LastClaimedTask_;
  Starts Starts_;
};

} // namespace

std::map<AttemptRef, TrackedAttempt>
planStarts(SchedulerCore &Core, RackState &Rack, RackDraft &Draft) {
  bool MayStart =
      Rack.Assigned_ && !Core.Draining_ && Core.Jobs_.hasQueuedJobs();
  if (!MayStart)
    return {};
  return ClaimPlanner(Core, Rack, Draft).run();
}

} // namespace filbertspring::placement
