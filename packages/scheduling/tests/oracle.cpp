#include "oracle.h"

#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

/// A task of a cancelled job may start this much later at most.
constexpr Duration CancelLimit = std::chrono::milliseconds(3000);

} // namespace

void Oracle::report(const char *Rule, std::string Detail) {
  Violations_.push_back({Rule, std::move(Detail)});
}

void Oracle::accepted(const AcceptedJob &Job, std::uint32_t Attempts) {
  KnownJob &Known = Jobs_[Job.Id_];
  Known.Accepted_ = Job;
  Known.Attempts_ = Attempts;
}

void Oracle::cancelled(const std::string &Job, TimePoint Now) {
  Jobs_.at(Job).CancelledAt_ = Now;
}

void Oracle::checkOrder(const KnownJob &Job, const TaskName &Name) {
  const JobSpec &Spec = Job.Accepted_.Spec_;
  for (std::uint32_t Earlier : Spec.Steps_[Name.Step_].DependsOn_)
    for (std::uint32_t Index = 0; Index < Spec.Steps_[Earlier].Count_;
         ++Index) {
      TaskName Before{Name.Job_, Name.Occurrence_, Earlier, Index};
      auto Found = Job.Tasks_.find(Before.text());
      if (Found == Job.Tasks_.end() || !Found->second.HasDone_)
        report("order", fmt::format("{} started before {} was done",
                                    Name.text(), Before.text()));
    }
}

void Oracle::checkRoom(const std::string &Worker) {
  Resources Used;
  for (const auto &[Text, Held] : Held_[Worker])
    Used += Held;
  if (!Workers_.at(Worker).Capacity_.fits(Used, {}))
    report("room", fmt::format("{} holds {} mCPU and {} MB", Worker,
                               Used.MilliCpu_, Used.MemoryMb_));
}

void Oracle::started(const std::string &Worker, const StartTask &Start,
                     std::uint64_t /*Token*/, TimePoint Now) {
  ++Starts_;
  const TaskName &Name = Start.Name_;
  std::string Text = Name.text();
  auto Found = Jobs_.find(Name.Job_);
  if (Found == Jobs_.end())
    return report("unasked", Text);
  KnownJob &Job = Found->second;
  const StepSpec &Step = Job.Accepted_.Spec_.Steps_[Name.Step_];
  KnownTask &Known = Job.Tasks_[Text];
  if (Start.Payload_ != Job.Accepted_.Spec_.Payload_)
    report("payload", Text);
  if (!Known.Runs_.empty())
    report("twice", fmt::format("{} runs on {} and {}", Text,
                                *Known.Runs_.begin(), Worker));
  if (Known.IsDoneAcknowledged_)
    report("repeated", fmt::format("{} on {}", Text, Worker));
  for (auto &[Run, IsRepeated] : Known.DoneRuns_)
    IsRepeated = true;
  if (!Step.IsLongRunning_ &&
      Known.AcknowledgedFailures_.size() >= Job.Attempts_)
    report("budget", Text);
  if (Job.CancelledAt_ && Now > *Job.CancelledAt_ + CancelLimit)
    report("cancelled", Text);
  checkOrder(Job, Name);
  Known.Runs_.insert(Worker);
  Resources Held = Step.Request_;
  if (Step.IsFiller_)
    Held.MilliCpu_ = 0;
  Held_[Worker][Text] = Held;
  checkRoom(Worker);
}

void Oracle::ended(const std::string &Worker, const TaskName &Name,
                   std::uint64_t Run, EndReason Reason, TimePoint) {
  KnownTask &Known = Jobs_[Name.Job_].Tasks_[Name.text()];
  Known.Runs_.erase(Worker);
  Held_[Worker].erase(Name.text());
  if (Reason != EndReason::Done)
    return;
  Known.HasDone_ = true;
  Known.DoneRuns_[Run] = false;
}

void Oracle::acknowledged(const std::string &, const TaskName &Name,
                          std::uint64_t Run, EndReason Reason, bool HasLapsed,
                          TimePoint) {
  KnownTask &Known = Jobs_[Name.Job_].Tasks_[Name.text()];
  if (Reason == EndReason::Failed)
    Known.AcknowledgedFailures_.insert(Run);
  bool IsLasting =
      Jobs_[Name.Job_].Accepted_.Spec_.Steps_[Name.Step_].IsLongRunning_;
  if (Reason != EndReason::Done || HasLapsed || IsLasting)
    return;
  Known.IsDoneAcknowledged_ = true;
  // An end that a crashed worker forgot is never acknowledged.
  if (Known.DoneRuns_[Run])
    report("repeated",
           fmt::format("{} before its end was acknowledged", Name.text()));
}

bool Oracle::isDone(const std::string &Job) const {
  const KnownJob &Known = Jobs_.at(Job);
  const JobSpec &Spec = Known.Accepted_.Spec_;
  std::size_t Done = 0;
  std::size_t Tasks = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Tasks += Step.Count_;
  for (const auto &[Text, One] : Known.Tasks_)
    Done += One.HasDone_ ? 1 : 0;
  return Done == Tasks;
}

} // namespace filbertspring::scheduling::test
