#include "cell_owner.h"

#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "rows.h"
#include "store_access.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::OwnerRecord;
using scheduling::PendingWrites;
using scheduling::Row;
using scheduling::RowPage;
using scheduling::RowTransaction;

/// The minimum time between two transactions of the owner. Each transaction is
/// a call to the store, and tasks tend to end in groups.
constexpr Duration MinCommitInterval = std::chrono::milliseconds(25);
/// The minimum time between two writes of the cell's status.
constexpr Duration MinStatusInterval = std::chrono::milliseconds(800);
/// The minimum time between two writes of the interference model. A successor
/// loses at most the observations of this time.
constexpr Duration MinModelInterval = std::chrono::seconds(3);
/// How often the rows of finished jobs are removed.
constexpr Duration RemovalInterval = std::chrono::seconds(5);
/// The maximum number of jobs removed at a time, so that the store gets a few
/// transactions at once. Together with RemovalInterval it allows for more than
/// the 8,000 jobs of a day.
constexpr std::size_t MaxRemovedJobs = platform::MaxTransactionRows / 2;
/// The interval of periodic work; lease times and waiting times are hundreds of
/// milliseconds.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// Events within this time are handled by one scheduling cycle. It is a third
/// of the minimum time between transactions; no task starts without a
/// transaction.
constexpr Duration CycleDelay = std::chrono::milliseconds(8);
/// The minimum time between two log lines about failed transactions.
constexpr Duration FailureLogInterval = std::chrono::seconds(1);

/// Returns the event about a transaction that was not stored.
LogEvent eventOf(CommitOutcome Outcome) {
  switch (Outcome) {
  case CommitOutcome::Conflict:
    return LogEvent::CommitConflict;
  case CommitOutcome::Refused:
  case CommitOutcome::Rejected:
    return LogEvent::CommitRefused;
  default:
    return LogEvent::CommitUnknown;
  }
}

void addSize(const RowTransaction &Changes, CellTransaction &Into) {
  Into.Rows_ = Changes.Writes_.size() + Changes.Removals_.size();
  std::size_t Largest = 0;
  for (const Row &Written : Changes.Writes_) {
    Into.Bytes_ += Written.Value_.size();
    if (Written.Value_.size() <= Largest)
      continue;
    Largest = Written.Value_.size();
    Into.LargestRow_ = Written.Key_.Table_ + "/" + Written.Key_.Key_;
  }
}

/// Returns the counter of \p Event, or null if it is only logged.
const char *counterOf(LogEvent Event) {
  switch (Event) {
  case LogEvent::TaskCrashSuspected:
    return "task_crash_suspicions_total";
  case LogEvent::TaskIsolated:
    return "task_isolations_total";
  case LogEvent::TaskGivenUp:
    return "tasks_given_up_total";
  case LogEvent::StartHeldBack:
    return "starts_held_back_total";
  default:
    return nullptr;
  }
}

} // namespace

CellOwner::CellOwner(EventLoop &Loop, StoreClient &Store,
                     CounterRegistry &Counters, const NodeSettings &Settings,
                     scheduling::OwnerLease &Lease)
    : Loop_(Loop), Store_(Store), Counters_(Counters), Settings_(Settings),
      Lease_(Lease),
      PredecessorLeases_(Lease.takeoverRecord(), SchedulerClock::now()),
      SuccessorSearch_(Loop) {}

void CellOwner::start() { tick(); }

void CellOwner::configure(
    std::shared_ptr<const scheduling::QueueTable> Queues) {
  Queues_ = std::move(Queues);
  if (!Tenure_)
    return;
  Tenure_->Scheduler_.configure(Queues_);
  requestSchedulingCycle();
}

void CellOwner::setClosedZones(std::set<std::string> Zones) {
  ClosedZones_ = std::move(Zones);
  if (!Tenure_)
    return;
  Tenure_->Scheduler_.setClosedZones(ClosedZones_);
  requestSchedulingCycle();
}

void CellOwner::setRelays(std::vector<RelayCandidate> Candidates) {
  Relays_ = std::move(Candidates);
  if (Tenure_)
    Tenure_->Calls_.channel().routes().setCandidates(Relays_);
}

void CellOwner::handleWorkerAnswers(WorkerAnswerBatch Batch) {
  if (Tenure_)
    Tenure_->Calls_.channel().handleAnswers(std::move(Batch));
}

