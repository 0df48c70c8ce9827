#include "drain_planner.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// Returns the work that a loss of the attempt would cost: the run time done
/// so far, in core-seconds.
double lossOf(const TrackedAttempt &Held) {
  double Seconds = std::chrono::duration<double>(Held.DeclaredRunTime_).count();
  auto Cores = static_cast<double>(Held.Assignment_.Size_.Cpu_.count());
  return Held.Progress_ * Seconds * Cores;
}

bool mustLeave(SchedulerCore &Core, const TrackedAttempt &Held, bool ZoneOut) {
  if (Held.State_ != AttemptPhase::Running)
    return false;
  const WorkerState *Worker = Core.findWorker(Held.Worker_);
  return ZoneOut || (Worker != nullptr && Worker->Leaving_);
}

/// Fills in the declared run times that adopted attempts do not know.
void learnRunTime(const SchedulerCore &Core, TrackedAttempt &Held) {
  const JobId &Job = Held.Assignment_.Attempt_.Task_.Job_;
  if (const JobEntry *Entry = Core.Jobs_.find(Job))
    Held.DeclaredRunTime_ = Entry->Record_.DeclaredRunTime_;
}

} // namespace

void planEvictions(SchedulerCore &Core, RackState &Rack) {
  const auto *Zone = findRow(Core.Table_.Zones_, Rack.Zone_);
  bool ZoneOut = Zone != nullptr && !Zone->Value_.inService();
  std::size_t UnderWay = 0;
  std::vector<TrackedAttempt *> Leaving;
  for (auto &[Attempt, Held] : Rack.TrackedAttempts_) {
    if (!mustLeave(Core, Held, ZoneOut))
      continue;
    learnRunTime(Core, Held);
    if (Held.Stop_ == StopMode::None)
      Leaving.push_back(&Held);
    else
      ++UnderWay;
  }
  std::ranges::stable_sort(
      Leaving, std::ranges::greater{},
      [](const TrackedAttempt *Held) { return lossOf(*Held); });
  std::size_t Bound = Core.Settings_.Drain_.MaxConcurrentEvictions_;
  for (TrackedAttempt *Held : Leaving) {
    if (UnderWay++ >= Bound)
      return;
    Held->Stop_ = StopMode::WithCheckpoint;
    Held->StopReason_ = ZoneOut ? "zone out of service" : "worker leaving";
    Core.scheduleExchangeNow(*Core.findWorker(Held->Worker_));
  }
}

} // namespace filbertspring::placement
