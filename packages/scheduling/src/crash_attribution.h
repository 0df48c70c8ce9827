#ifndef FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H
#define FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H

/// \file
/// Decides which of the tasks on a crashed worker may have caused the crash.
///
/// A task that crashes its worker takes the other tasks on that worker with it,
/// and workers also crash by themselves, so a crash alone proves nothing.
/// Suspected tasks are therefore started again in isolation: on a worker that
/// has not crashed lately, on which all other runs have settled and which gets
/// no further starts until the suspected run has settled, too. Crashes in that
/// time have one likely cause.

#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/job.h"

#include <cstddef>
#include <span>
#include <vector>

namespace filbertspring::scheduling {

/// A run that reports have listed for this long has settled. Most tasks that
/// crash their worker do so when they start; reports are at most a second
/// apart.
inline constexpr Duration SettlingTime = std::chrono::milliseconds(500);
/// The settling time of tasks that may have caused several crashes. They may
/// crash their worker some time after the start.
inline constexpr Duration LongSettlingTime = std::chrono::seconds(3);
/// A run that reports have listed for this long is not the cause of a crash.
inline constexpr Duration EstablishedTime = std::chrono::seconds(20);

/// For how long a run had been seen to work when its worker crashed.
enum class RunMaturity {
  /// It may have started at any time before the crash.
  Fresh,
  Settled,
  Established,
};

/// Returns the maturity of a run that reports listed for \p ListedFor.
RunMaturity maturityOf(Duration ListedFor, Duration Settling = SettlingTime);

/// Returns whether a task is to be started in isolation.
bool isSuspected(const TaskProgress &Progress);
/// Returns whether a task may have caused so many crashes that a few more end
/// its job.
bool isNearlyGivenUp(const TaskProgress &Progress);
/// Returns whether a task may have caused several crashes.
bool isSuspectedRepeatedly(const TaskProgress &Progress);

/// Returns whether \p Waiting must not be started before it is known which of
/// the workers that were lost with it have crashed.
bool isHeldBack(const Task &Waiting);

/// Returns for how long reports have to list a run until it has settled. A task
/// that was there when several workers crashed may crash them late.
Duration settlingTime(const TaskProgress &Progress);

/// A run that a worker executed, or may have executed, when it crashed.
struct CrashSuspect {
  RunMaturity Maturity_ = RunMaturity::Fresh;
  /// The run was started in isolation.
  bool IsIsolated_ = false;
  /// The number of earlier crashes that the task may have caused.
  std::size_t EarlierCrashes_ = 0;
  /// The number of those that happened while the task was isolated.
  std::size_t IsolatedCrashes_ = 0;
  /// The task was on a worker that crashed for another reason.
  bool IsExposed_ = false;
};

/// What a crash shows about one of the tasks on the worker.
enum class CrashVerdict {
  Unlikely,
  /// It was there, but others are more likely to be the cause.
  Exposed,
  Suspected,
  /// It is suspected and was isolated.
  SuspectedAlone,
  Proven,
};

/// Returns the verdict for each of \p Suspects, the runs of one crashed worker.
/// If \p HasCommonCause, most workers of its zone or rack were lost at that
/// time, and the crash alone proves nothing, suspects no run that has settled,
/// and suspects no task at its first crash. Linear in the number of runs.
std::vector<CrashVerdict> judgeCrash(std::span<const CrashSuspect> Suspects,
                                     bool HasCommonCause);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H
