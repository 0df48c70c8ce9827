/// \file
/// The part of the scheduler that lets tasks wait for a place near their data.

#include "filbertspring/base/checked_arithmetic.h"
#include "filbertspring/base/overloaded.h"
#include "job_order.h"
#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Cost of a worker on a rack that other tasks wait for, in units of a fully
/// used worker. Less than that of a worker that is far from the data.
constexpr double WantedRackCost = 1.5;
/// Decisions that are logged in a second.
constexpr std::size_t MaxLoggedDecisions = 5;
constexpr Duration LogInterval = std::chrono::seconds(1);

std::string inMilliseconds(Duration Time) {
  return std::to_string(Time / std::chrono::milliseconds(1));
}

bool hasLabel(const WorkerEntry &Entry, const std::string &Label) {
  return std::find(Entry.Labels_.begin(), Entry.Labels_.end(), Label) !=
         Entry.Labels_.end();
}

RackKey rackOf(const PlacementRequest &Request) {
  return {Request.Service_, Request.Step_.DataRack_, Request.Step_.IsFiller_};
}

StepKey stepOf(const TaskName &Name) {
  return {Name.Job_, Name.Occurrence_, Name.Step_};
}

/// The kind of the tasks of \p Step for the learned run times.
std::string kindOf(const Job &TheJob, const StepSpec &Step) {
  return TheJob.accepted().Queue_ + '\n' + Step.Image_;
}

} // namespace

void Scheduler::Impl::sampleRacks(TimePoint Now) {
  if (!PlaceWaits_.isActive())
    return;
  PlaceWaits_.beginPass(Now);
  for (const UsableWorker &Usable : UsableWorkers_) {
    const WorkerState &Worker = *Usable.Worker_;
    ProcessorUse Use;
    Use.Total_ = Worker.milliCpu();
    Use.LongRunning_ = static_cast<double>(Worker.LongRunningMilliCpu_);
    Use.Ending_ = std::max(0.0, static_cast<double>(Worker.Used_.MilliCpu_) -
                                    Use.LongRunning_);
    Use.Fillers_ = static_cast<double>(Worker.FillerMilliCpu_);
    bool IsSource =
        Worker.AvoidUntil_ <= Now && Worker.QuarantinedUntil_ <= Now;
    PlaceWaits_.addWorker(Worker.Entry_.Service_, Worker.Entry_.Labels_,
                          Worker.UsablePosition_, Use, IsSource);
  }
  PlaceWaits_.endSampling(Now);
}

void Scheduler::Impl::noteRunEnd(const WorkerState &Worker, const Run &Ended,
                                 EndReason Reason, TimePoint Now) {
  if (!PlaceWaits_.isActive() || Ended.IsLongRunning_)
    return;
  PlaceWaits_.noteRelease(Worker.Entry_.Service_, Worker.Entry_.Labels_,
                          Ended.IsFiller_,
                          static_cast<double>(Ended.RequestedMilliCpu_), Now);
  // The time of a run that this owner did not start is not known, and that of a
  // filler depends on its pace.
  bool IsTimed = Reason == EndReason::Done && !Ended.IsFiller_ &&
                 Ended.StartsSent_ > 0 && Ended.ConfirmedAt_ != TimePoint();
  JobRecord *Record = IsTimed ? findJob(Ended.Name_.Job_) : nullptr;
  Task *Done = Record ? Record->Job_.find(Ended.Name_) : nullptr;
  if (!Done || !Done->Progress_.Checkpoint_.empty())
    return;
  const StepSpec &Step = Record->Job_.step(Ended.Name_);
  if (Step.DataRack_.empty())
    return;
  double Factor = hasLabel(Worker.Entry_, Step.DataRack_)
                      ? 1
                      : std::max(1.0, Settings_.FarFactor_);
  PlaceWaits_.runTimes().note(kindOf(Record->Job_, Step), Step.Estimate_,
                              std::chrono::duration_cast<Duration>(
                                  (Now - Ended.ConfirmedAt_) / Factor));
}

