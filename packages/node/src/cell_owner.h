#ifndef FILBERTSPRING_NODE_CELL_OWNER_H
#define FILBERTSPRING_NODE_CELL_OWNER_H

/// \file
/// Ownership of a cell: watching the owner's row, taking it over, and running
/// the scheduler while it is held.

#include "filbertspring/node/node_settings.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/scheduler.h"
#include "store_client.h"
#include "worker_calls.h"

#include <memory>
#include <set>
#include <string>

namespace filbertspring::node {

/// One tenure: the scheduler and what feeds it.
struct Tenure {
  Tenure(EventLoop &Loop, CounterRegistry &Counters,
         scheduling::SchedulerSettings Settings, TimePoint Now,
         std::function<void()> Changed)
      : Scheduler_(Settings, Now),
        Calls_(Loop, Counters, Scheduler_, Settings.OwnerToken_,
               std::move(Changed)) {}

  scheduling::Scheduler Scheduler_;
  WorkerCalls Calls_;
  bool IsLoaded_ = false;
  bool IsWriting_ = false;
  /// A write of unknown outcome may still land: the next one must change the
  /// owner's row.
  bool MustRewrite_ = false;
  TimePoint NextWriteAt_{};
  std::string StoredStatus_;
  TimePoint NextStatusAt_{};
  std::string StoredModel_;
  TimePoint NextModelAt_{};
  TimePoint NextRemovalAt_{};
};

/// What one transaction of an owner holds.
struct SentWrites {
  scheduling::PendingWrites Writes_;
  bool HasOwnerRow_ = false;
  /// Empty if they are not part of it.
  std::string Status_;
  std::string Model_;
  TimePoint SentAt_{};
};

/// A candidate for a cell, and its owner while the lease is held.
class CellOwner {
public:
  CellOwner(EventLoop &Loop, StoreClient &Store, CounterRegistry &Counters,
            const NodeSettings &Settings, scheduling::OwnerLease &Lease);

  void start();
  void configure(std::shared_ptr<const scheduling::QueueTable> Queues);
  void setClosedZones(std::set<std::string> Zones);
  /// The owner's row was read again.
  void leaseChanged();
  /// A job of this cell was accepted; the store's feed tells it later, too.
  void jobAccepted(const scheduling::Row &Stored);
  /// Gives the cell up for another instance and never takes it again.
  void release();
  bool isOwner() const { return Tenure_ != nullptr; }

private:
  void considerTakeover();
  void takeOver();
  void beginTenure();
  void endTenure(const char *Cause);

  using TenureRef = std::weak_ptr<Tenure>;
  void load(const TenureRef &Of);
  void loadModel(const TenureRef &Of);
  void loadWorkers(const TenureRef &Of);
  void loadJobs(const TenureRef &Of, std::uint64_t WorkersVersion);
  void loadProgress(const TenureRef &Of, std::uint64_t WorkersVersion,
                    std::uint64_t JobsVersion);
  void retryLoad(const TenureRef &Of);
  void followJobs(const TenureRef &Of, std::uint64_t After);
  void rereadJobs(const TenureRef &Of);
  void followWorkers(const TenureRef &Of, std::uint64_t After);
  void rereadWorkers(const TenureRef &Of);
  void jobRowSeen(const scheduling::Row &Seen);
  void workerRowSeen(const scheduling::Row &Seen);

  void tick();
  void schedulePump();
  void pump();
  void removeExpired(TimePoint Now);
  /// Removes the rows of \p Jobs, which share a partition.
  void removeJobs(const std::vector<std::string> &Jobs);
  void logNotes();
  std::string statusText() const;
  void writeIfDue(TimePoint Now);
  void addSummaries(SentWrites &Sent) const;
  scheduling::RowTransaction makeTransaction(const SentWrites &Sent) const;
  void reconcileOwnerRow();
  void writeEnded(const SentWrites &Sent,
                  const scheduling::CommitResult &Outcome);

  EventLoop &Loop_;
  StoreClient &Store_;
  CounterRegistry &Counters_;
  NodeSettings Settings_;
  scheduling::OwnerLease &Lease_;
  std::shared_ptr<Tenure> Tenure_;
  std::shared_ptr<const scheduling::QueueTable> Queues_;
  std::set<std::string> ClosedZones_;
  /// Registered workers in the last complete reading.
  std::set<std::string> Listed_;
  /// Cancelled jobs of which the progress is not read yet.
  std::vector<std::string> Cancellations_;
  /// How long the owner before had been silent at the takeover.
  Duration Silence_{};
  bool IsTakingOver_ = false;
  bool IsReleased_ = false;
  bool IsPumpScheduled_ = false;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CELL_OWNER_H
