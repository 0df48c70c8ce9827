#ifndef FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H
#define FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H

/// \file
/// Attributes failures of attempts to faulty workers or to faulty jobs, and
/// quarantines faulty workers.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace filbertspring::placement {

/// Parameters of FailureEvidence: when a worker is quarantined, and how its
/// quarantine ends.
struct FailureEvidenceSettings {
  /// A worker is quarantined after this many different jobs failed on it
  /// without a success in between.
  std::size_t JobsToQuarantine_ = 3;
  /// A job is suspect after it failed on this many credible workers. Failures
  /// of a suspect job are no evidence against workers.
  std::size_t WorkersToSuspectJob_ = 2;
  /// Length of the first quarantine; doubled with each failed trial, up to
  /// MaxQuarantine_.
  Duration FirstQuarantine_ = std::chrono::seconds(30);
  Duration MaxQuarantine_ = std::chrono::minutes(10);
  /// After a quarantine a worker is on trial: it may run one attempt at a time,
  /// and twice as many after each success. The trial ends when the limit would
  /// reach this. An attempt that has run for FirstQuarantine_ without a failure
  /// no longer counts towards the limit.
  std::size_t UnboundedFromAllowance_ = 16;
  /// Evidence older than this is discarded.
  Duration Retention_ = std::chrono::hours(1);
};

/// The allowance of a healthy worker: its concurrent attempts are not limited.
inline constexpr std::size_t UnboundedAllowance =
    std::numeric_limits<std::size_t>::max();

/// Evaluates the outcomes of attempts by worker and by job. A failure is
/// evidence against both the worker and the job; a success clears the evidence
/// against both. A worker is credible if an attempt has succeeded on it since
/// its last quarantine and it is not in quarantine or on trial. Only failures
/// on credible workers make a job suspect: otherwise several broken workers
/// would make healthy jobs suspect, and their failures there would no longer
/// count against the workers. Failures of suspect jobs do not count against
/// workers: otherwise broken jobs would put healthy workers into quarantine.
/// Not thread-safe.
class FailureEvidence {
public:
  explicit FailureEvidence(FailureEvidenceSettings Settings = {})
      : Settings_(Settings) {}

  /// Records the outcome of an attempt at \p Now. Returns true when it puts the
  /// worker into quarantine. Logarithmic in the workers and jobs; linear in the
  /// jobs that failed on the worker.
  bool record(const WorkerName &Worker, const JobId &Job, bool Failed,
              TimePoint Now);

  /// Returns how many attempts \p Worker may run concurrently, besides those
  /// that have proved themselves.
  std::size_t allowance(const WorkerName &Worker, TimePoint Now) const;

  /// Returns the allowance when no quarantine is longer than the first one.
  /// Failures on most workers of a rack say more of the jobs than of a worker,
  /// so that there a failed trial does not lengthen the quarantine.
  std::size_t allowanceAmongSuspects(const WorkerName &Worker,
                                     TimePoint Now) const;

  /// Returns true for an attempt that has run long enough to say that its
  /// worker does not fail everything.
  bool hasProvedItself(Duration Running) const {
    return Running >= Settings_.FirstQuarantine_;
  }

  /// Returns true when \p Job has failed on WorkersToSuspectJob_ credible
  /// workers.
  bool isSuspect(const JobId &Job) const;

  /// Returns the earliest end of a quarantine after \p Now, if there is one.
  std::optional<TimePoint> nextTrial(TimePoint Now) const;

  /// Discards evidence older than the retention. Linear in all evidence; to be
  /// called periodically.
  void discardExpired(TimePoint Now);

private:
  struct WorkerEvidence {
    std::set<JobId> FailedJobs_;
    bool Succeeded_ = false;
    /// Successful attempts since the last quarantine began; std::nullopt for a
    /// healthy worker.
    std::optional<std::size_t> SuccessfulTrials_;
    std::size_t QuarantineCount_ = 0;
    TimePoint QuarantinedSince_{};
    TimePoint QuarantinedUntil_{};
    TimePoint LastOutcomeAt_{};
  };
  struct JobEvidence {
    std::set<WorkerName> FailedOn_;
    TimePoint LastOutcomeAt_{};
  };

  void recordSuccess(WorkerEvidence &Worker, const JobId &Job);
  bool recordFailure(WorkerEvidence &Worker, const WorkerName &Name,
                     const JobId &Job, TimePoint Now);
  std::size_t allowanceAfter(const WorkerName &Worker, TimePoint Now,
                             Duration MaxLength) const;
  std::size_t countedFailures(const WorkerEvidence &Worker) const;
  void quarantine(WorkerEvidence &Worker, TimePoint Now) const;

  FailureEvidenceSettings Settings_;
  std::map<WorkerName, WorkerEvidence> Workers_;
  std::map<JobId, JobEvidence> Jobs_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_FAILURE_EVIDENCE_H
