#include "crash_attribution.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Crashes after which a task is given up if it was isolated during the last.
constexpr std::size_t MaxIsolatedCrashes = 2;
/// Crashes after which a task is given up in any case. Users tolerate two more
/// starts after the third crash.
constexpr std::size_t MaxCrashes = 4;

} // namespace

RunMaturity maturityOf(Duration ListedFor) {
  if (ListedFor >= EstablishedTime)
    return RunMaturity::Established;
  return ListedFor >= SettlingTime ? RunMaturity::Settled : RunMaturity::Fresh;
}

std::vector<CrashVerdict> judgeCrash(std::span<const CrashSuspect> Suspects,
                                     bool HasCommonCause) {
  auto FreshRuns = std::count_if(
      Suspects.begin(), Suspects.end(), [](const CrashSuspect &Suspect) {
        return Suspect.Maturity_ == RunMaturity::Fresh;
      });
  // A task that crashes its worker later is found by its earlier crashes, which
  // the others on the worker have in common with it by chance only.
  std::size_t MostCrashes = 0;
  for (const CrashSuspect &Suspect : Suspects)
    if (Suspect.Maturity_ == RunMaturity::Settled)
      MostCrashes = std::max(MostCrashes, Suspect.EarlierCrashes_);
  std::vector<CrashVerdict> Verdicts;
  for (const CrashSuspect &Suspect : Suspects) {
    bool IsSuspected = FreshRuns > 0
                           ? Suspect.Maturity_ == RunMaturity::Fresh
                           : Suspect.Maturity_ == RunMaturity::Settled &&
                                 Suspect.EarlierCrashes_ == MostCrashes;
    std::size_t Crashes = Suspect.EarlierCrashes_ + 1;
    bool IsProven =
        Crashes >= MaxCrashes ||
        (FreshRuns == 1 && !HasCommonCause && Crashes >= MaxIsolatedCrashes);
    if (!IsSuspected)
      Verdicts.push_back(CrashVerdict::Unlikely);
    else
      Verdicts.push_back(IsProven ? CrashVerdict::Proven
                                  : CrashVerdict::Suspected);
  }
  return Verdicts;
}

} // namespace filbertspring::scheduling