void CellOwner::tick() {
  if (Tenure_)
    seekSuccessor(SchedulerClock::now());
  if (Tenure_)
    runSchedulingCycle();
  Loop_.after(TickInterval, [this] { tick(); });
}

void CellOwner::requestSchedulingCycle() {
  if (IsCycleRequested_)
    return;
  IsCycleRequested_ = true;
  Loop_.after(CycleDelay, [this] {
    IsCycleRequested_ = false;
    runSchedulingCycle();
  });
}

void CellOwner::runSchedulingCycle() {
  if (!Tenure_)
    return;
  TimePoint Now = SchedulerClock::now();
  if (Tenure_->IsLoaded_) {
    observeLoop(Now);
    Tenure_->Scheduler_.advance(Now, wallMilliseconds(), Lease_.confirmedAt(),
                                Lease_.isValid(Now));
    for (const scheduling::Action &SchedulerAction :
         Tenure_->Scheduler_.takeActions())
      Tenure_->Calls_.execute(SchedulerAction, Lease_.commandLimits());
    Tenure_->Calls_.channel().flush();
    logSchedulerNotes();
    if (Tenure_->Scheduler_.isFenced()) {
      return endTenure("a worker has seen a higher fencing token");
    }
  }
  commitIfDue(Now);
  removeExpiredJobs(Now);
  if (Tenure_ && Tenure_->IsLoaded_ && WorkspaceMetrics_.isDue(Now) &&
      Queues_ && Queues_->requiresKeys())
    WorkspaceMetrics_.publish(Tenure_->Scheduler_.workspaceCounts(), Now);
}

/// Removes the rows of jobs whose final state need not be kept any longer.
void CellOwner::removeExpiredJobs(TimePoint Now) {
  if (!Tenure_ || !Tenure_->IsLoaded_ || Now < Tenure_->NextRemovalAt_)
    return;
  Tenure_->NextRemovalAt_ = Now + RemovalInterval;
  for (const std::vector<JobRemoval> &Jobs : Tenure_->JobRows_.removals(
           Tenure_->Scheduler_.expiredJobs(Now, MaxRemovedJobs)))
    removeJobs(Jobs);
}

void CellOwner::removeJobs(const std::vector<JobRemoval> &Jobs) {
  RowTransaction Removal = makeRemoval(Jobs);
  if (Removal.Removals_.empty()) {
    CommitResult Nothing;
    Nothing.Outcome_ = CommitOutcome::Committed;
    return handleRemovalResult(Jobs, Removal, Nothing);
  }
  Store_.commit(Removal, StoreCallTimeout,
                [this, Reference = TenureRef(Tenure_), Jobs,
                 Removal](const CommitResult &Outcome) {
                  if (findActiveTenure(Reference))
                    handleRemovalResult(Jobs, Removal, Outcome);
                });
}

/// After a failure, the jobs are still expired and removed later.
void CellOwner::handleRemovalResult(const std::vector<JobRemoval> &Jobs,
                                    const RowTransaction &Removal,
                                    const CommitResult &Outcome) {
  if (Outcome.Outcome_ == CommitOutcome::Committed) {
    for (const JobRemoval &Removed : Jobs)
      if (Tenure_->JobRows_.noteRemoved(Removed))
        Tenure_->Scheduler_.jobsRemoved({Removed.Job_});
    return;
  }
  if (Outcome.Outcome_ != CommitOutcome::Conflict)
    return;
  for (const scheduling::RowKey &Key : Removal.Removals_) {
    auto Current = std::find_if(
        Outcome.CurrentRows_.begin(), Outcome.CurrentRows_.end(),
        [&Key](const Row &Stored) { return Stored.Key_.Key_ == Key.Key_; });
    if (Current == Outcome.CurrentRows_.end())
      Tenure_->JobRows_.noteAbsent(Key);
    else
      handleJobRow(*Current);
  }
  requestSchedulingCycle();
}

void CellOwner::logSchedulerNotes() {
  for (const scheduling::LogRecord &SchedulerNote :
       Tenure_->Scheduler_.takeLogRecords()) {
    std::vector<LogField> Fields;
    for (const auto &[Key, Value] : SchedulerNote.Fields_)
      Fields.emplace_back(Key, Value);
    logEvent(SchedulerNote.Event_, Fields);
    if (const char *Counter = counterOf(SchedulerNote.Event_))
      Counters_.counter(Counter).add();
  }
}

