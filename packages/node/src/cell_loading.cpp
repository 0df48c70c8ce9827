/// \file
/// How a new owner reads the cell, and how it follows the rows of others.

#include "cell_owner.h"
#include "cell_reading.h"
#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/worker_codec.h"
#include "rows.h"

namespace filbertspring::node {
namespace {

using scheduling::Row;
using scheduling::RowPage;

/// How long the owner's feeds wait for a change.
constexpr Duration OwnerFeedWait = std::chrono::milliseconds(1500);
/// Registrations change all the time; a drain has to be seen within seconds.
constexpr Duration WorkerFeedPause = std::chrono::milliseconds(250);
/// Accepted jobs come one by one; reading them in small groups saves calls.
constexpr Duration JobFeedPause = std::chrono::milliseconds(20);

std::vector<std::string> jobPartitions() {
  std::vector<std::string> Names;
  for (unsigned Number = 0; Number < JobPartitionCount; ++Number)
    Names.push_back(jobPartition(Number));
  return Names;
}

std::int64_t count(std::size_t Value) {
  return static_cast<std::int64_t>(Value);
}

} // namespace

void CellOwner::retryLoad(const TenureRef &Of) {
  Loop_.after(RetryPause, [this, Of] { load(Of); });
}

/// Reads the workers that the tenure before may have used, the registrations,
/// the jobs, and last their progress, which names the workers of tasks.
void CellOwner::load(const TenureRef &Of) {
  if (Of.expired())
    return;
  Store_.readAll(wholeTable(KnownWorkerTable, CellPartition), StoreTimeout,
                 [this, Of](const Result<RowPage> &Page) {
                   std::shared_ptr<Tenure> Now = Of.lock();
                   if (!Now)
                     return;
                   if (!Page)
                     return retryLoad(Of);
                   for (const Row &Known : Page->Rows_) {
                     auto Entry = scheduling::decodeStoredWorker(Known.Value_);
                     if (!Entry)
                       continue;
                     Entry->Id_ = Known.Key_.Key_;
                     Now->Scheduler_.restoreWorker(*Entry,
                                                   SchedulerClock::now());
                   }
                   loadModel(Of);
                 });
}

/// Reads what the tenure before learned; it is of use, but not needed.
void CellOwner::loadModel(const TenureRef &Of) {
  Store_.readAll(wholeTable(ModelTable, CellPartition), StoreTimeout,
                 [this, Of](const Result<RowPage> &Page) {
                   std::shared_ptr<Tenure> Now = Of.lock();
                   if (!Now)
                     return;
                   if (!Page)
                     return retryLoad(Of);
                   for (const Row &Seen : Page->Rows_) {
                     auto Learned = scheduling::decodeInterference(Seen.Value_);
                     if (Learned)
                       Now->Scheduler_.restoreInterference(*Learned);
                     else
                       logEvent(
                           LogEvent::ForeignRow,
                           {{"table", ModelTable}, {"key", Seen.Key_.Key_}});
                   }
                   loadWorkers(Of);
                 });
}

void CellOwner::loadWorkers(const TenureRef &Of) {
  Store_.readAll(wholeTable(platform::WorkerTable, ""), StoreTimeout,
                 [this, Of](const Result<RowPage> &Page) {
                   if (Of.expired())
                     return;
                   if (!Page)
                     return retryLoad(Of);
                   for (const Row &Seen : Page->Rows_)
                     workerRowSeen(Seen);
                   loadJobs(Of, Page->Version_);
                 });
}

void CellOwner::loadJobs(const TenureRef &Of, std::uint64_t WorkersVersion) {
  Store_.readPartitions(
      JobTable, jobPartitions(), StoreTimeout,
      [this, Of, WorkersVersion](const Result<RowPage> &Page) {
        if (Of.expired())
          return;
        if (!Page)
          return retryLoad(Of);
        for (const Row &Seen : Page->Rows_)
          if (!cancelledJobOf(Seen.Key_.Key_))
            jobRowSeen(Seen);
        Cancellations_.clear();
        for (const Row &Seen : Page->Rows_)
          if (auto Job = cancelledJobOf(Seen.Key_.Key_))
            Cancellations_.push_back(*Job);
        loadProgress(Of, WorkersVersion, Page->Version_);
      });
}

void CellOwner::loadProgress(const TenureRef &Of, std::uint64_t WorkersVersion,
                             std::uint64_t JobsVersion) {
  Store_.readAll(
      wholeTable(ProgressTable, CellPartition), StoreTimeout,
      [this, Of, WorkersVersion, JobsVersion](const Result<RowPage> &Page) {
        std::shared_ptr<Tenure> Now = Of.lock();
        if (!Now)
          return;
        if (!Page)
          return retryLoad(Of);
        for (const Row &Seen : Page->Rows_) {
          auto Progress = scheduling::decodeProgress(Seen.Value_);
          if (Progress)
            Now->Scheduler_.restoreProgress(Seen.Key_.Key_, *Progress);
          else
            logEvent(LogEvent::ForeignRow,
                     {{"table", ProgressTable}, {"key", Seen.Key_.Key_}});
        }
        for (const std::string &Job : std::exchange(Cancellations_, {}))
          Now->Scheduler_.cancelJob(Job, SchedulerClock::now());
        Now->IsLoaded_ = true;
        scheduling::SchedulerCounts Counts = Now->Scheduler_.counts();
        logEvent(LogEvent::CellLoaded,
                 {{"jobs", count(Counts.Jobs_)},
                  {"workers", count(Counts.Workers_)},
                  {"placed", count(Counts.PlacedTasks_)}});
        followJobs(Of, JobsVersion);
        followWorkers(Of, WorkersVersion);
        schedulePump();
      });
}

void CellOwner::jobRowSeen(const Row &Seen) {
  if (Seen.IsRemoved_)
    return;
  TimePoint Now = SchedulerClock::now();
  if (auto Cancelled = cancelledJobOf(Seen.Key_.Key_))
    return Tenure_->Scheduler_.cancelJob(*Cancelled, Now);
  Result<scheduling::AcceptedJob> Accepted =
      decodeAcceptance(Seen.Key_.Key_, Seen.Value_);
  if (!Accepted) {
    logEvent(LogEvent::ForeignRow,
             {{"table", JobTable}, {"key", Seen.Key_.Key_}});
    return;
  }
  Tenure_->Scheduler_.addJob(*Accepted, Now);
}

void CellOwner::followJobs(const TenureRef &Of, std::uint64_t After) {
  Store_.feed(JobTable, After, OwnerFeedWait,
              [this, Of, After](const Result<RowPage> &Page) {
                if (Of.expired())
                  return;
                if (!Page && Page.error() == Errc::NotFound)
                  return rereadJobs(Of);
                if (!Page)
                  return Loop_.after(
                      RetryPause, [this, Of, After] { followJobs(Of, After); });
                for (const Row &Seen : Page->Rows_)
                  jobRowSeen(Seen);
                if (!Page->Rows_.empty())
                  schedulePump();
                std::uint64_t Next = std::max(After, Page->Version_);
                Loop_.after(JobFeedPause,
                            [this, Of, Next] { followJobs(Of, Next); });
              });
}

void CellOwner::rereadJobs(const TenureRef &Of) {
  if (Of.expired())
    return;
  Store_.readPartitions(JobTable, jobPartitions(), StoreTimeout,
                        [this, Of](const Result<RowPage> &Page) {
                          if (Of.expired())
                            return;
                          if (!Page)
                            return Loop_.after(RetryPause,
                                               [this, Of] { rereadJobs(Of); });
                          for (const Row &Seen : Page->Rows_)
                            jobRowSeen(Seen);
                          schedulePump();
                          followJobs(Of, Page->Version_);
                        });
}

void CellOwner::workerRowSeen(const Row &Seen) {
  TimePoint Now = SchedulerClock::now();
  const std::string &Id = Seen.Key_.Key_;
  if (Seen.IsRemoved_) {
    Listed_.erase(Id);
    return Tenure_->Scheduler_.workerDeregistered(Id, Now);
  }
  Result<scheduling::WorkerEntry> Entry =
      platform::decodeWorkerRegistration(Id, Seen.Value_);
  if (!Entry) {
    logEvent(LogEvent::ForeignRow,
             {{"table", platform::WorkerTable}, {"key", Id}});
    return;
  }
  Listed_.insert(Id);
  Tenure_->Scheduler_.workerRegistered(*Entry, Now);
}

void CellOwner::followWorkers(const TenureRef &Of, std::uint64_t After) {
  Store_.feed(platform::WorkerTable, After, OwnerFeedWait,
              [this, Of, After](const Result<RowPage> &Page) {
                if (Of.expired())
                  return;
                if (!Page && Page.error() == Errc::NotFound)
                  return rereadWorkers(Of);
                std::uint64_t Next = After;
                if (Page) {
                  for (const Row &Seen : Page->Rows_)
                    workerRowSeen(Seen);
                  Next = std::max(After, Page->Version_);
                  schedulePump();
                }
                Loop_.after(WorkerFeedPause,
                            [this, Of, Next] { followWorkers(Of, Next); });
              });
}

void CellOwner::rereadWorkers(const TenureRef &Of) {
  if (Of.expired())
    return;
  Store_.readAll(
      wholeTable(platform::WorkerTable, ""), StoreTimeout,
      [this, Of](const Result<RowPage> &Page) {
        std::shared_ptr<Tenure> Now = Of.lock();
        if (!Now)
          return;
        if (!Page)
          return Loop_.after(RetryPause, [this, Of] { rereadWorkers(Of); });
        std::set<std::string> Before = std::exchange(Listed_, {});
        for (const Row &Seen : Page->Rows_)
          workerRowSeen(Seen);
        for (const std::string &Id : Before)
          if (!Listed_.contains(Id))
            Now->Scheduler_.workerDeregistered(Id, SchedulerClock::now());
        schedulePump();
        followWorkers(Of, Page->Version_);
      });
}

} // namespace filbertspring::node
