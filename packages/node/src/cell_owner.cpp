#include "cell_owner.h"

#include "cell_reading.h"
#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "rows.h"

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::OwnerRecord;
using scheduling::PendingWrites;
using scheduling::Row;
using scheduling::RowPage;
using scheduling::RowTransaction;

/// The shortest time between two transactions of the owner: each is a call,
/// and ends of tasks come in groups.
constexpr Duration WritePause = std::chrono::milliseconds(25);
/// How often the status of the cell is stored at most.
constexpr Duration StatusPause = std::chrono::milliseconds(800);
/// How often what was learned is stored at most: a successor loses this much.
constexpr Duration ModelPause = std::chrono::seconds(3);
/// How often rows of finished jobs are removed, and how many at a time: more
/// than 8,000 jobs a day leave.
constexpr Duration RemovalPause = std::chrono::seconds(5);
constexpr std::size_t MaxRemovedJobs = platform::MaxTransactionRows / 2;
/// The owner's tick: leases and waits have hundreds of milliseconds.
constexpr Duration TickPause = std::chrono::milliseconds(50);
/// Drift of a worker's clock over a grant, and the time to kill.
constexpr Duration GrantSlack = std::chrono::milliseconds(500);
/// Events within this time are followed by one decision: a third of the pause
/// between transactions, without which nothing starts.
constexpr Duration PumpDelay = std::chrono::milliseconds(8);
/// Rows of one transaction that are left for progress beside the owner's row
/// and the counts.
constexpr std::size_t MaxProgressRows = platform::MaxTransactionRows - 10;

Row makeRow(scheduling::RowKey Key, std::string Value) {
  Row Made;
  Made.Key_ = std::move(Key);
  Made.Value_ = std::move(Value);
  return Made;
}

} // namespace

CellOwner::CellOwner(EventLoop &Loop, StoreClient &Store,
                     CounterRegistry &Counters, const NodeSettings &Settings,
                     scheduling::OwnerLease &Lease)
    : Loop_(Loop), Store_(Store), Counters_(Counters), Settings_(Settings),
      Lease_(Lease) {}

void CellOwner::start() { tick(); }

void CellOwner::configure(
    std::shared_ptr<const scheduling::QueueTable> Queues) {
  Queues_ = std::move(Queues);
  if (!Tenure_)
    return;
  Tenure_->Scheduler_.configure(Queues_);
  schedulePump();
}

void CellOwner::setClosedZones(std::set<std::string> Zones) {
  ClosedZones_ = std::move(Zones);
  if (!Tenure_)
    return;
  Tenure_->Scheduler_.setClosedZones(ClosedZones_);
  schedulePump();
}

// Taking over.

void CellOwner::leaseChanged() {
  if (Tenure_ && !Lease_.isOwner())
    endTenure("another owner's row was read");
  considerTakeover();
}

void CellOwner::considerTakeover() {
  if (IsReleased_ || IsTakingOver_ || Tenure_ || !Queues_ ||
      !(Lease_.isOwner() || Lease_.shouldTakeOver(SchedulerClock::now())))
    return;
  // A row that is mine without a tenure is a takeover whose answer was lost.
  takeOver();
}

void CellOwner::takeOver() {
  IsTakingOver_ = true;
  TimePoint SentAt = SchedulerClock::now();
  OwnerRecord Mine = Lease_.takeoverRecord();
  Silence_ = Lease_.unchangedDuration();
  RowTransaction Takeover;
  Takeover.Conditions_.push_back({ownerKey(), Lease_.version()});
  Takeover.Writes_.push_back(
      makeRow(ownerKey(), scheduling::encodeOwnerRecord(Mine)));
  Store_.commit(Takeover, StoreTimeout,
                [this, Mine, SentAt](const CommitResult &Outcome) {
                  IsTakingOver_ = false;
                  if (Outcome.Outcome_ == CommitOutcome::Refused ||
                      Outcome.Outcome_ == CommitOutcome::Unknown)
                    return Lease_.takeoverFailed(SchedulerClock::now());
                  if (Outcome.Outcome_ != CommitOutcome::Committed)
                    return;
                  Lease_.rowWritten(Mine, Outcome.Version_, SentAt);
                  beginTenure();
                });
}