void CellOwner::observeLoop(TimePoint Now) {
  scheduling::StartAdmission &Admission = Tenure_->Admission_;
  bool WasLimited = Admission.isLimited();
  Duration Delay = Loop_.delay();
  Admission.observe(Now, Delay);
  if (Admission.isLimited() == WasLimited)
    return;
  if (!WasLimited)
    Counters_.counter("owner_start_limits_total").add();
  logEvent(
      WasLimited ? LogEvent::StartsUnlimited : LogEvent::StartsLimited,
      {{"delay_ms", Delay / std::chrono::milliseconds(1)},
       {"starts_per_s", static_cast<std::int64_t>(Admission.startsPerSecond())},
       {"waiting", static_cast<std::int64_t>(
                       Tenure_->Scheduler_.counts().WaitingTasks_)}});
}

/// Places waiting tasks, as many as the event loop keeps up with.
void CellOwner::placeTasks() {
  TimePoint Begin = SchedulerClock::now();
  std::size_t MaxStarts = Tenure_->Admission_.admit(Begin);
  if (MaxStarts == 0)
    return;
  std::size_t Placed = Tenure_->Scheduler_.place(Begin, MaxStarts);
  Tenure_->Admission_.placed(Begin, Placed, SchedulerClock::now() - Begin);
  countPlaceWaits();
}

void CellOwner::countPlaceWaits() {
  const scheduling::PlaceWaitCounts &Present = Tenure_->Scheduler_.placeWaits();
  scheduling::PlaceWaitCounts &Counted = Tenure_->CountedPlaceWaits_;
  auto Count = [this](const char *Outcome, std::uint64_t Total,
                      std::uint64_t Before) {
    if (Total > Before)
      Counters_
          .counter("place_waits_total",
                   "outcome=\"" + std::string(Outcome) + "\"")
          .add(Total - Before);
  };
  Count("near", Present.EndedNear_, Counted.EndedNear_);
  Count("gave_up", Present.GaveUp_, Counted.GaveUp_);
  Count("not_worth", Present.NotWorth_, Counted.NotWorth_);
  if (Present.Waited_ > Counted.Waited_)
    Counters_.counter("place_wait_ms_total")
        .add(static_cast<std::uint64_t>((Present.Waited_ - Counted.Waited_) /
                                        std::chrono::milliseconds(1)));
  Counted = Present;
}

void CellOwner::commitIfDue(TimePoint Now) {
  Tenure &ActiveTenure = *Tenure_;
  if (ActiveTenure.IsCommitting_ || Now < ActiveTenure.NextCommitAt_)
    return;
  if (ActiveTenure.IsLoaded_ && Lease_.isValid(Now))
    placeTasks();
  bool MustRenew =
      Lease_.shouldRenew(Now) || ActiveTenure.MustWriteOwnerRow_ ||
      (ActiveTenure.IsLoaded_ && ActiveTenure.Scheduler_.mustUpdateLeaseNotes(
                                     Now, ActiveTenure.mayAddNotes()));
  bool HasWrites =
      ActiveTenure.IsLoaded_ && ActiveTenure.Scheduler_.hasWrites();
  if (!MustRenew && !HasWrites)
    return;
  CellTransaction Sent;
  if (MustRenew)
    Sent.Owner_ = makeOwnerRecord(Now);
  Sent.SentAt_ = Now;
  if (ActiveTenure.IsLoaded_) {
    Sent.Writes_ = ActiveTenure.Scheduler_.takeWrites(
        ActiveTenure.TransactionSize_.rows(),
        ActiveTenure.TransactionSize_.bytes());
    addStatusAndModel(Sent);
  }
  if (!MustRenew && Sent.Writes_.empty() && Sent.Status_.empty() &&
      Sent.Model_.empty())
    return ActiveTenure.Scheduler_.writesStored(Sent.Writes_, Now);
  ActiveTenure.IsCommitting_ = true;
  RowTransaction Changes = makeCellTransaction(Sent);
  addSize(Changes, Sent);
  Store_.commit(Changes, StoreCallTimeout,
                [this, Reference = TenureRef(Tenure_),
                 Sent = std::move(Sent)](const CommitResult &Outcome) {
                  if (findActiveTenure(Reference))
                    handleCommitResult(Sent, Outcome);
                });
}

