#include "colocation_adapter.h"

#include "attempt_requests.h"

#include "filbertspring/base/overloaded.h"

namespace filbertspring::placement {
namespace {

double cpuFraction(const Resources &Size, const Resources &Capacity) {
  if (Capacity.Cpu_.count() <= 0)
    return 0.0;
  return static_cast<double>(Size.Cpu_.count()) /
         static_cast<double>(Capacity.Cpu_.count());
}

/// Returns the CPU time that \p Held has used so far, estimated from its
/// progress.
Duration workDone(const TrackedAttempt &Held) {
  constexpr double MillicoresPerCore = 1000.0;
  double Cores = static_cast<double>(Held.Assignment_.Size_.Cpu_.count()) /
                 MillicoresPerCore;
  double Work = Held.Progress_ * Cores *
                static_cast<double>(Held.DeclaredRunTime_.count());
  return Duration(static_cast<Duration::rep>(Work));
}

/// Returns the running batch tasks of \p Worker, without those that are to be
/// stopped and those whose job is not known here.
std::vector<ColocatedTask> tasksOn(SchedulerCore &Core, const RackState &Rack,
                                   const WorkerState &Worker) {
  std::vector<ColocatedTask> Tasks;
  for (const auto &[Attempt, Held] : Rack.TrackedAttempts_) {
    bool Running = Held.Worker_ == Worker.Name_ &&
                   Held.State_ == AttemptPhase::Running &&
                   Held.Stop_ == StopMode::None;
    const JobEntry *Entry = Core.Jobs_.find(Attempt.Task_.Job_);
    if (!Running || Entry == nullptr)
      continue;
    double Fraction = cpuFraction(Held.Assignment_.Size_, Worker.Capacity_);
    Tasks.push_back({Attempt, Entry->Record_.Kind_, Fraction, workDone(Held)});
  }
  return Tasks;
}

void perform(SchedulerCore &Core, const ColocationAction &Action) {
  std::visit(
      Overloaded{
          [&Core](const ThrottleTask &Throttle) {
            requestThrottle(Core, {Throttle.Attempt_, Throttle.Fraction_});
          },
          [&Core](const EvictTask &Eviction) {
            requestEviction(Core, {Eviction.Attempt_, "slows a service"});
          }},
      Action);
}

} // namespace

void refreshLatencyTargets(SchedulerCore &Core) {
  std::map<ServiceName, Duration> Targets;
  for (const auto &[Name, Row] : Core.Table_.Contracts_) {
    if (Row.Value_.Removed_)
      continue;
    for (const ServiceTerms &Service : Row.Value_.Terms_.Services_) {
      auto [Entry, Inserted] =
          Targets.try_emplace(Service.Name_, Service.LatencyTarget_);
      Entry->second = std::min(Entry->second, Service.LatencyTarget_);
    }
  }
  Core.Colocation_.setLatencyTargets(std::move(Targets));
}

void observeServices(SchedulerCore &Core, const RackState &Rack,
                     const WorkerState &Worker, const WorkerReport &Report) {
  if (!Core.Settings_.Interference_ || Report.Services_.empty())
    return;
  ColocationReport Observation{Worker.Name_, Report.Services_,
                               tasksOn(Core, Rack, Worker), Report.Clock_};
  for (const ColocationAction &Action : Core.Colocation_.observe(Observation))
    perform(Core, Action);
}

bool admitsBesideServices(const SchedulerCore &Core,
                          const WorkerCandidate &Worker, const JobRecord &Job) {
  return !Core.Settings_.Interference_ ||
         Core.Colocation_.admits(Worker.Name_, Job.Kind_,
                                 cpuFraction(Job.Size_, Worker.Capacity_));
}

bool admitsAlone(const SchedulerCore &Core, const WorkerCandidate &Worker,
                 const JobRecord &Job) {
  return !Core.Settings_.Interference_ ||
         Core.Colocation_.admitsAlone(Worker.Name_, Job.Kind_,
                                      cpuFraction(Job.Size_, Worker.Capacity_));
}

void addPlacement(SchedulerCore &Core, const WorkerCandidate &Worker,
                  const JobRecord &Job) {
  Core.Colocation_.addPlacement(Worker.Name_, Job.Kind_,
                                cpuFraction(Job.Size_, Worker.Capacity_));
}

} // namespace filbertspring::placement
