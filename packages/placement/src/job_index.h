#ifndef FILBERTSPRING_PLACEMENT_JOB_INDEX_H
#define FILBERTSPRING_PLACEMENT_JOB_INDEX_H

/// \file
/// The jobs known to a scheduler, with queues of the jobs that have waiting
/// tasks.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/placement/scheduler_view.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring::placement {

/// One job as it was last read or written.
struct JobEntry {
  JobRecord Record_;
  RowVersion Version_ = AbsentVersion;
  /// Set while a transaction of this scheduler that writes the job is pending.
  bool Locked_ = false;
  /// Set when the row may have changed and has to be read again.
  bool Stale_ = false;
  bool Queued_ = false;
  TimePoint EligibleAt_{};
  /// When a task first found no room or quota since a task of the job was last
  /// claimed.
  std::optional<TimePoint> PassedOverSince_;
  /// When a task last found room but no quota.
  std::optional<TimePoint> QuotaUsedAt_;
  WaitReason LastWaitReason_ = WaitReason::NotConsidered;
  /// Indexes of the waiting tasks.
  std::set<std::int32_t> WaitingTaskIndexes_;
};

/// The sort key of a job in a queue: oldest first.
struct QueueKey {
  std::int64_t SubmittedMs_ = 0;
  JobId Id_;

  friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// Owns the jobs. Jobs with waiting tasks that may be placed now are queued by
/// contract and urgency, oldest first. Contracts are ordered by the share of
/// capacity that was allocated to them, divided by their weight. Operations are
/// logarithmic in the jobs unless stated otherwise.
class JobIndex {
public:
  /// Inserts a job or replaces its row by a newer one, and removes the job from
  /// its queue. The caller then calls updateQueue(). Linear in its tasks.
  JobEntry &upsert(const JobRecord &Record, RowVersion Version);
  JobEntry *find(const JobId &Id);
  const JobEntry *find(const JobId &Id) const;
  void erase(const JobId &Id);

  /// Queues the job if it has waiting tasks, is neither locked nor stale, and
  /// its EligibleAt_ has passed; removes it from its queue otherwise.
  void updateQueue(JobEntry &Entry, TimePoint Now);

  /// Returns the contracts with queued jobs of this urgency, those with the
  /// least allocated share first. Linear in the contracts.
  std::vector<ContractName> contractsByShare(bool Urgent) const;
  /// Returns up to \p Count queued jobs of a contract: the oldest for one half,
  /// and for the other half those after the cursor of the queue.
  std::vector<JobId> candidates(const ContractName &Contract, bool Urgent,
                                std::size_t Count) const;
  /// Moves the cursor of the queue of \p Last behind this job, or to the start
  /// when it is the last one, so that the next call of candidates() returns
  /// other jobs.
  void moveCursorBehind(const JobId &Last);
  /// Adds to the share of capacity that was allocated to a contract.
  void addShare(const ContractName &Contract, double Share);
  double shareOf(const ContractName &Contract) const;

  const std::map<JobId, JobEntry> &jobs() const { return Jobs_; }
  /// Returns a number that increases whenever a job enters a queue.
  std::uint64_t generation() const { return Generation_; }
  bool hasQueuedJobs() const { return QueuedCount_ > 0; }

private:
  struct Queue {
    std::set<QueueKey> Keys_;
    /// candidates() fills its second half with the jobs after this one.
    std::optional<QueueKey> Cursor_;
  };
  struct ContractQueues {
    double AllocatedShare_ = 0.0;
    Queue Urgent_;
    Queue Normal_;
  };

  Queue &queueOf(const JobEntry &Entry);
  const Queue *findQueue(const ContractName &Contract, bool Urgent) const;
  void enqueue(JobEntry &Entry);
  void dequeue(JobEntry &Entry);
  double leastQueuedShare() const;

  std::map<JobId, JobEntry> Jobs_;
  std::map<ContractName, ContractQueues> Contracts_;
  std::uint64_t Generation_ = 0;
  std::size_t QueuedCount_ = 0;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_INDEX_H