OwnerRecord CellOwner::makeOwnerRecord(TimePoint Now) {
  OwnerRecord Record = Lease_.record();
  Record.TenureAges_ = scheduling::makeTenureAges(TenureStarts_, Now);
  Record.EarlierGrants_ =
      std::max(PredecessorGrantsEnd_ - Now, Duration::zero());
  if (!Tenure_->IsLoaded_) {
    Record.Notes_ = scheduling::makeLeaseNotes(NotedLeases_, Now);
    return Record;
  }
  Record.Notes_ = Tenure_->Scheduler_.noteLeases(Now, Tenure_->mayAddNotes());
  TimePoint GrantsEnd =
      std::min(PredecessorGrantsEnd_, Tenure_->Scheduler_.earlierGrantsEnd());
  Record.EarlierGrants_ = std::max(GrantsEnd - Now, Duration::zero());
  return Record;
}

/// Adds the cell's status and the interference model to \p Sent if they are due
/// and have changed.
void CellOwner::addStatusAndModel(CellTransaction &Sent) const {
  const Tenure &ActiveTenure = *Tenure_;
  if (Sent.SentAt_ >= ActiveTenure.NextStatusAt_)
    Sent.Status_ = encodeCurrentStatus();
  if (Sent.Status_ == ActiveTenure.StoredStatus_)
    Sent.Status_.clear();
  if (Sent.SentAt_ >= ActiveTenure.NextModelAt_)
    Sent.Model_ = scheduling::encodeInterference(
        ActiveTenure.Scheduler_.interferenceEstimates());
  if (Sent.Model_ == ActiveTenure.StoredModel_)
    Sent.Model_.clear();
}

RowTransaction
CellOwner::makeCellTransaction(const CellTransaction &Sent) const {
  RowTransaction Changes;
  Changes.Conditions_.push_back({ownerKey(), Lease_.version()});
  if (Sent.Owner_)
    Changes.Writes_.push_back(
        makeRow(ownerKey(), scheduling::encodeOwnerRecord(*Sent.Owner_)));
  if (!Sent.Status_.empty())
    Changes.Writes_.push_back(makeRow(statusKey(), Sent.Status_));
  if (!Sent.Model_.empty())
    Changes.Writes_.push_back(makeRow(modelKey(), Sent.Model_));
  const PendingWrites &Writes = Sent.Writes_;
  if (!Writes.Journal_.Entries_.empty())
    Changes.Writes_.push_back(
        makeRow(journalKey(Writes.Journal_.Number_),
                scheduling::encodeJournal(Writes.Journal_.Entries_)));
  for (const scheduling::JournalRow &Rest : Writes.SnapshotRests_)
    Changes.Writes_.push_back(makeRow(
        journalKey(Rest.Number_), scheduling::encodeJournal(Rest.Entries_)));
  for (std::uint64_t Number : Writes.RemovedJournalRows_)
    Changes.Removals_.push_back(journalKey(Number));
  for (const auto &[Job, Progress] : Writes.Progress_)
    Changes.Writes_.push_back(
        makeRow(progressKey(Job), scheduling::encodeProgress(Progress)));
  for (const scheduling::WorkerEntry &Registration : Writes.StoredWorkers_)
    Changes.Writes_.push_back(
        makeRow(knownWorkerKey(Registration.Id_),
                scheduling::encodeStoredWorker(Registration)));
  for (const std::string &Id : Writes.RemovedWorkers_)
    Changes.Removals_.push_back(knownWorkerKey(Id));
  for (const std::string &Job : Writes.RemovedJobs_)
    Changes.Removals_.push_back(progressKey(Job));
  return Changes;
}

