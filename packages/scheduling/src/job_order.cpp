#include "job_order.h"

#include "filbertspring/base/checked_arithmetic.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// A job that takes longer than this multiple of its objective has no value for
/// its caller.
constexpr int WorthlessFactor = 3;
/// A long-running task that has waited for this long is placed before timed
/// jobs. Users tolerate six seconds without it, and the start takes some time.
constexpr Duration MaxLongRunningWait = std::chrono::milliseconds(3000);

Duration objectiveOf(const Job &Waiting, const Queue *Policy) {
  if (!Policy || Waiting.isLongRunning())
    return Duration::zero();
  return Policy->TargetLatency_ +
         scaled(criticalPath(Waiting.accepted().Spec_), Policy->SlackFactor_);
}

Lateness latenessOf(const Job &Waiting, Duration Objective, TimePoint Now) {
  if (Waiting.isLongRunning())
    return Lateness::InTime;
  Duration Finished = Now - Waiting.seenAt() + Waiting.remainingTime();
  if (Finished <= Objective)
    return Lateness::InTime;
  return Finished <= WorthlessFactor * Objective ? Lateness::Late
                                                 : Lateness::Worthless;
}

bool isDeferrable(const Job &Waiting, TimePoint Now) {
  if (!Waiting.isLongRunning())
    return false;
  const std::set<std::uint32_t> &Slots = Waiting.waiting();
  return std::all_of(Slots.begin(), Slots.end(), [&](std::uint32_t Slot) {
    return Now - Waiting.at(Slot).ReadyAt_ < MaxLongRunningWait;
  });
}

} // namespace

JobRank rankOf(const Job &Waiting, const Queue *Policy, TimePoint Now) {
  Duration Objective = objectiveOf(Waiting, Policy);
  JobRank Rank;
  Rank.Priority_ = Policy ? Policy->Priority_ : 0;
  Rank.IsDeferrable_ = isDeferrable(Waiting, Now);
  Rank.Lateness_ = latenessOf(Waiting, Objective, Now);
  Rank.Due_ = Waiting.seenAt() + Objective;
  return Rank;
}

} // namespace filbertspring::scheduling