void CellOwner::beginTenure() {
  scheduling::SchedulerSettings Settings;
  // The store's version counter never goes back.
  Settings.OwnerToken_ = Lease_.version();
  Settings.Tenure_ = Lease_.record().Tenure_ - 1;
  Settings.LeaseDuration_ =
      std::min(Settings.LeaseDuration_, Settings_.MaxLease_);
  // A trusted predecessor granted until then; it was silent before.
  Settings.PredecessorLeaseLimit_ = scheduling::OwnerLeaseTimings().ValidFor_ +
                                    Settings.LeaseDuration_ + GrantSlack -
                                    Silence_;
  Settings.KillTimeout_ = Settings_.KillTimeout_;
  Settings.FinalStateRetention_ = Settings_.StateRetention_;
  Settings.FarFactor_ = Settings_.RemoteDataSlowdown_;
  Tenure_ = std::make_shared<Tenure>(Loop_, Counters_, Settings,
                                     SchedulerClock::now(),
                                     [this] { schedulePump(); });
  Tenure_->Scheduler_.configure(Queues_);
  Tenure_->Scheduler_.setClosedZones(ClosedZones_);
  logEvent(LogEvent::CellOwned,
           {{"token", static_cast<std::int64_t>(Settings.OwnerToken_)},
            {"tenure", static_cast<std::int64_t>(Settings.Tenure_)}});
  load(Tenure_);
}

void CellOwner::endTenure(const char *Cause) {
  logEvent(LogEvent::CellLost, {{"cause", Cause}});
  // The caller may be inside a callback of this tenure.
  Loop_.after(Duration::zero(), [Ended = std::move(Tenure_)] {});
  Tenure_ = nullptr;
  Listed_.clear();
}

void CellOwner::release() {
  IsReleased_ = true;
  if (!Tenure_)
    return;
  RowTransaction Release;
  Release.Conditions_.push_back({ownerKey(), Lease_.version()});
  Release.Writes_.push_back(makeRow(
      ownerKey(), scheduling::encodeOwnerRecord(Lease_.releaseRecord())));
  endTenure("this instance stops");
  Store_.commit(Release, StoreTimeout, [](const CommitResult &Outcome) {
    // Candidates notice the silent row after a while in any case.
    if (Outcome.Outcome_ != CommitOutcome::Committed)
      logEvent(LogEvent::CommitUnknown, {{"row", OwnerKey}});
  });
}

void CellOwner::tick() {
  if (Tenure_)
    pump();
  Loop_.after(TickPause, [this] { tick(); });
}

void CellOwner::schedulePump() {
  if (IsPumpScheduled_)
    return;
  IsPumpScheduled_ = true;
  Loop_.after(PumpDelay, [this] {
    IsPumpScheduled_ = false;
    pump();
  });
}

void CellOwner::pump() {
  if (!Tenure_)
    return;
  TimePoint Now = SchedulerClock::now();
  if (Tenure_->IsLoaded_) {
    Tenure_->Scheduler_.advance(Now, wallMilliseconds(), Lease_.confirmedAt(),
                                Lease_.isValid(Now));
    for (const scheduling::Action &Decided : Tenure_->Scheduler_.takeActions())
      Tenure_->Calls_.carryOut(Decided);
    logNotes();
    if (Tenure_->Scheduler_.isFenced()) {
      return endTenure("a worker has seen a higher fencing token");
    }
  }
  writeIfDue(Now);
  removeExpired(Now);
}

