#include "scheduler_core.h"

#include <fmt/format.h>

namespace filbertspring::placement {

SchedulerCore::SchedulerCore(SchedulerSettings Settings, InstanceName Self,
                             std::uint64_t Seed)
    : Settings_(Settings), Self_(std::move(Self)), Seed_(Seed), Random_(Seed) {}

void SchedulerCore::log(LogEvent Event, const AttemptRef &Attempt,
                        const RackName &Rack, const WorkerName &Worker,
                        std::string Text) {
  emit(LogRecord{Event, Attempt, Rack, Worker, std::move(Text)});
}

TransactionId SchedulerCore::nextTransaction() {
  return TransactionId(
      fmt::format("{}/{:x}/{}", Self_.str(), Seed_, ++LastTransaction_));
}

RackState *SchedulerCore::findRack(const RackName &Name) {
  auto It = Racks_.find(Name);
  return It == Racks_.end() ? nullptr : &It->second;
}

WorkerState *SchedulerCore::findWorker(const WorkerName &Name) {
  auto It = Workers_.find(Name);
  return It == Workers_.end() ? nullptr : &It->second;
}

RackState *SchedulerCore::ownedRackOf(const WorkerState &Worker) {
  RackState *Rack = findRack(Worker.Rack_);
  return Rack != nullptr && Rack->Owned_ ? Rack : nullptr;
}

TrackedAttempt *SchedulerCore::findAttempt(const AttemptRef &Attempt) {
  auto It = RackOfAttempt_.find(Attempt);
  if (It == RackOfAttempt_.end())
    return nullptr;
  return &findRack(It->second)->TrackedAttempts_.at(Attempt);
}

void SchedulerCore::markAllRacksDirty() {
  for (auto &[Name, Rack] : Racks_) {
    Rack.BlockedGeneration_.reset();
    markDirty(Name);
  }
}

void SchedulerCore::scheduleExchangeNow(WorkerState &Worker) {
  Worker.NextExchange_ = Now_;
  DirtyWorkers_.insert(Worker.Name_);
}

} // namespace filbertspring::placement
