#include "job_order.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// A job that takes this many times its objective is worth nothing to its
/// caller.
constexpr int LateLimit = 3;
/// A lasting task that has waited for longer goes before timed jobs: users bear
/// six seconds without it, of which the start takes some.
constexpr Duration LongestLastingWait = std::chrono::milliseconds(3000);

Duration objectiveOf(const Job &Waiting, const Queue *Policy) {
  if (!Policy || Waiting.isLongRunning())
    return Duration::zero();
  return Policy->TargetLatency_ +
         std::chrono::duration_cast<Duration>(
             Policy->SlackFactor_ * criticalPath(Waiting.accepted().Spec_));
}

Lateness latenessOf(const Job &Waiting, Duration Objective, TimePoint Now) {
  if (Waiting.isLongRunning())
    return Lateness::InTime;
  Duration Finished = Now - Waiting.seenAt() + Waiting.remainingTime();
  if (Finished <= Objective)
    return Lateness::InTime;
  return Finished <= LateLimit * Objective ? Lateness::Late
                                           : Lateness::Worthless;
}

bool canWait(const Job &Waiting, TimePoint Now) {
  if (!Waiting.isLongRunning())
    return false;
  const std::set<std::uint32_t> &Slots = Waiting.waiting();
  return std::all_of(Slots.begin(), Slots.end(), [&](std::uint32_t Slot) {
    return Now - Waiting.at(Slot).ReadyAt_ < LongestLastingWait;
  });
}

} // namespace

JobRank rankOf(const Job &Waiting, const Queue *Policy, TimePoint Now) {
  Duration Objective = objectiveOf(Waiting, Policy);
  JobRank Rank;
  Rank.Priority_ = Policy ? Policy->Priority_ : 0;
  Rank.CanWait_ = canWait(Waiting, Now);
  Rank.Lateness_ = latenessOf(Waiting, Objective, Now);
  Rank.Due_ = Waiting.seenAt() + Objective;
  return Rank;
}

} // namespace filbertspring::scheduling
