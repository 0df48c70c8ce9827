#ifndef FILBERTSPRING_NODE_CELL_OWNER_H
#define FILBERTSPRING_NODE_CELL_OWNER_H

/// \file
/// Ownership of a cell: takes the owner's row over when its holder no longer
/// renews it, and runs the scheduler while this instance holds it.

#include "filbertspring/node/node_settings.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/predecessor_leases.h"
#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/scheduling/start_admission.h"
#include "job_rows.h"
#include "store_client.h"
#include "successor_search.h"
#include "transaction_size.h"
#include "unreadable_rows.h"
#include "worker_calls.h"
#include "workspace_metrics.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertspring::node {

/// The state of one tenure, the time during which this instance owns the cell
/// without interruption.
struct Tenure {
  Tenure(EventLoop &Loop, CounterRegistry &Counters, std::string OwnAddress,
         scheduling::SchedulerSettings Settings, TimePoint Now,
         std::function<void()> Changed)
      : StartedAt_(Now), Scheduler_(Settings, Now),
        Calls_(Loop, Counters, Scheduler_, std::move(OwnAddress),
               Settings.OwnerToken_, std::move(Changed)) {}

  /// Returns whether further workers may be noted. One that answers again needs
  /// a write of the owner's row before its next lease.
  bool mayAddNotes() const { return FailedCommits_ == 0; }

  TimePoint StartedAt_;
  scheduling::Scheduler Scheduler_;
  scheduling::StartAdmission Admission_;
  WorkerCalls Calls_;
  bool IsLoaded_ = false;
  bool IsCommitting_ = false;
  /// A transaction of unknown outcome may still take effect. The next one must
  /// write the owner's row, so that the late one fails its condition on it.
  bool MustWriteOwnerRow_ = false;
  TimePoint NextCommitAt_{};
  TransactionSize TransactionSize_;
  /// The number of transactions that failed since the last one was stored.
  std::int64_t FailedCommits_ = 0;
  TimePoint NextFailureLogAt_{};
  std::string StoredStatus_;
  TimePoint NextStatusAt_{};
  std::string StoredModel_;
  TimePoint NextModelAt_{};
  TimePoint NextRemovalAt_{};
  JobRows JobRows_;
  /// All changes of the jobs' rows up to this version have been handled.
  std::uint64_t JobsVersion_ = 0;
  /// The waits for places that the counters of the process include.
  scheduling::PlaceWaitCounts CountedPlaceWaits_{};
};

/// The content of one transaction of the owner.
struct CellTransaction {
  scheduling::PendingWrites Writes_;
  std::optional<scheduling::OwnerRecord> Owner_;
  /// The encoded status and model; empty if the transaction does not write
  /// them.
  std::string Status_;
  std::string Model_;
  TimePoint SentAt_{};
  /// For logs only: the number of rows, the bytes of their values, and the key
  /// of the largest one.
  std::size_t Rows_ = 0;
  std::size_t Bytes_ = 0;
  std::string LargestRow_;
};

/// A candidate for the ownership of the cell, and its owner while this instance
/// holds the lease.
class CellOwner {
public:
  CellOwner(EventLoop &Loop, StoreClient &Store, CounterRegistry &Counters,
            const NodeSettings &Settings, scheduling::OwnerLease &Lease);

  void start();
  void configure(std::shared_ptr<const scheduling::QueueTable> Queues);
  void setClosedZones(std::set<std::string> Zones);
  /// To be called after each read of the owner's row. Ends or starts a tenure
  /// as the lease requires.
  void handleLeaseChange();
  /// Handles a newly stored acceptance or cancellation before the store's
  /// change feed delivers it; receiving it twice has no effect.
  void handleStoredJobRow(const scheduling::Row &StoredRow);
  /// Replaces the other instances that may call workers for the owner.
  void setRelays(std::vector<RelayCandidate> Candidates);
  /// Handles answers of workers that another instance called.
  void handleWorkerAnswers(WorkerAnswerBatch Batch);
  /// Releases the cell to another instance. This instance never takes it over
  /// again.
  void release();
  bool isOwner() const { return Tenure_ != nullptr; }
  /// Returns whether this instance takes the cell over once it is released.
  bool isCandidate() const { return Queues_ && !IsReleased_ && !Tenure_; }

private:
  void takeOverIfDue();
  void takeOver();
  void beginTenure();
  /// Returns the capacity of the strongest announced instance.
  double strongestCores() const;
  void endTenure(const char *Cause);
  /// Writes to the store that this instance no longer owns the cell.
  void storeRelease();
  void handleReleaseResult(const scheduling::OwnerRecord &Released,
                           TimePoint SentAt, std::uint64_t SentVersion,
                           const scheduling::CommitResult &Outcome);
  /// Looks for a much stronger instance from time to time, and releases the
  /// cell if there is one.
  void seekSuccessor(TimePoint Now);

