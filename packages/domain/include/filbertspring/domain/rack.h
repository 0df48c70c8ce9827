#ifndef FILBERTSPRING_DOMAIN_RACK_H
#define FILBERTSPRING_DOMAIN_RACK_H

/// \file
/// A rack: its workers, the resources committed on them, and the entry instance
/// that schedules it. The table stores one row per rack, and each change of
/// committed capacity is a conditional write of that row.

#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/result.h"
#include "filbertspring/domain/task.h"

#include <cstdint>
#include <vector>

namespace filbertspring {

/// Capacity committed to one attempt on one worker.
struct Assignment {
  AttemptRef Attempt_;
  ContractName Contract_;
  Resources Size_;
};

/// A worker and its assignments.
struct RackWorker {
  WorkerName Name_;
  Resources Capacity_;
  /// Capacity reserved for the services that run on the worker.
  Resources Reserved_;
  std::vector<Assignment> Assignments_;

  /// Returns reserved plus assigned resources. Linear in the assignments.
  Resources committed() const;
  /// Returns the capacity left for new assignments; it may be negative after
  /// the platform has reduced the capacity of the worker. Linear in the
  /// assignments.
  Resources free() const { return Capacity_ - committed(); }
};

/// The part of a contract's quota that one rack may commit.
struct QuotaGrant {
  ContractName Contract_;
  Resources Amount_;
};

/// The stored fields of a rack.
struct RackRecord {
  RackName Name_;
  ZoneName Zone_;
  /// The entry instance that schedules the rack; empty when none does.
  InstanceName Owner_;
  /// Incremented with each change of owner. Workers refuse commands with a
  /// lower epoch than the highest that they have seen.
  std::int64_t Epoch_ = 0;
  std::vector<RackWorker> Workers_;
  std::vector<QuotaGrant> Grants_;
};

/// A rack that enforces its invariants: no worker is committed beyond its
/// capacity, no contract beyond its grant in this rack, and no task twice.
class Rack {
public:
  /// Makes a rack of a stored \p Record. Errors: InvalidInput when two workers
  /// have the same name or a task is assigned twice.
  static Result<Rack> restore(RackRecord Record);

  const RackRecord &record() const { return Record_; }

  /// Returns the worker called \p Name, or null. The rack owns it.
  const RackWorker *findWorker(const WorkerName &Name) const;

  /// Returns the resources that are committed to \p Contract on the rack.
  /// Linear in the assignments.
  Resources usedBy(const ContractName &Contract) const;
  /// Returns the grant of \p Contract; zero when it has none.
  Resources grantOf(const ContractName &Contract) const;

  /// Commits \p Claim on \p Worker. Errors: UnknownWorker; Duplicate when any
  /// attempt of the task is assigned in this rack; InvalidInput for a negative
  /// size; CapacityExceeded; QuotaExceeded.
  Status claim(const WorkerName &Worker, const Assignment &Claim);

  /// Releases the assignment of \p Attempt. Errors: UnknownTask; StaleAttempt
  /// when another attempt of the task is assigned.
  Status release(const AttemptRef &Attempt);

  /// Sets the grant of \p Contract. Errors: QuotaExceeded when it is less than
  /// what is in use; InvalidInput when negative.
  Status setGrant(const ContractName &Contract, const Resources &Amount);

  /// Makes \p Owner the scheduler of the rack and returns the new epoch.
  std::int64_t takeOver(const InstanceName &Owner);

  /// Adds \p Worker, or updates its capacity and reservation when it exists.
  /// Its assignments stay, even if they exceed the new capacity.
  void upsertWorker(const WorkerName &Worker, const Resources &Capacity,
                    const Resources &Reserved);
  /// Removes a worker without assignments. Errors: UnknownWorker;
  /// InvalidTransition when it has assignments.
  Status removeWorker(const WorkerName &Worker);

private:
  explicit Rack(RackRecord Record) : Record_(std::move(Record)) {}
  RackWorker *findMutableWorker(const WorkerName &Name);

  RackRecord Record_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_RACK_H
