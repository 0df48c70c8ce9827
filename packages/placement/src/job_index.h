#ifndef FILBERTSPRING_PLACEMENT_JOB_INDEX_H
#define FILBERTSPRING_PLACEMENT_JOB_INDEX_H

/// \file
/// The jobs that a scheduler knows, and the order of those that wait.

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
  /// Set while a transaction of this scheduler writes the job.
  bool Locked_ = false;
  /// Set when the row has changed in a way that is not known yet.
  bool Stale_ = false;
  bool Queued_ = false;
  TimePoint EligibleAt_{};
  WaitReason LastWaitReason_ = WaitReason::NotConsidered;
  /// Tasks that wait.
  std::set<std::int32_t> WaitingTaskIndexes_;
};

/// The place of a job in the queue of its contract.
struct WaitingKey {
  std::int64_t SubmittedMs_ = 0;
  JobId Id_;

  friend auto operator<=>(const WaitingKey &, const WaitingKey &) = default;
};

/// Owns the jobs. Waiting jobs that may be placed now stand in a queue for
/// each contract and urgency, oldest first; a contract's turn comes by the
/// share of capacity that it was served, divided by its weight. Operations are
/// logarithmic in the jobs unless said otherwise.
class JobIndex {
public:
  /// Takes in a row that is newer than the one held. Linear in its tasks. The
  /// caller queues it again.
  JobEntry &upsert(const JobRecord &Record, RowVersion Version);
  JobEntry *find(const JobId &Id);
  const JobEntry *find(const JobId &Id) const;
  void erase(const JobId &Id);

  /// Puts the job where its state says: in its queue when it has waiting tasks
  /// and is neither locked nor stale and its time has come, else nowhere.
  void updateQueue(JobEntry &Entry, TimePoint Now);

  /// Returns the contracts with queued jobs of this urgency, least served
  /// first. Linear in the contracts.
  std::vector<ContractName> turn(bool Urgent) const;
  /// Returns up to \p Count queued jobs of a contract: half of them the
  /// oldest, the others from where the last call with \p Passed ended.
  std::vector<JobId> candidates(const ContractName &Contract, bool Urgent,
                                std::size_t Count) const;
  /// Remembers that the jobs up to \p Last were passed over.
  void passOver(const JobId &Last);
  /// Counts capacity that a contract was served.
  void serve(const ContractName &Contract, double Share);
  double servedOf(const ContractName &Contract) const;

  const std::map<JobId, JobEntry> &jobs() const { return Jobs_; }
  /// Grows whenever a job enters a queue.
  std::uint64_t generation() const { return Generation_; }
  bool hasQueuedJobs() const { return QueuedCount_ > 0; }

private:
  struct Queue {
    std::set<WaitingKey> Keys_;
    std::optional<WaitingKey> Resume_;
  };
  struct Share {
    double Served_ = 0.0;
    Queue Urgent_;
    Queue Normal_;
  };

  Queue &queueOf(const JobEntry &Entry);
  const Queue *findQueue(const ContractName &Contract, bool Urgent) const;
  void enqueue(JobEntry &Entry);
  void dequeue(JobEntry &Entry);
  double leastServed() const;

  std::map<JobId, JobEntry> Jobs_;
  std::map<ContractName, Share> Shares_;
  std::uint64_t Generation_ = 0;
  std::size_t QueuedCount_ = 0;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_INDEX_H
