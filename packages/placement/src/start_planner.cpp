#include "start_planner.h"

#include "colocation_adapter.h"
#include "grant_planner.h"
#include "worker_exchange.h"

#include "filbertspring/placement/worker_choice.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

using Starts = std::map<AttemptRef, TrackedAttempt>;

/// One round of claims for one rack.
class StartRound {
public:
  StartRound(SchedulerCore &Core, RackState &Rack, RackDraft &Draft)
      : Core_(Core), Rack_(Rack), Draft_(Draft) {}

  Starts run() {
    readWorkers();
    runClass(true);
    runClass(false);
    if (Starts_.empty())
      Rack_.BlockedGeneration_ = Core_.Jobs_.generation();
    return std::move(Starts_);
  }

private:
  bool full() const {
    return Starts_.size() >= Core_.Settings_.Batch_.MaxStartsPerCommit_;
  }

  /// Splits the rack's workers into those that a claim may use now and those
  /// that would have to report first.
  void readWorkers() {
    for (const RackWorker &Each : Draft_.rack().record().Workers_) {
      const WorkerState *Worker = Core_.findWorker(Each.Name_);
      bool Usable = Worker != nullptr && Worker->ListedAt_ &&
                    !Worker->Leaving_ && Worker->Failures_ == 0 &&
                    Worker->AcceptedEpoch_ == Rack_.Epoch_;
      if (!Usable)
        continue;
      bool Fresh = hasFreshReading(Core_, *Worker);
      (Fresh ? Fresh_ : Stale_)
          .push_back(
              {Each.Name_, Each.Capacity_, Each.free(), allowanceOf(Each)});
      Total_ += Each.Capacity_;
    }
  }

  /// Returns how many attempts \p Worker may take beside those it has.
  std::size_t allowanceOf(const RackWorker &Worker) const {
    std::size_t Allowed = Core_.Evidence_.allowance(Worker.Name_, Core_.Now_);
    if (Allowed == UnboundedAllowance)
      return Allowed;
    return Allowed - std::min(Allowed, Worker.Assignments_.size());
  }

  void runClass(bool Urgent) {
    for (const ContractName &Contract : Core_.Jobs_.turn(Urgent)) {
      Turns_.push_back({Contract, {}, 0});
      Turns_.back().Jobs_ = Core_.Jobs_.candidates(
          Contract, Urgent, Core_.Settings_.Batch_.MaxSkipsPerContract_);
    }
    while (!Turns_.empty() && !full())
      takeTurn(leastServed());
    Turns_.clear();
  }

  /// The jobs of one contract that are still to be tried.
  struct Turn {
    ContractName Contract_;
    std::vector<JobId> Jobs_;
    std::size_t Next_ = 0;
  };

  std::size_t leastServed() const {
    auto Least = std::ranges::min_element(Turns_, {}, [this](const Turn &Each) {
      return Core_.Jobs_.servedOf(Each.Contract_);
    });
    return static_cast<std::size_t>(Least - Turns_.begin());
  }

  /// Tries one task of the contract's next job.
  void takeTurn(std::size_t Position) {
    Turn &Each = Turns_[Position];
    if (Each.Next_ >= Each.Jobs_.size()) {
      if (!Each.Jobs_.empty())
        Core_.Jobs_.passOver(Each.Jobs_.back());
      Turns_.erase(Turns_.begin() + static_cast<std::ptrdiff_t>(Position));
      return;
    }
    JobEntry *Entry = Core_.Jobs_.find(Each.Jobs_[Each.Next_]);
    std::optional<WaitReason> Obstacle = tryTask(*Entry);
    if (!Obstacle)
      return;
    Entry->LastWaitReason_ = *Obstacle;
    ++Each.Next_;
  }

  /// Claims the next waiting task of the job, or returns why not.
  std::optional<WaitReason> tryTask(JobEntry &Entry) {
    std::optional<std::int32_t> Index = nextTask(Entry);
    if (!Index)
      return WaitReason::CommitUnderWay;
    if (std::optional<WaitReason> Obstacle = checkTerms(Entry.Record_))
      return Obstacle;
    const JobRecord &Record = Entry.Record_;
    std::optional<std::size_t> Chosen =
        chooseWorker(Fresh_, Record.Size_, [&](const WorkerCandidate &Worker) {
          return admitsBesideServices(Core_, Worker, Record);
        });
    if (!Chosen)
      return obstacleOf(Record.Size_);
    if (auto Obstacle = ensureGrant(Core_, Entry.Record_.Contract_,
                                    Entry.Record_.Size_, Draft_))
      return Obstacle;
    return claim(Entry, *Index, Fresh_[*Chosen]);
  }

