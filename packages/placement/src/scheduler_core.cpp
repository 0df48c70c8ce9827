#include "scheduler_core.h"

#include <fmt/format.h>

namespace filbertspring::placement {

SchedulerCore::SchedulerCore(SchedulerSettings Settings, InstanceName Self,
                             std::uint64_t Seed)
    : Settings_(Settings), Self_(std::move(Self)), Seed_(Seed), Random_(Seed) {}

void SchedulerCore::note(LogEvent Event, const AttemptRef &Attempt,
                         const RackName &Rack, const WorkerName &Worker,
                         std::string Text) {
  act(TaskNote{Event, Attempt, Rack, Worker, std::move(Text)});
}

TransactionId SchedulerCore::nextTransaction() {
  return TransactionId(
      fmt::format("{}/{:x}/{}", Self_.str(), Seed_, ++LastTransaction_));
}

RackState *SchedulerCore::findRack(const RackName &Name) {
  auto Found = Racks_.find(Name);
  return Found == Racks_.end() ? nullptr : &Found->second;
}

WorkerState *SchedulerCore::findWorker(const WorkerName &Name) {
  auto Found = Workers_.find(Name);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

RackState *SchedulerCore::ownedRackOf(const WorkerState &Worker) {
  RackState *Rack = findRack(Worker.Rack_);
  return Rack != nullptr && Rack->Owned_ ? Rack : nullptr;
}

HeldAttempt *SchedulerCore::findHeld(const AttemptRef &Attempt) {
  auto Found = HeldIn_.find(Attempt);
  if (Found == HeldIn_.end())
    return nullptr;
  return &findRack(Found->second)->Held_.at(Attempt);
}

void SchedulerCore::dirtyAllRacks() {
  for (auto &[Name, Rack] : Racks_) {
    Rack.BlockedAt_.reset();
    dirty(Name);
  }
}

void SchedulerCore::hurry(WorkerState &Worker) {
  Worker.NextExchange_ = Now_;
  DirtyWorkers_.insert(Worker.Name_);
}

} // namespace filbertspring::placement
