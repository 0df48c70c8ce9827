#ifndef FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H
#define FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H

/// \file
/// Decides which of the tasks on a crashed worker may have caused the crash.
///
/// A task that crashes its worker takes the other tasks on that worker with it,
/// so a crash alone proves nothing. Suspected tasks are therefore started again
/// in isolation: on a worker on which all other runs have settled and which
/// gets no further starts until the suspected run has settled, too. A crash in
/// that time has one likely cause.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <span>
#include <vector>

namespace filbertspring::scheduling {

/// A run that reports have listed for this long has settled. Tasks that crash
/// their worker do so when they start; reports are at most a second apart.
inline constexpr Duration SettlingTime = std::chrono::milliseconds(500);
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
RunMaturity maturityOf(Duration ListedFor);

/// A run that a worker executed, or may have executed, when it crashed.
struct CrashSuspect {
  RunMaturity Maturity_ = RunMaturity::Fresh;
  /// The number of earlier crashes that the task may have caused.
  std::size_t EarlierCrashes_ = 0;
};

/// What a crash shows about one of the tasks on the worker.
enum class CrashVerdict { Unlikely, Suspected, Proven };

/// Returns the verdict for each of \p Suspects, the runs of one crashed worker.
/// If \p HasCommonCause, most workers of its zone were lost at that time, and
/// the crash alone proves nothing. Linear in the number of runs.
std::vector<CrashVerdict> judgeCrash(std::span<const CrashSuspect> Suspects,
                                     bool HasCommonCause);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_CRASH_ATTRIBUTION_H