void CellOwner::handleCommitResult(const CellTransaction &Sent,
                                   const CommitResult &Outcome) {
  Tenure &ActiveTenure = *Tenure_;
  TimePoint Now = SchedulerClock::now();
  ActiveTenure.IsCommitting_ = false;
  ActiveTenure.NextCommitAt_ = Sent.SentAt_ + MinCommitInterval;
  ActiveTenure.TransactionSize_.ended(Outcome.Outcome_);
  // If the store rejects one of these rows, the next transactions hold the
  // other changes without it.
  bool IsAnswered = Outcome.Outcome_ == CommitOutcome::Committed ||
                    Outcome.Outcome_ == CommitOutcome::Rejected;
  if (IsAnswered && !Sent.Status_.empty())
    ActiveTenure.NextStatusAt_ = Now + MinStatusInterval;
  if (IsAnswered && !Sent.Model_.empty())
    ActiveTenure.NextModelAt_ = Now + MinModelInterval;
  if (Outcome.Outcome_ == CommitOutcome::Committed) {
    ActiveTenure.FailedCommits_ = 0;
    if (Sent.Owner_) {
      Lease_.rowWritten(*Sent.Owner_, Outcome.Version_, Sent.SentAt_);
      ActiveTenure.Scheduler_.leaseNotesStored(Sent.Owner_->Notes_, Now);
      ActiveTenure.MustWriteOwnerRow_ = false;
    }
    if (!Sent.Status_.empty())
      ActiveTenure.StoredStatus_ = Sent.Status_;
    if (!Sent.Model_.empty())
      ActiveTenure.StoredModel_ = Sent.Model_;
    ActiveTenure.Scheduler_.writesStored(Sent.Writes_, Now);
    return requestSchedulingCycle();
  }
  noteFailedCommit(Sent, Outcome);
  ActiveTenure.Scheduler_.writesFailed(Sent.Writes_);
  ActiveTenure.NextCommitAt_ = Now + StoreRetryDelay;
  if (Outcome.Outcome_ == CommitOutcome::Refused ||
      Outcome.Outcome_ == CommitOutcome::Rejected)
    return;
  // Either another instance has taken the cell over, or an earlier write of
  // this owner took effect late.
  ActiveTenure.MustWriteOwnerRow_ = true;
  ActiveTenure.IsCommitting_ = true;
  reconcileOwnerRow();
}

/// Counts a transaction that was not stored, and logs the first one and one a
/// second.
void CellOwner::noteFailedCommit(const CellTransaction &Sent,
                                 const CommitResult &Outcome) {
  Tenure &ActiveTenure = *Tenure_;
  std::string_view Name =
      nameOf(scheduling::CommitOutcomeNames, Outcome.Outcome_);
  Counters_
      .counter("owner_commits_failed_total",
               "outcome=\"" + std::string(Name) + "\"")
      .add();
  ++ActiveTenure.FailedCommits_;
  TimePoint Now = SchedulerClock::now();
  if (Now < ActiveTenure.NextFailureLogAt_)
    return;
  ActiveTenure.NextFailureLogAt_ = Now + FailureLogInterval;
  logEvent(eventOf(Outcome.Outcome_),
           {{"outcome", Name},
            {"status", Outcome.Status_},
            {"failures", ActiveTenure.FailedCommits_},
            {"rows", static_cast<std::int64_t>(Sent.Rows_)},
            {"bytes", static_cast<std::int64_t>(Sent.Bytes_)},
            {"largest_row", Sent.LargestRow_},
            {"took_ms", (Now - Sent.SentAt_) / std::chrono::milliseconds(1)}});
}

/// Reads the owner's row after a transaction whose outcome is unknown or whose
/// condition on the row's version failed.
void CellOwner::reconcileOwnerRow() {
  TimePoint SentAt = SchedulerClock::now();
  platform::RowRange Range = wholePartition(CellTable, CellPartition);
  Range.FirstKey_ = OwnerKey;
  Range.Limit_ = 1;
  Store_.read(Range, StoreCallTimeout,
              [this, Reference = TenureRef(Tenure_),
               SentAt](const Result<RowPage> &Page) {
                if (!findActiveTenure(Reference))
                  return;
                Tenure_->IsCommitting_ = false;
                if (!Page)
                  return;
                bool IsPresent = !Page->Rows_.empty() &&
                                 Page->Rows_.front().Key_.Key_ == OwnerKey;
                if (IsPresent)
                  Lease_.rowRead(
                      scheduling::decodeOwnerRecord(Page->Rows_.front().Value_),
                      Page->Rows_.front().Version_, SentAt);
                else
                  Lease_.rowRead({}, 0, SentAt);
                handleLeaseChange();
              });
}

std::string CellOwner::encodeCurrentStatus() const {
  CellStatus Status;
  Status.Tenure_ = Lease_.record().Tenure_;
  Status.Pending_ = Tenure_->Scheduler_.pendingByQueue();
  return encodeStatus(Status);
}

void CellOwner::handleStoredJobRow(const Row &StoredRow) {
  if (!Tenure_ || !Tenure_->IsLoaded_)
    return;
  // A notice may arrive late. If the change feed has passed the row's version,
  // the row was handled, and may have been removed since.
  if (StoredRow.Version_ != 0 && StoredRow.Version_ <= Tenure_->JobsVersion_)
    return;
  handleJobRow(StoredRow);
  requestSchedulingCycle();
}

} // namespace filbertspring::node
