#ifndef FILBERTSPRING_SCHEDULING_JOB_SPEC_H
#define FILBERTSPRING_SCHEDULING_JOB_SPEC_H

/// \file
/// The specification of a job as requested by a caller: steps of tasks and the
/// dependencies between the steps.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// Processors, memory and accelerators that a task needs or a worker has.
struct Resources {
  std::int64_t MilliCpu_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Accelerators_ = 0;

  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// Returns whether \p Request fits beside \p Used.
  bool fits(const Resources &Used, const Resources &Request) const;
  /// Returns whether none of the amounts is above that of \p Limit.
  bool isWithin(const Resources &Limit) const;
  /// Returns the smaller one of each amount and that of \p Limit.
  Resources limitedTo(const Resources &Limit) const;
  friend bool operator==(const Resources &, const Resources &) = default;
};

/// Larger requests and capacities are rejected where they are decoded, so that
/// those of all tasks and workers of a cell can be added.
inline constexpr Resources MaxResources{
    std::int64_t{1} << 40U, std::int64_t{1} << 40U, std::int64_t{1} << 40U};

/// A group of identical tasks.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources Request_;
  /// The caller's rough estimate of the run time of one task.
  Duration Estimate_{};
  /// Indices of the earlier steps of which every task must be done first.
  std::vector<std::uint32_t> DependsOn_;
  /// A label that the worker must have; empty if any worker will do.
  std::string RequiredLabel_;
  /// The rack that holds the input data; tasks are slower on other racks. Empty
  /// if there is no preference.
  std::string DataRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// Gang scheduling: the tasks make progress only while all of them run.
  bool IsGang_ = false;
  /// The tasks are slower when they are spread over several racks.
  bool PrefersOneRack_ = false;
  bool SavesProgress_ = false;
  /// Several copies of one task may run at the same time.
  bool AllowsDuplicates_ = false;
  /// The tasks run until the job is cancelled.
  bool IsLongRunning_ = false;
  /// The tasks use processors that other tasks leave idle; their processor
  /// request is not counted against the worker's capacity.
  bool IsFiller_ = false;
  /// The program that the tasks execute. Tasks of one image are assumed to
  /// behave alike.
  std::string Image_;
  /// Upper limit of the tail latency of a long-running task; 0 for no limit.
  Duration TailLatencyTarget_{};
  /// Maximum number of tasks of a long-running step that may be unavailable at
  /// once because of the scheduler's own decisions.
  std::uint32_t MaxUnavailable_ = 0;
};

/// Maximum number of tasks of one job; bounds the memory that one caller can
/// use. The progress of a job with more tasks may not fit into a row of the
/// store, and a job that cannot be stored would hold up all others.
inline constexpr std::uint64_t MaxTasksPerJob = 2000;

/// The specification of a job.
struct JobSpec {
  /// Opaque text that each task receives.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// How many times the steps run.
  std::uint32_t Occurrences_ = 1;
  /// Due time of the first occurrence, milliseconds since 1970; 0 for
  /// immediately.
  std::int64_t FirstDueMs_ = 0;
  /// Time between the due times of two occurrences.
  std::int64_t IntervalMs_ = 0;

  /// Returns the due time of occurrence \p Number, milliseconds since 1970.
  std::int64_t dueMs(std::uint32_t Number) const {
    return FirstDueMs_ + std::int64_t{Number} * IntervalMs_;
  }
  /// Returns whether the job has a long-running step.
  bool isLongRunning() const;
};

/// Validates \p Spec and returns a description of the first error, or an empty
/// string. A specification is valid if it has a step, each step has a task,
/// requests at most MaxResources and depends on earlier steps only, the total
/// number of tasks is within its limit, and the due time of each occurrence can
/// be represented.
std::string findSpecError(const JobSpec &Spec);

/// Returns the length of the critical path through the steps for which
/// \p IsOpen returns true, from their estimates; other steps count as done.
/// Linear in the number of steps.
Duration criticalPath(const JobSpec &Spec,
                      const std::function<bool(std::uint32_t)> &IsOpen);
/// Returns the length of the critical path through all steps.
Duration criticalPath(const JobSpec &Spec);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_SPEC_H
