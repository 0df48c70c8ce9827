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

constexpr EnumTable<Isolation, 3> IsolationNames{{
    {Isolation::None, "none"},
    {Isolation::Settled, "settled"},
    {Isolation::LongSettled, "long_settled"},
}};

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
  LongestWait AtQuota;
  for (const std::string &Id : JobsWithWaitingTasks_) {
    JobRecord *Record = findJob(Id);
    if (!Record || Record->Job_.waiting().empty())
      continue;
    const Job &Waiting = Record->Job_;
    std::uint32_t Slot = Waiting.longestWaiting();
    if (Now - Waiting.at(Slot).ReadyAt_ < MinReportedWait ||
        (!Waiting.isLongRunning() && Waiting.hasPlacedTask()))
      continue;
    // Apart, since they would hide those that wait for something else.
    if (isOverQuota(*Record, Waiting.step(Waiting.nameOf(Slot))))
      AtQuota.add(*Record, Slot);
    else
      (Waiting.isLongRunning() ? LongRunning : Timed).add(*Record, Slot);
  }
  // Timed tasks may wait for much longer under overload.
  reportWait("long_running", LongRunning, Now);
  reportWait("timed", Timed, Now);
  reportWait("at_quota", AtQuota, Now);
}

void Scheduler::Impl::reportWait(const char *Kind, const LongestWait &Longest,
                                 TimePoint Now) {
  if (!Longest.Record_)
    return;
  const Job &Waiting = Longest.Record_->Job_;
  const Task &WaitingTask = Waiting.at(Longest.Slot_);
  PlacementRequest Request = requestFor(Waiting, Longest.Slot_, Now);
  std::array<std::int64_t, ObstacleCount> Counts{};
  std::int64_t Eligible = 0;
  bool IsAtQuota = isOverQuota(*Longest.Record_, Request.Step_);
  for (auto &[Id, Worker] : Workers_) {
    std::optional<Obstacle> Found = findObstacle(Worker, Request, Now);
    if (!Found)
      Found = findFillerObstacle(Worker, Request.Step_);
    if (!Found && waitsForOther(Request, Worker))
      Found = Obstacle::FarFromData;
    if (IsAtQuota)
      Found = Obstacle::Quota;
    if (Found)
      ++Counts[static_cast<std::size_t>(*Found)];
    else
      ++Eligible;
  }
  std::string Obstacles;
  for (std::size_t Index = 0; Index < ObstacleCount; ++Index)
    if (Counts[Index] > 0) {
      Obstacles += Obstacles.empty() ? "" : ",";
      Obstacles += nameOf(static_cast<Obstacle>(Index));
      Obstacles += ':' + std::to_string(Counts[Index]);
    }
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"task", Request.TaskText_},
      {"kind", Kind},
      {"waited_ms", std::to_string((Now - WaitingTask.ReadyAt_) /
                                   std::chrono::milliseconds(1))},
      {"jobs", std::to_string(Longest.Jobs_)},
      {"held_back",
       isHeldBack(WaitingTask) || WaitingTask.NotBefore_ > Now ? "1" : "0"},
      {"isolation", std::string(nameOf(IsolationNames, Request.Isolation_))},
      {"eligible", std::to_string(Eligible)},
      {"obstacles", Obstacles}};
  if (!Waiting.accepted().Workspace_.empty())
    Fields.emplace_back("workspace", Waiting.accepted().Workspace_);
  recordEvent(LogEvent::TaskWaits, std::move(Fields));
}

} // namespace filbertspring::scheduling