/// Removes the rows of jobs that callers need not ask for any more.
void CellOwner::removeExpired(TimePoint Now) {
  if (!Tenure_ || !Tenure_->IsLoaded_ || Now < Tenure_->NextRemovalAt_)
    return;
  Tenure_->NextRemovalAt_ = Now + RemovalPause;
  // Rows of one transaction share a partition.
  std::map<std::string, std::vector<std::string>> ByPartition;
  for (std::string &Job : Tenure_->Scheduler_.expiredJobs(Now, MaxRemovedJobs))
    ByPartition[jobPartitionOf(Job)].push_back(std::move(Job));
  for (const auto &[Partition, Jobs] : ByPartition)
    removeJobs(Jobs);
}

void CellOwner::removeJobs(const std::vector<std::string> &Jobs) {
  RowTransaction Removal;
  for (const std::string &Job : Jobs) {
    Removal.Removals_.push_back(jobKey(Job));
    Removal.Removals_.push_back(cancelKey(Job));
  }
  Store_.commit(Removal, StoreTimeout,
                [Ref = TenureRef(Tenure_), Jobs](const CommitResult &Outcome) {
                  std::shared_ptr<Tenure> Of = Ref.lock();
                  // Otherwise they are removed another time.
                  if (Of && Outcome.Outcome_ == CommitOutcome::Committed)
                    Of->Scheduler_.jobsRemoved(Jobs);
                });
}

void CellOwner::logNotes() {
  for (const scheduling::LogRecord &One :
       Tenure_->Scheduler_.takeLogRecords()) {
    std::vector<LogField> Fields;
    for (const auto &[Key, Value] : One.Fields_)
      Fields.emplace_back(Key, Value);
    logEvent(One.Event_, Fields);
  }
}

void CellOwner::writeIfDue(TimePoint Now) {
  Tenure &Of = *Tenure_;
  if (Of.IsWriting_ || Now < Of.NextWriteAt_)
    return;
  if (Of.IsLoaded_ && Lease_.isValid(Now))
    Of.Scheduler_.place(Now);
  bool MustRenew = Lease_.shouldRenew(Now) || Of.MustRewrite_;
  bool HasWrites = Of.IsLoaded_ && Of.Scheduler_.hasWrites();
  if (!MustRenew && !HasWrites)
    return;
  SentWrites Sent;
  Sent.HasOwnerRow_ = MustRenew;
  Sent.SentAt_ = Now;
  if (Of.IsLoaded_) {
    Sent.Writes_ = Of.Scheduler_.takeWrites(MaxProgressRows);
    addSummaries(Sent);
  }
  if (!MustRenew && Sent.Writes_.empty() && Sent.Status_.empty() &&
      Sent.Model_.empty())
    return Of.Scheduler_.writesStored(Sent.Writes_, Now);
  Of.IsWriting_ = true;
  RowTransaction Changes = makeTransaction(Sent);
  Store_.commit(Changes, StoreTimeout,
                [this, Ref = TenureRef(Tenure_),
                 Sent = std::move(Sent)](const CommitResult &Outcome) {
                  if (Ref.lock() && Ref.lock() == Tenure_)
                    writeEnded(Sent, Outcome);
                });
}

/// Adds the status and the model if they are due and have changed.
void CellOwner::addSummaries(SentWrites &Sent) const {
  const Tenure &Of = *Tenure_;
  if (Sent.SentAt_ >= Of.NextStatusAt_)
    Sent.Status_ = statusText();
  if (Sent.Status_ == Of.StoredStatus_)
    Sent.Status_.clear();
  if (Sent.SentAt_ >= Of.NextModelAt_)
    Sent.Model_ =
        scheduling::encodeInterference(Of.Scheduler_.interferenceEstimates());
  if (Sent.Model_ == Of.StoredModel_)
    Sent.Model_.clear();
}

