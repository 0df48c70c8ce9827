#include "crash_attribution.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Crashes with the task in isolation that prove its guilt. One may be due to
/// the worker itself.
constexpr std::size_t MinIsolatedCrashes = 2;
/// Crashes after which a task is given up in any case. Users tolerate two more
/// starts after the third crash.
constexpr std::size_t MaxCrashes = 5;
/// Crashes of workers on which the task had settled, after which it is
/// suspected itself.
constexpr std::uint32_t MinExposures = 2;

CrashVerdict judgeFresh(const CrashSuspect &Suspect, std::size_t FreshRuns,
                        bool HasCommonCause) {
  // Otherwise all tasks of a zone or rack that loses power would wait to be
  // isolated.
  if (HasCommonCause && Suspect.EarlierCrashes_ == 0 && !Suspect.IsExposed_)
    return CrashVerdict::Exposed;
  bool IsIsolated = Suspect.IsIsolated_ && FreshRuns == 1 && !HasCommonCause;
  std::size_t IsolatedCrashes = Suspect.IsolatedCrashes_ + (IsIsolated ? 1 : 0);
  std::size_t Crashes =
      Suspect.EarlierCrashes_ + (Suspect.IsExposed_ ? 1 : 0) + 1;
  if (Crashes >= MaxCrashes ||
      (IsIsolated && IsolatedCrashes >= MinIsolatedCrashes))
    return CrashVerdict::Proven;
  return IsIsolated ? CrashVerdict::SuspectedAlone : CrashVerdict::Suspected;
}

} // namespace

RunMaturity maturityOf(Duration ListedFor, Duration Settling) {
  if (ListedFor >= EstablishedTime)
    return RunMaturity::Established;
  return ListedFor >= Settling ? RunMaturity::Settled : RunMaturity::Fresh;
}

bool isSuspected(const TaskProgress &Progress) {
  return !Progress.CrashedWorkers_.empty() ||
         Progress.Exposures_ >= MinExposures;
}

bool isSuspectedRepeatedly(const TaskProgress &Progress) {
  return Progress.CrashedWorkers_.size() + Progress.Exposures_ > 1;
}

bool isNearlyGivenUp(const TaskProgress &Progress) {
  return Progress.CrashedWorkers_.size() + 2 >= MaxCrashes;
}

bool isHeldBack(const Task &Waiting) {
  return Waiting.PendingLosses_ > 0 &&
         Waiting.Progress_.CrashedWorkers_.size() + Waiting.PendingLosses_ >=
             MaxCrashes;
}

Duration settlingTime(const TaskProgress &Progress) {
  return Progress.Exposures_ >= MinExposures ? LongSettlingTime : SettlingTime;
}

std::vector<CrashVerdict> judgeCrash(std::span<const CrashSuspect> Suspects,
                                     bool HasCommonCause) {
  auto FreshRuns = static_cast<std::size_t>(std::count_if(
      Suspects.begin(), Suspects.end(), [](const CrashSuspect &Suspect) {
        return Suspect.Maturity_ == RunMaturity::Fresh;
      }));
  std::vector<CrashVerdict> Verdicts;
  for (const CrashSuspect &Suspect : Suspects)
    switch (Suspect.Maturity_) {
    case RunMaturity::Fresh:
      Verdicts.push_back(judgeFresh(Suspect, FreshRuns, HasCommonCause));
      break;
    case RunMaturity::Settled:
      Verdicts.push_back(HasCommonCause ? CrashVerdict::Unlikely
                                        : CrashVerdict::Exposed);
      break;
    case RunMaturity::Established:
      Verdicts.push_back(CrashVerdict::Unlikely);
      break;
    }
  return Verdicts;
}

} // namespace filbertspring::scheduling
