/// \file
/// The part of the scheduler that explains why tasks wait.

#include "filbertspring/base/enum_table.h"
#include "scheduler_impl.h"

#include <algorithm>
#include <array>

namespace filbertspring::scheduling {
namespace {

/// A task that has waited for this long beside free capacity is reported. A
/// third of what users tolerate.
constexpr Duration MinReportedWait = std::chrono::milliseconds(1000);
/// Interval between two reports.
constexpr Duration WaitReportInterval = std::chrono::milliseconds(1000);

constexpr std::size_t ObstacleCount = 12;
constexpr EnumTable<Obstacle, ObstacleCount> ObstacleNames{{
    {Obstacle::NotUsable, "not_usable"},
    {Obstacle::NotAllowed, "not_allowed"},
    {Obstacle::NoCapacity, "no_capacity"},
    {Obstacle::Avoided, "avoided"},
    {Obstacle::UnknownRun, "unknown_run"},
    {Obstacle::StartsInFlight, "starts_in_flight"},
    {Obstacle::FreshSuspect, "fresh_suspect"},
    {Obstacle::Reserved, "reserved"},
    {Obstacle::NotIsolated, "not_isolated"},
    {Obstacle::StepLimit, "step_limit"},
    {Obstacle::Utilization, "utilization"},
    {Obstacle::Interference, "interference"},
}};

constexpr EnumTable<Isolation, 3> IsolationNames{{
    {Isolation::None, "none"},
    {Isolation::Settled, "settled"},
    {Isolation::LongSettled, "long_settled"},
}};

/// Returns the slot of the task of \p Waiting that has waited longest.
std::uint32_t longestWaiting(const Job &Waiting) {
  const std::set<std::uint32_t> &Slots = Waiting.waiting();
  return *std::min_element(
      Slots.begin(), Slots.end(), [&](std::uint32_t Left, std::uint32_t Right) {
        return Waiting.at(Left).ReadyAt_ < Waiting.at(Right).ReadyAt_;
      });
}

/// Returns whether a worker executes, or may execute, a task of \p Waiting.
bool hasPlacedTask(const Job &Waiting) {
  for (std::uint32_t Slot = 0; Slot < Waiting.taskCount(); ++Slot)
    if (Waiting.at(Slot).Phase_ == TaskPhase::Placed)
      return true;
  return false;
}

} // namespace

void LongestWait::add(JobRecord &Record, std::uint32_t Slot) {
  ++Jobs_;
  if (Record_ &&
      Record_->Job_.at(Slot_).ReadyAt_ <= Record.Job_.at(Slot).ReadyAt_)
    return;
  Record_ = &Record;
  Slot_ = Slot;
}

void Scheduler::Impl::reportWaits(TimePoint Now) {
  if (Now < NextWaitReportAt_)
    return;
  NextWaitReportAt_ = Now + WaitReportInterval;
  LongestWait Timed;
  LongestWait LongRunning;
  for (const std::string &Id : JobsWithWaitingTasks_) {
    JobRecord *Record = findJob(Id);
    if (!Record || Record->Job_.waiting().empty())
      continue;
    const Job &Waiting = Record->Job_;
    std::uint32_t Slot = longestWaiting(Waiting);
    if (Now - Waiting.at(Slot).ReadyAt_ < MinReportedWait ||
        (!Waiting.isLongRunning() && hasPlacedTask(Waiting)))
      continue;
    (Waiting.isLongRunning() ? LongRunning : Timed).add(*Record, Slot);
  }
  // Timed tasks may wait for much longer under overload.
  reportWait("long_running", LongRunning, Now);
  reportWait("timed", Timed, Now);
}

void Scheduler::Impl::reportWait(const char *Kind, const LongestWait &Longest,
                                 TimePoint Now) {
  if (!Longest.Record_)
    return;
  const Job &Waiting = Longest.Record_->Job_;
  const Task &WaitingTask = Waiting.at(Longest.Slot_);
  TaskName Name = Waiting.nameOf(Longest.Slot_);
  const StepSpec &Step = Waiting.step(Name);
  const Queue *Policy = Queues_->find(Waiting.accepted().Queue_);
  PlacementRequest Request{
      Step,          Policy ? Policy->Service_ : Waiting.accepted().Service_,
      Name,          Name.text(),
      Step.Request_, neededIsolation(WaitingTask, Now)};
  if (Step.IsFiller_)
    Request.Needed_.MilliCpu_ = 0;
  std::array<std::int64_t, ObstacleCount> Counts{};
  std::int64_t Eligible = 0;
  for (auto &[Id, Worker] : Workers_) {
    std::optional<Obstacle> Found = findObstacle(Worker, Request, Now);
    if (!Found)
      Found = findFillerObstacle(Worker, Step);
    if (Found)
      ++Counts[static_cast<std::size_t>(*Found)];
    else
      ++Eligible;
  }
  std::string Obstacles;
  for (std::size_t Index = 0; Index < ObstacleCount; ++Index)
    if (Counts[Index] > 0) {
      Obstacles += Obstacles.empty() ? "" : ",";
      Obstacles += nameOf(ObstacleNames, static_cast<Obstacle>(Index));
      Obstacles += ':' + std::to_string(Counts[Index]);
    }
  recordEvent(
      LogEvent::TaskWaits,
      {{"task", Name.text()},
       {"kind", Kind},
       {"waited_ms", std::to_string((Now - WaitingTask.ReadyAt_) /
                                    std::chrono::milliseconds(1))},
       {"jobs", std::to_string(Longest.Jobs_)},
       {"held_back",
        isHeldBack(WaitingTask) || WaitingTask.NotBefore_ > Now ? "1" : "0"},
       {"isolation", std::string(nameOf(IsolationNames, Request.Isolation_))},
       {"eligible", std::to_string(Eligible)},
       {"obstacles", Obstacles}});
}

} // namespace filbertspring::scheduling
