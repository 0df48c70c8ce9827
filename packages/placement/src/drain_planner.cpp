#include "drain_planner.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// Returns the work that would be lost with the attempt: its run time so far
/// multiplied by its CPU size, in millicore-seconds.
double workDoneBy(const TrackedAttempt &Held) {
  double Seconds = std::chrono::duration<double>(Held.DeclaredRunTime_).count();
  auto CpuMillicores = static_cast<double>(Held.Assignment_.Size_.Cpu_.count());
  return Held.Progress_ * Seconds * CpuMillicores;
}

bool mustEvict(SchedulerCore &Core, const TrackedAttempt &Held,
               bool ZoneOutOfService) {
  if (Held.State_ != AttemptPhase::Running)
    return false;
  const WorkerState *Worker = Core.findWorker(Held.Worker_);
  return ZoneOutOfService || (Worker != nullptr && Worker->Leaving_);
}

/// Sets the declared run time of \p Held when its job is known: an attempt that
/// was read from the rack's row lacks it.
void fillRunTime(const SchedulerCore &Core, TrackedAttempt &Held) {
  const JobId &Job = Held.Assignment_.Attempt_.Task_.Job_;
  if (const JobEntry *Entry = Core.Jobs_.find(Job))
    Held.DeclaredRunTime_ = Entry->Record_.DeclaredRunTime_;
}

} // namespace

void planEvictions(SchedulerCore &Core, RackState &Rack) {
  const auto *Zone = findRow(Core.Table_.Zones_, Rack.Zone_);
  bool ZoneOutOfService = Zone != nullptr && !Zone->Value_.inService();
  std::size_t EvictionsUnderWay = 0;
  std::vector<TrackedAttempt *> Candidates;
  for (auto &[Attempt, Held] : Rack.TrackedAttempts_) {
    if (!mustEvict(Core, Held, ZoneOutOfService))
      continue;
    fillRunTime(Core, Held);
    if (Held.Stop_ == StopMode::None)
      Candidates.push_back(&Held);
    else
      ++EvictionsUnderWay;
  }
  std::ranges::stable_sort(
      Candidates, std::ranges::greater{},
      [](const TrackedAttempt *Held) { return workDoneBy(*Held); });
  std::size_t Limit = Core.Settings_.Drain_.MaxConcurrentEvictions_;
  for (TrackedAttempt *Held : Candidates) {
    if (EvictionsUnderWay++ >= Limit)
      return;
    Held->Stop_ = StopMode::WithCheckpoint;
    Held->StopReason_ =
        ZoneOutOfService ? "zone out of service" : "worker leaving";
    Core.scheduleExchangeNow(*Core.findWorker(Held->Worker_));
  }
}

} // namespace filbertspring::placement