  using TenureRef = std::weak_ptr<Tenure>;
  /// Returns the tenure that \p Reference names if it is the present one. A
  /// tenure that has ended lives until the event loop has run its callbacks.
  std::shared_ptr<Tenure> findActiveTenure(const TenureRef &Reference) const;
  void load(const TenureRef &Reference);
  void loadModel(const TenureRef &Reference);
  void loadWorkers(const TenureRef &Reference);
  void loadJobs(const TenureRef &Reference, std::uint64_t WorkersVersion);
  void loadProgress(const TenureRef &Reference, std::uint64_t WorkersVersion,
                    std::uint64_t JobsVersion);
  /// Logs that \p Table could not be read, and repeats \p Step later.
  void retryLoad(const TenureRef &Reference, std::string_view Table,
                 std::error_code Error, std::function<void()> Step);
  void followJobs(const TenureRef &Reference, std::uint64_t After);
  void rereadJobs(const TenureRef &Reference);
  void followWorkers(const TenureRef &Reference, std::uint64_t After);
  void rereadWorkers(const TenureRef &Reference);
  void handleJobRow(const scheduling::Row &StoredRow);
  void handleWorkerRow(const scheduling::Row &StoredRow);
  /// Handles the removal of a worker's registration.
  void removeWorker(const std::string &Id);

  void tick();
  void requestSchedulingCycle();
  void runSchedulingCycle();
  void removeExpiredJobs(TimePoint Now);
  /// Removes the rows of \p Jobs, which must be in one partition.
  void removeJobs(const std::vector<JobRemoval> &Jobs);
  void handleRemovalResult(const std::vector<JobRemoval> &Jobs,
                           const scheduling::RowTransaction &Removal,
                           const scheduling::CommitResult &Outcome);
  void logSchedulerNotes();
  std::string encodeCurrentStatus() const;
  /// Adapts the limit of starts to the delay of the event loop.
  void observeLoop(TimePoint Now);
  void placeTasks();
  /// Adds what became of waits for places to the counters of the process.
  void countPlaceWaits();
  void commitIfDue(TimePoint Now);
  /// Returns the owner's row to write at \p Now.
  scheduling::OwnerRecord makeOwnerRecord(TimePoint Now);
  void addStatusAndModel(CellTransaction &Sent) const;
  scheduling::RowTransaction
  makeCellTransaction(const CellTransaction &Sent) const;
  void reconcileOwnerRow();
  void noteFailedCommit(const CellTransaction &Sent,
                        const scheduling::CommitResult &Outcome);
  void handleCommitResult(const CellTransaction &Sent,
                          const scheduling::CommitResult &Outcome);

  EventLoop &Loop_;
  StoreClient &Store_;
  CounterRegistry &Counters_;
  WorkspaceMetrics WorkspaceMetrics_{Counters_};
  NodeSettings Settings_;
  scheduling::OwnerLease &Lease_;
  std::shared_ptr<Tenure> Tenure_;
  std::shared_ptr<const scheduling::QueueTable> Queues_;
  std::set<std::string> ClosedZones_;
  std::vector<RelayCandidate> Relays_;
  /// The ids of all registered workers.
  std::set<std::string> RegisteredWorkers_;
  UnreadableRows UnreadableRows_;
  /// Cancelled jobs found while loading; they are cancelled in the scheduler
  /// once the progress of all jobs is restored.
  std::vector<std::string> CancelledJobs_;
  /// The time for which the previous owner had not renewed its row at the
  /// takeover.
  Duration PredecessorSilence_{};
  scheduling::PredecessorLeases PredecessorLeases_;
  /// Until when the owners before the present tenure may grant leases, and the
  /// leases that their row noted. As they were read before the last takeover:
  /// the new row may be read before the takeover is answered.
  TimePoint PredecessorGrantsEnd_{};
  scheduling::NotedLeases NotedLeases_;
  /// When this tenure and the last ones before it had begun.
  scheduling::TenureStarts TenureStarts_;
  /// The instance that owned the cell before; empty if it released the cell.
  std::string Predecessor_;
  bool IsTakingOver_ = false;
  bool IsReleased_ = false;
  /// The release of an ended tenure is not stored yet.
  bool IsReleasing_ = false;
  SuccessorSearch SuccessorSearch_;
  TimePoint NextSuccessorSearchAt_{};
  /// This instance does not take the cell over before this time.
  TimePoint TakeoverPauseEnd_{};
  bool IsCycleRequested_ = false;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CELL_OWNER_H
