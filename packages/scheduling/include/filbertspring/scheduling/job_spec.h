#ifndef FILBERTSPRING_SCHEDULING_JOB_SPEC_H
#define FILBERTSPRING_SCHEDULING_JOB_SPEC_H

/// \file
/// What a caller asks a job to be: steps of tasks and their order.

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
  friend bool operator==(const Resources &, const Resources &) = default;
};

/// A group of equal tasks.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources Request_;
  /// The caller's rough guess of one task's run time.
  Duration Estimate_{};
  /// Earlier steps of which every task must be done first.
  std::vector<std::uint32_t> DependsOn_;
  /// A label that the worker must have; empty for any.
  std::string RequiredLabel_;
  /// The rack that holds the data; other racks are slower. Empty for any.
  std::string DataRack_;
  /// The most tasks of the step on one worker; 0 for any number.
  std::uint32_t MaxPerWorker_ = 0;
  /// The tasks work only while all of them run.
  bool IsGang_ = false;
  /// The tasks are slower when they are spread over racks.
  bool PrefersOneRack_ = false;
  bool SavesProgress_ = false;
  /// Copies of one task may run side by side.
  bool AllowsDuplicates_ = false;
  /// The tasks run until the job is cancelled.
  bool IsLongRunning_ = false;
  /// The tasks use processors that others leave idle; their processors are
  /// not counted against the worker's.
  bool IsFiller_ = false;
  /// Tasks of one image behave alike.
  std::string Image_;
  /// The highest tail latency that a lasting task may show; 0 for none.
  Duration TailLatencyTarget_{};
  /// How many tasks of a lasting step may be away by the system's own acts.
  std::uint32_t MaxUnavailable_ = 0;
};

/// The whole request of a caller.
struct JobSpec {
  /// Opaque text that each task receives.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// How often the steps run.
  std::uint32_t Occurrences_ = 1;
  /// Due time of the first occurrence, milliseconds since 1970; 0 for at once.
  std::int64_t FirstDueMs_ = 0;
  /// Time between occurrences.
  std::int64_t IntervalMs_ = 0;

  /// Returns when occurrence \p Number is due, milliseconds since 1970.
  std::int64_t dueMs(std::uint32_t Number) const {
    return FirstDueMs_ + std::int64_t{Number} * IntervalMs_;
  }
  /// Returns whether a step lasts until the job is cancelled.
  bool isLongRunning() const;
};

/// Reports the first rule that \p Spec breaks, or an empty text: steps exist,
/// counts are positive, and each step follows earlier steps only.
std::string findSpecError(const JobSpec &Spec);

/// Returns the longest chain of estimates of the steps that \p IsOpen holds
/// for; others count as done. Linear in steps.
Duration criticalPath(const JobSpec &Spec,
                      const std::function<bool(std::uint32_t)> &IsOpen);
/// Returns the longest chain of estimates of all steps.
Duration criticalPath(const JobSpec &Spec);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_SPEC_H