double Scheduler::Impl::wantedRackCost(const WorkerState &Worker,
                                       const StepSpec &Step) const {
  // The positions are those of the last placement pass.
  std::size_t Position = Worker.UsablePosition_;
  if (!PlaceWaits_.isWanted(Position, Step.IsFiller_) ||
      Position >= UsableWorkers_.size() ||
      UsableWorkers_[Position].Worker_ != &Worker ||
      hasLabel(Worker.Entry_, Step.DataRack_))
    return 0;
  return WantedRackCost;
}

bool Scheduler::Impl::hasFarTask(const Job &TheJob, std::uint32_t Slot) const {
  TaskName Name = TheJob.nameOf(Slot);
  const StepSpec &Step = TheJob.step(Name);
  std::uint32_t First = Slot - Name.Index_;
  for (std::uint32_t Each = First; Each < First + Step.Count_; ++Each) {
    const Task &Other = TheJob.at(Each);
    if (Other.Phase_ != TaskPhase::Placed)
      continue;
    auto It = Workers_.find(Other.Progress_.Worker_);
    if (It != Workers_.end() && !hasLabel(It->second.Entry_, Step.DataRack_))
      return true;
  }
  return false;
}

PlaceWaitDecision
Scheduler::Impl::decideWait(const Job &TheJob, const PlacementRequest &Request,
                            const RackKey &Rack, std::uint32_t Slot,
                            std::size_t Tasks, TimePoint Now) const {
  const StepSpec &Step = Request.Step_;
  const Task &First = TheJob.at(Slot);
  PlaceWaitInput Input;
  Input.RunTime_ =
      PlaceWaits_.runTimes().expected(kindOf(TheJob, Step), Step.Estimate_);
  Input.FarFactor_ = Settings_.FarFactor_;
  Input.Waited_ = Now - std::max(First.ReadyAt_, First.NotBefore_);
  const Queue *Policy = Queues_->find(TheJob.accepted().Queue_);
  // Both the objective and the time until the end depend on the run time.
  double Factor = Policy ? Policy->SlackFactor_ : 1;
  Input.Slack_ = rankOf(TheJob, Policy, Now).Due_ - Now -
                 TheJob.remainingTime() +
                 scaled(Input.RunTime_ - Step.Estimate_, Factor - 1);
  Input.BatchSize_ = Step.Count_;
  PlaceWaits_.describe(Rack, static_cast<double>(Step.Request_.MilliCpu_),
                       Tasks, Input, Now);
  return std::visit(
      Overloaded{
          [&](const LearnedPlaceWait &) { return decidePlaceWait(Input); },
          [&](const NoPlaceWait &) { return PlaceWaitDecision(); },
          [&](const FixedPlaceWait &Fixed) {
            PlaceWaitDecision Delay;
            if (Input.Waited_ < Fixed.Limit_)
              Delay.Verdict_ = PlaceWaitVerdict::Waits;
            return Delay;
          },
      },
      Settings_.PlaceWait_);
}

bool Scheduler::Impl::goesOnWaiting(const Job &TheJob,
                                    const PlacementRequest &Request,
                                    std::span<const std::uint32_t> Slots,
                                    TimePoint Now) {
  StepKey Key = stepOf(Request.Name_);
  if (Request.Step_.DataRack_.empty() || !PlaceWaits_.hasWaited(Key))
    return false;
  RackKey Rack = rackOf(Request);
  std::span<const std::size_t> Positions = PlaceWaits_.workersOf(Rack);
  bool HasRoom =
      std::any_of(Positions.begin(), Positions.end(), [&](std::size_t Each) {
        return UsableWorkers_[Each].Free_.fits({}, Request.Needed_);
      });
  if (HasRoom || TheJob.at(Slots.front()).Progress_.LastRun_ != 0)
    return false;
  PlaceWaitDecision Decision =
      decideWait(TheJob, Request, Rack, Slots.front(), Slots.size(), Now);
  if (!Decision.waits() || hasFarTask(TheJob, Slots.front()))
    return false;
  PlaceWaits_.noteWait(Key, Rack,
                       static_cast<double>(Request.Step_.Request_.MilliCpu_),
                       Slots.size(), Now);
  NextPlacementAt_ = std::min(NextPlacementAt_, Now + Decision.Allowance_);
  return true;
}

