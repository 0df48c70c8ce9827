#ifndef FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H
#define FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H

/// \file
/// Tells workers that fail everything from jobs that fail everywhere.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace filbertspring::placement {

/// When a worker is set aside, and how it comes back.
struct EvidenceSettings {
  /// Different jobs that must fail on a worker, without a success between.
  std::size_t JobsToSetAside_ = 3;
  /// Credible workers on which a job must fail until its failures say nothing
  /// about workers.
  std::size_t WorkersToSuspectJob_ = 2;
  /// How long a worker is set aside at first; doubled with each failed trial.
  Duration SetAside_ = std::chrono::seconds(30);
  Duration SetAsideMax_ = std::chrono::minutes(10);
  /// Attempts at one time after as many successful trials; doubled with each
  /// success until it is no longer bounded.
  std::size_t UnboundedFrom_ = 16;
  /// Evidence older than this is forgotten.
  Duration Memory_ = std::chrono::hours(1);
};

/// The attempts that a worker may run at one time when it is healthy.
inline constexpr std::size_t UnboundedAllowance =
    std::numeric_limits<std::size_t>::max();

/// Counts ends of attempts by worker and by job. A failure is evidence against
/// both; a success of either clears it. A worker is credible once something
/// has succeeded on it since its last failures, and only failures on credible
/// workers make a job suspect, so that neither broken workers nor broken jobs
/// can pass the blame on. Not thread-safe.
class FailureEvidence {
public:
  explicit FailureEvidence(EvidenceSettings Settings = {})
      : Settings_(Settings) {}

  /// Takes in the end of an attempt at \p Now. Returns true when the worker is
  /// set aside by it. Logarithmic in the workers and jobs; linear in the jobs
  /// that failed on the worker.
  bool record(const WorkerName &Worker, const JobId &Job, bool Failed,
              TimePoint Now);

  /// Returns how many attempts \p Worker may run at one time.
  std::size_t allowance(const WorkerName &Worker, TimePoint Now) const;

  /// Returns true when \p Job failed on enough credible workers.
  bool isSuspect(const JobId &Job) const;

  /// Returns when the next worker that is set aside may be tried.
  std::optional<TimePoint> nextTrial(TimePoint Now) const;

  /// Forgets old evidence. Linear in all evidence; call it now and then.
  void discardExpired(TimePoint Now);

private:
  struct WorkerEvidence {
    std::set<JobId> FailedJobs_;
    bool Succeeded_ = false;
    /// Successful trials since it was set aside; nothing when it is healthy.
    std::optional<std::size_t> Trials_;
    std::size_t TimesSetAside_ = 0;
    TimePoint Until_{};
    TimePoint Last_{};
  };
  struct JobEvidence {
    std::set<WorkerName> FailedOn_;
    TimePoint Last_{};
  };

  void succeed(WorkerEvidence &Worker, const JobId &Job);
  bool fail(WorkerEvidence &Worker, const WorkerName &Name, const JobId &Job,
            TimePoint Now);
  std::size_t countedFailures(const WorkerEvidence &Worker) const;
  void setAside(WorkerEvidence &Worker, TimePoint Now) const;

  EvidenceSettings Settings_;
  std::map<WorkerName, WorkerEvidence> Workers_;
  std::map<JobId, JobEvidence> Jobs_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H