  std::optional<std::int32_t> nextTask(const JobEntry &Entry) {
    auto Taken = Taken_.find(Entry.Record_.Id_);
    auto Next = Taken == Taken_.end()
                    ? Entry.WaitingTaskIndexes_.begin()
                    : Entry.WaitingTaskIndexes_.upper_bound(Taken->second);
    if (Next == Entry.WaitingTaskIndexes_.end())
      return std::nullopt;
    return *Next;
  }

  std::optional<WaitReason> checkTerms(const JobRecord &Job) {
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

  /// Returns why no worker was chosen.
  WaitReason obstacleOf(const Resources &Size) {
    if (chooseWorker(Fresh_, Size))
      return WaitReason::SlowsService;
    return askStaleWorker(Size);
  }

  /// Has a worker with room report now, so that a later round may use it.
  WaitReason askStaleWorker(const Resources &Size) {
    std::optional<std::size_t> Chosen = chooseWorker(Stale_, Size);
    if (!Chosen)
      return WaitReason::NoRoom;
    WorkerState &Worker = *Core_.findWorker(Stale_[*Chosen].Name_);
    if (!Worker.InFlight_)
      Core_.scheduleExchangeNow(Worker);
    return WaitReason::NoFreshWorker;
  }

  std::optional<WaitReason> claim(JobEntry &Entry, std::int32_t Index,
                                  WorkerCandidate &Chosen) {
    const JobRecord &Record = Entry.Record_;
    Result<Job *> Subject = Draft_.job(Record, Entry.Version_);
    if (!Subject)
      return WaitReason::NotConsidered;
    Placement Where{Rack_.Zone_, Rack_.Name_, Chosen.Name_};
    TaskRef Task{Record.Id_, Index};
    std::int32_t Attempt = Record.Tasks_[Index].Attempt_ + 1;
    Assignment Claim{{Task, Attempt}, Record.Contract_, Record.Size_};
    // The rack refuses a task that an earlier attempt still occupies.
    if (!Draft_.rack().claim(Chosen.Name_, Claim))
      return WaitReason::NoRoom;
    (void)(*Subject)->claim(Index, Where); // It waits, so this succeeds.
    addGuards(Record.Contract_);
    Starts_[Claim.Attempt_] = makeStart(Entry, Claim, Chosen.Name_);
    Taken_[Record.Id_] = Index;
    Chosen.Free_ -= Record.Size_;
    countPlaced(Core_, Chosen, Record);
    if (Chosen.Allowance_ != UnboundedAllowance)
      --Chosen.Allowance_;
    account(Record);
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
    const Task &Entered = Record.Tasks_[Claim.Attempt_.Task_.Index_];
    Held.Checkpoint_ = Entered.Checkpoint_;
    Held.Start_ = StartCommand{Claim.Attempt_,
                               Record.Contract_,
                               Record.Kind_,
                               Record.Size_,
                               Record.DeclaredRunTime_,
                               Entered.Checkpoint_,
                               Record.Payload_,
                               startDeadline(Held.ClaimReading_, Leases),
                               leaseEnd(Held.ClaimReading_, Leases)};
    return Held;
  }

  /// Counts the claim against its contract's share and its zone's ramp.
  void account(const JobRecord &Job) {
    auto Share = [](std::int64_t Part, std::int64_t Whole) {
      return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                       : 0.0;
    };
    double Dominant = std::max(
        {Share(Job.Size_.Cpu_.count(), Total_.Cpu_.count()),
         Share(Job.Size_.Memory_.count(), Total_.Memory_.count()),
         Share(Job.Size_.Accelerators_.count(), Total_.Accelerators_.count())});
    const auto *Contract = findRow(Core_.Table_.Contracts_, Job.Contract_);
    std::int32_t Weight = std::max(1, Contract->Value_.Terms_.Weight_);
    Core_.Jobs_.serve(Job.Contract_, Dominant / Weight);
    Core_.Ramps_[Rack_.Zone_].countStart();
    Rack_.LastClaim_[Job.Contract_] = Core_.Now_;
  }

  SchedulerCore &Core_;
  RackState &Rack_;
  RackDraft &Draft_;
  std::vector<WorkerCandidate> Fresh_;
  std::vector<WorkerCandidate> Stale_;
  Resources Total_;
  std::vector<Turn> Turns_;
  /// The last task claimed of each job in this round.
  std::map<JobId, std::int32_t> Taken_;
  Starts Starts_;
};

} // namespace

std::map<AttemptRef, TrackedAttempt>
planStarts(SchedulerCore &Core, RackState &Rack, RackDraft &Draft) {
  bool Wanted = Rack.Assigned_ && !Core.Draining_ && Core.Jobs_.hasQueuedJobs();
  if (!Wanted)
    return {};
  return StartRound(Core, Rack, Draft).run();
}

} // namespace filbertspring::placement