RowTransaction CellOwner::makeTransaction(const SentWrites &Sent) const {
  RowTransaction Changes;
  Changes.Conditions_.push_back({ownerKey(), Lease_.version()});
  if (Sent.HasOwnerRow_)
    Changes.Writes_.push_back(
        makeRow(ownerKey(), scheduling::encodeOwnerRecord(Lease_.record())));
  if (!Sent.Status_.empty())
    Changes.Writes_.push_back(makeRow(statusKey(), Sent.Status_));
  if (!Sent.Model_.empty())
    Changes.Writes_.push_back(makeRow(modelKey(), Sent.Model_));
  const PendingWrites &Writes = Sent.Writes_;
  for (const auto &[Job, Progress] : Writes.Progress_)
    Changes.Writes_.push_back(
        makeRow(progressKey(Job), scheduling::encodeProgress(Progress)));
  for (const scheduling::WorkerEntry &Entry : Writes.StoredWorkers_)
    Changes.Writes_.push_back(makeRow(knownWorkerKey(Entry.Id_),
                                      scheduling::encodeStoredWorker(Entry)));
  for (const std::string &Id : Writes.RemovedWorkers_)
    Changes.Removals_.push_back(knownWorkerKey(Id));
  for (const std::string &Job : Writes.RemovedJobs_)
    Changes.Removals_.push_back(progressKey(Job));
  return Changes;
}

void CellOwner::writeEnded(const SentWrites &Sent,
                           const CommitResult &Outcome) {
  Tenure &Of = *Tenure_;
  TimePoint Now = SchedulerClock::now();
  Of.IsWriting_ = false;
  Of.NextWriteAt_ = Sent.SentAt_ + WritePause;
  if (Outcome.Outcome_ == CommitOutcome::Committed) {
    if (Sent.HasOwnerRow_) {
      Lease_.rowWritten(Lease_.record(), Outcome.Version_, Sent.SentAt_);
      Of.MustRewrite_ = false;
    }
    if (!Sent.Status_.empty()) {
      Of.StoredStatus_ = Sent.Status_;
      Of.NextStatusAt_ = Now + StatusPause;
    }
    if (!Sent.Model_.empty()) {
      Of.StoredModel_ = Sent.Model_;
      Of.NextModelAt_ = Now + ModelPause;
    }
    Of.Scheduler_.writesStored(Sent.Writes_, Now);
    return schedulePump();
  }
  Of.Scheduler_.writesFailed(Sent.Writes_);
  Of.NextWriteAt_ = Now + RetryPause;
  if (Outcome.Outcome_ == CommitOutcome::Refused)
    return;
  // Either another owner's row is there, or a write of mine landed late.
  Of.MustRewrite_ = true;
  Of.IsWriting_ = true;
  reconcileOwnerRow();
}

/// Reads the owner's row after a write whose outcome is unknown or that met
/// another version.
void CellOwner::reconcileOwnerRow() {
  TimePoint SentAt = SchedulerClock::now();
  platform::RowRange Range = wholeTable(CellTable, CellPartition);
  Range.FirstKey_ = OwnerKey;
  Range.Limit_ = 1;
  Store_.read(
      Range, StoreTimeout,
      [this, Ref = TenureRef(Tenure_), SentAt](const Result<RowPage> &Page) {
        if (!Ref.lock() || Ref.lock() != Tenure_)
          return;
        Tenure_->IsWriting_ = false;
        if (!Page)
          return;
        bool IsPresent =
            !Page->Rows_.empty() && Page->Rows_.front().Key_.Key_ == OwnerKey;
        if (IsPresent)
          Lease_.rowRead(
              scheduling::decodeOwnerRecord(Page->Rows_.front().Value_),
              Page->Rows_.front().Version_, SentAt);
        else
          Lease_.rowRead({}, 0, SentAt);
        leaseChanged();
      });
}

std::string CellOwner::statusText() const {
  CellStatus Status;
  Status.Tenure_ = Lease_.record().Tenure_;
  Status.Pending_ = Tenure_->Scheduler_.pendingByQueue();
  return encodeStatus(Status);
}

void CellOwner::jobAccepted(const Row &Stored) {
  if (!Tenure_ || !Tenure_->IsLoaded_)
    return;
  jobRowSeen(Stored);
  schedulePump();
}

} // namespace filbertspring::node
