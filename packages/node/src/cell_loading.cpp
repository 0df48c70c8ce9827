/// \file
/// The part of CellOwner that loads the state of the cell at the start of a
/// tenure and then follows the rows written by workers and callers.

#include "cell_owner.h"
#include "feed_pace.h"
#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/worker_codec.h"
#include "rows.h"
#include "store_access.h"

namespace filbertspring::node {
namespace {

using scheduling::Row;
using scheduling::RowPage;

/// The time that the store holds the owner's change feeds open without a
/// change.
constexpr Duration OwnerFeedWait = std::chrono::milliseconds(1500);
/// The time between two reads of the worker feed. Registrations change
/// continuously, and the drain of a worker has to be noticed within seconds.
constexpr Duration WorkerFeedInterval = std::chrono::milliseconds(250);
/// The pause between two reads of the job feed. Jobs are accepted one at a
/// time; reading them in small groups saves calls.
constexpr Duration JobFeedInterval = std::chrono::milliseconds(20);

/// What callers learn of a job that an earlier version accepted although it
/// cannot be run.
constexpr const char *UnusableJobCause =
    "the job exceeds the limits of a submission";

std::vector<std::string> jobPartitions() {
  std::vector<std::string> Names;
  for (unsigned Number = 0; Number < JobPartitionCount; ++Number)
    Names.push_back(jobPartition(Number));
  return Names;
}

std::int64_t toLogNumber(std::size_t Value) {
  return static_cast<std::int64_t>(Value);
}

/// Restores the progress of all jobs from \p Rows, which hold their snapshots
/// and the journal in the order of their keys.
void restoreProgress(const std::vector<Row> &Rows, scheduling::Scheduler &Into,
                     UnreadableRows &Unreadable) {
  std::map<std::string, scheduling::JobProgress> Progress;
  std::vector<scheduling::JournalRow> Journal;
  for (const Row &StoredRow : Rows) {
    const std::string &Key = StoredRow.Key_.Key_;
    if (auto Number = journalNumberFromKey(Key)) {
      if (auto Entries = scheduling::decodeJournal(StoredRow.Value_))
        Journal.push_back({*Number, std::move(*Entries)});
      else
        Unreadable.add(StoredRow.Key_);
    } else if (auto Snapshot = scheduling::decodeProgress(StoredRow.Value_)) {
      Progress[Key] = std::move(*Snapshot);
    } else {
      Unreadable.add(StoredRow.Key_);
    }
  }
  for (const scheduling::JournalRow &Row : Journal)
    applyJournalRow(Row, Progress);
  for (const auto &[Job, Entry] : Progress)
    Into.restoreProgress(Job, Entry);
  for (const scheduling::JournalRow &Row : Journal)
    Into.restoreJournalRow(Row);
}

} // namespace

std::shared_ptr<Tenure>
CellOwner::findActiveTenure(const TenureRef &Reference) const {
  std::shared_ptr<Tenure> Referenced = Reference.lock();
  return Referenced == Tenure_ ? Referenced : nullptr;
}

void CellOwner::retryLoad(const TenureRef &Reference, std::string_view Table,
                          std::error_code Error, std::function<void()> Step) {
  logEvent(LogEvent::CellLoadFailed,
           {{"table", Table}, {"error", Error.message()}});
  Loop_.after(StoreRetryDelay, [this, Reference, Step = std::move(Step)] {
    if (findActiveTenure(Reference))
      Step();
  });
}

/// Loads the workers that the previous tenure may have used, the interference
/// model, the registrations, the jobs, and finally the progress of the jobs,
/// which refers to the workers of running tasks. A read that fails is repeated;
/// what was read before is kept.
void CellOwner::load(const TenureRef &Reference) {
  if (!findActiveTenure(Reference))
    return;
  Store_.readAll(
      wholePartition(KnownWorkerTable, CellPartition), StoreCallTimeout,
      [this, Reference](const Result<RowPage> &Page) {
        std::shared_ptr<Tenure> ActiveTenure = findActiveTenure(Reference);
        if (!ActiveTenure)
          return;
        if (!Page)
          return retryLoad(Reference, KnownWorkerTable, Page.error(),
                           [this, Reference] { load(Reference); });
        for (const Row &StoredRow : Page->Rows_) {
          auto Registration = scheduling::decodeStoredWorker(StoredRow.Value_);
          if (!Registration) {
            UnreadableRows_.add(StoredRow.Key_);
            continue;
          }
          Registration->Id_ = StoredRow.Key_.Key_;
          ActiveTenure->Scheduler_.restoreWorker(*Registration,
                                                 SchedulerClock::now());
        }
        loadModel(Reference);
      });
}

/// Loads the interference model of the previous tenure. Rows that cannot be
/// decoded are skipped, since the model only improves placements.
void CellOwner::loadModel(const TenureRef &Reference) {
  Store_.readAll(
      wholePartition(ModelTable, CellPartition), StoreCallTimeout,
      [this, Reference](const Result<RowPage> &Page) {
        std::shared_ptr<Tenure> ActiveTenure = findActiveTenure(Reference);
        if (!ActiveTenure)
          return;
        if (!Page)
          return retryLoad(Reference, ModelTable, Page.error(),
                           [this, Reference] { loadModel(Reference); });
        for (const Row &StoredRow : Page->Rows_) {
          auto Estimates = scheduling::decodeInterference(StoredRow.Value_);
          if (Estimates)
            ActiveTenure->Scheduler_.restoreInterference(*Estimates);
          else
            UnreadableRows_.add(StoredRow.Key_);
        }
        loadWorkers(Reference);
      });
}

void CellOwner::loadWorkers(const TenureRef &Reference) {
  Store_.readAll(wholePartition(platform::WorkerTable, ""), StoreCallTimeout,
                 [this, Reference](const Result<RowPage> &Page) {
                   if (!findActiveTenure(Reference))
                     return;
                   if (!Page)
                     return retryLoad(
                         Reference, platform::WorkerTable, Page.error(),
                         [this, Reference] { loadWorkers(Reference); });
                   for (const Row &StoredRow : Page->Rows_)
                     handleWorkerRow(StoredRow);
                   loadJobs(Reference, Page->Version_);
                 });
}

void CellOwner::loadJobs(const TenureRef &Reference,
                         std::uint64_t WorkersVersion) {
  Store_.readPartitions(
      JobTable, jobPartitions(), StoreCallTimeout,
      [this, Reference, WorkersVersion](const Result<RowPage> &Page) {
        if (!findActiveTenure(Reference))
          return;
        if (!Page)
          return retryLoad(Reference, JobTable, Page.error(),
                           [this, Reference, WorkersVersion] {
                             loadJobs(Reference, WorkersVersion);
                           });
        for (const Row &StoredRow : Page->Rows_)
          if (!cancelledJobFromKey(StoredRow.Key_.Key_))
            handleJobRow(StoredRow);
        CancelledJobs_.clear();
        for (const Row &StoredRow : Page->Rows_)
          if (auto Job = cancelledJobFromKey(StoredRow.Key_.Key_)) {
            Tenure_->JobRows_.note(StoredRow);
            CancelledJobs_.push_back(*Job);
          }
        loadProgress(Reference, WorkersVersion, Page->Version_);
      });
}

void CellOwner::loadProgress(const TenureRef &Reference,
                             std::uint64_t WorkersVersion,
                             std::uint64_t JobsVersion) {
  Store_.readAll(
      wholePartition(ProgressTable, CellPartition), StoreCallTimeout,
      [this, Reference, WorkersVersion,
       JobsVersion](const Result<RowPage> &Page) {
        std::shared_ptr<Tenure> ActiveTenure = findActiveTenure(Reference);
        if (!ActiveTenure)
          return;
        if (!Page)
          return retryLoad(Reference, ProgressTable, Page.error(),
                           [this, Reference, WorkersVersion, JobsVersion] {
                             loadProgress(Reference, WorkersVersion,
                                          JobsVersion);
                           });
        restoreProgress(Page->Rows_, ActiveTenure->Scheduler_, UnreadableRows_);
        for (const std::string &Job : std::exchange(CancelledJobs_, {}))
          ActiveTenure->Scheduler_.cancelJob(Job, SchedulerClock::now());
        ActiveTenure->JobsVersion_ = JobsVersion;
        ActiveTenure->IsLoaded_ = true;
        scheduling::SchedulerCounts Counts = ActiveTenure->Scheduler_.counts();
        logEvent(
            LogEvent::CellLoaded,
            {{"took_ms", (SchedulerClock::now() - ActiveTenure->StartedAt_) /
                             std::chrono::milliseconds(1)},
             {"jobs", toLogNumber(Counts.Jobs_)},
             {"workers", toLogNumber(Counts.Workers_)},
             {"placed", toLogNumber(Counts.PlacedTasks_)}});
        followJobs(Reference, JobsVersion);
        followWorkers(Reference, WorkersVersion);
        requestSchedulingCycle();
      });
}

void CellOwner::handleJobRow(const Row &StoredRow) {
  JobRows::News News = Tenure_->JobRows_.note(StoredRow);
  if (StoredRow.IsRemoved_ || News == JobRows::News::Old)
    return;
  TimePoint Now = SchedulerClock::now();
  if (auto Cancelled = cancelledJobFromKey(StoredRow.Key_.Key_))
    return Tenure_->Scheduler_.cancelJob(*Cancelled, Now);
  Result<scheduling::AcceptedJob> Accepted =
      decodeAcceptance(StoredRow.Key_.Key_, StoredRow.Value_);
  if (!Accepted) {
    UnreadableRows_.add(StoredRow.Key_);
    if (Accepted.error() == Errc::InvalidInput)
      if (auto Unusable =
              decodeUnusableAcceptance(StoredRow.Key_.Key_, StoredRow.Value_))
        Tenure_->Scheduler_.addUnusableJob(*Unusable, UnusableJobCause, Now);
    return;
  }
  UnreadableRows_.remove(StoredRow.Key_);
  const std::string &Id = Accepted->Id_;
  std::optional<scheduling::JobState> State = Tenure_->Scheduler_.stateOf(Id);
  bool HasNewJob = News == JobRows::News::NewJob;
  if (HasNewJob && (!State || isFinal(*State)))
    Tenure_->Scheduler_.jobsRemoved({Id});
  Tenure_->Scheduler_.addJob(*Accepted, Now);
  if (HasNewJob && Tenure_->JobRows_.isCancelled(Id))
    Tenure_->Scheduler_.cancelJob(Id, Now);
}

void CellOwner::followJobs(const TenureRef &Reference, std::uint64_t After) {
  Store_.feed(JobTable, After, OwnerFeedWait,
              [this, Reference, After](const Result<RowPage> &Page) {
                if (!findActiveTenure(Reference))
                  return;
                if (!Page && Page.error() == Errc::NotFound)
                  return rereadJobs(Reference);
                if (!Page)
                  return Loop_.after(StoreRetryDelay, [this, Reference, After] {
                    followJobs(Reference, After);
                  });
                for (const Row &StoredRow : Page->Rows_)
                  handleJobRow(StoredRow);
                if (!Page->Rows_.empty())
                  requestSchedulingCycle();
                std::uint64_t Next = std::max(After, Page->Version_);
                Tenure_->JobsVersion_ = Next;
                Duration Pause = pauseBeforeFeed(
                    Page->Rows_.size(), Duration::zero(), JobFeedInterval);
                Loop_.after(Pause, [this, Reference, Next] {
                  followJobs(Reference, Next);
                });
              });
}

void CellOwner::rereadJobs(const TenureRef &Reference) {
  if (!findActiveTenure(Reference))
    return;
  Store_.readPartitions(JobTable, jobPartitions(), StoreCallTimeout,
                        [this, Reference](const Result<RowPage> &Page) {
                          if (!findActiveTenure(Reference))
                            return;
                          if (!Page)
                            return Loop_.after(
                                StoreRetryDelay,
                                [this, Reference] { rereadJobs(Reference); });
                          for (const Row &StoredRow : Page->Rows_)
                            handleJobRow(StoredRow);
                          requestSchedulingCycle();
                          Tenure_->JobsVersion_ = Page->Version_;
                          followJobs(Reference, Page->Version_);
                        });
}

void CellOwner::removeWorker(const std::string &Id) {
  Tenure_->Calls_.channel().routes().removeWorker(Id);
  Tenure_->Scheduler_.workerDeregistered(Id, SchedulerClock::now());
}

void CellOwner::handleWorkerRow(const Row &StoredRow) {
  TimePoint Now = SchedulerClock::now();
  const std::string &Id = StoredRow.Key_.Key_;
  if (StoredRow.IsRemoved_) {
    UnreadableRows_.remove(StoredRow.Key_);
    RegisteredWorkers_.erase(Id);
    return removeWorker(Id);
  }
  Result<scheduling::WorkerEntry> Registration =
      platform::decodeWorkerRegistration(Id, StoredRow.Value_);
  if (!Registration) {
    UnreadableRows_.add(StoredRow.Key_);
    // It names no worker that may be used.
    RegisteredWorkers_.erase(Id);
    return removeWorker(Id);
  }
  UnreadableRows_.remove(StoredRow.Key_);
  RegisteredWorkers_.insert(Id);
  Tenure_->Calls_.channel().routes().addWorker(Id, Registration->Address_,
                                               Registration->Zone_);
  Tenure_->Scheduler_.workerRegistered(*Registration, Now);
}

void CellOwner::followWorkers(const TenureRef &Reference, std::uint64_t After) {
  Store_.feed(platform::WorkerTable, After, OwnerFeedWait,
              [this, Reference, After,
               SentAt = SchedulerClock::now()](const Result<RowPage> &Page) {
                if (!findActiveTenure(Reference))
                  return;
                if (!Page && Page.error() == Errc::NotFound)
                  return rereadWorkers(Reference);
                if (!Page)
                  return Loop_.after(StoreRetryDelay, [this, Reference, After] {
                    followWorkers(Reference, After);
                  });
                for (const Row &StoredRow : Page->Rows_)
                  handleWorkerRow(StoredRow);
                requestSchedulingCycle();
                std::uint64_t Next = std::max(After, Page->Version_);
                Duration Pause = pauseBeforeFeed(Page->Rows_.size(),
                                                 SchedulerClock::now() - SentAt,
                                                 WorkerFeedInterval);
                Loop_.after(Pause, [this, Reference, Next] {
                  followWorkers(Reference, Next);
                });
              });
}

void CellOwner::rereadWorkers(const TenureRef &Reference) {
  if (!findActiveTenure(Reference))
    return;
  Store_.readAll(wholePartition(platform::WorkerTable, ""), StoreCallTimeout,
                 [this, Reference](const Result<RowPage> &Page) {
                   std::shared_ptr<Tenure> ActiveTenure =
                       findActiveTenure(Reference);
                   if (!ActiveTenure)
                     return;
                   if (!Page)
                     return Loop_.after(StoreRetryDelay, [this, Reference] {
                       rereadWorkers(Reference);
                     });
                   std::set<std::string> PreviouslyRegistered =
                       std::exchange(RegisteredWorkers_, {});
                   for (const Row &StoredRow : Page->Rows_)
                     handleWorkerRow(StoredRow);
                   for (const std::string &Id : PreviouslyRegistered)
                     if (!RegisteredWorkers_.contains(Id))
                       removeWorker(Id);
                   requestSchedulingCycle();
                   followWorkers(Reference, Page->Version_);
                 });
}

} // namespace filbertspring::node