bool Scheduler::Impl::waitsForPlace(const Job &TheJob,
                                    const PlacementRequest &Request,
                                    std::span<const std::uint32_t> Slots,
                                    const WorkerState &Chosen, TimePoint Now) {
  const StepSpec &Step = Request.Step_;
  if (Step.DataRack_.empty() ||
      std::holds_alternative<NoPlaceWait>(Settings_.PlaceWait_))
    return false;
  bool IsNear = hasLabel(Chosen.Entry_, Step.DataRack_);
  RackKey Rack = rackOf(Request);
  if (!PlaceWaits_.isTracked(Rack)) {
    // Callers may name racks that do not exist.
    bool Exists = std::any_of(
        UsableWorkers_.begin(), UsableWorkers_.end(),
        [&](const UsableWorker &Usable) {
          const WorkerEntry &Entry = Usable.Worker_->Entry_;
          return Entry.Service_ == Rack.Service_ && hasLabel(Entry, Rack.Rack_);
        });
    if (!Exists)
      return false;
    PlaceWaits_.track(Rack, Now);
  }
  std::uint32_t Slot = Slots.front();
  auto MilliCpu = static_cast<double>(Step.Request_.MilliCpu_);
  StepKey Key = stepOf(Request.Name_);
  // Failures, losses and moves have cost the task time already.
  bool MayWait = !IsNear && !Step.IsLongRunning_ &&
                 Request.Isolation_ == Isolation::None &&
                 TheJob.at(Slot).Progress_.LastRun_ == 0;
  if (MayWait) {
    PlaceWaitDecision Decision =
        decideWait(TheJob, Request, Rack, Slot, Slots.size(), Now);
    // A task that runs far already determines the end of the step.
    if (Decision.waits() && hasFarTask(TheJob, Slot))
      Decision.Verdict_ = PlaceWaitVerdict::NotWorth;
    if (Decision.waits()) {
      if (PlaceWaits_.noteWait(Key, Rack, MilliCpu, Slots.size(), Now))
        recordPlaceWait(Request, Rack, Decision, Slots.size(), Now);
      NextPlacementAt_ = std::min(NextPlacementAt_, Now + Decision.Allowance_);
      return true;
    }
    recordPlaceWait(Request, Rack, Decision, Slots.size(), Now);
  }
  PlaceWaits_.notePlaced(Key, Rack, MilliCpu, IsNear, Slots.size() == 1, Now);
  return false;
}

bool Scheduler::Impl::waitsForOther(const PlacementRequest &Request,
                                    const WorkerState &Worker) const {
  return PlaceWaits_.isActive() &&
         PlaceWaits_.isWaiting(stepOf(Request.Name_)) &&
         (Request.Step_.DataRack_.empty() ||
          !hasLabel(Worker.Entry_, Request.Step_.DataRack_));
}

void Scheduler::Impl::recordPlaceWait(const PlacementRequest &Request,
                                      const RackKey &Rack,
                                      const PlaceWaitDecision &Decision,
                                      std::size_t Tasks, TimePoint Now) {
  if (Now >= NextPlaceWaitLogAt_) {
    NextPlaceWaitLogAt_ = Now + LogInterval;
    LoggedPlaceWaits_ = 0;
  }
  if (LoggedPlaceWaits_ == MaxLoggedDecisions) {
    ++UnloggedPlaceWaits_;
    return;
  }
  ++LoggedPlaceWaits_;
  const PlaceWaitCounts &Counts = PlaceWaits_.counts();
  recordEvent(
      LogEvent::PlaceWaitDecided,
      {{"task", Request.Name_.text()},
       {"rack", Rack.Rack_},
       {"decision",
        std::string(nameOf(PlaceWaitVerdictNames, Decision.Verdict_))},
       {"tasks", std::to_string(Tasks)},
       {"expected_ms", inMilliseconds(Decision.Expected_)},
       {"allowance_ms", inMilliseconds(Decision.Allowance_)},
       {"cost_ms", inMilliseconds(Decision.Cost_)},
       {"gain_ms", inMilliseconds(Decision.Gain_)},
       {"ended_near", std::to_string(Counts.EndedNear_)},
       {"gave_up", std::to_string(Counts.GaveUp_)},
       {"not_worth", std::to_string(Counts.NotWorth_)},
       {"waited_ms", inMilliseconds(Counts.Waited_)},
       {"unlogged", std::to_string(std::exchange(UnloggedPlaceWaits_, 0))}});
}

} // namespace filbertspring::scheduling
