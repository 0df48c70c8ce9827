#include "filbertspring/scheduling/job_spec.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::scheduling {

Resources &Resources::operator+=(const Resources &Other) {
  MilliCpu_ += Other.MilliCpu_;
  MemoryMb_ += Other.MemoryMb_;
  Accelerators_ += Other.Accelerators_;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  MilliCpu_ -= Other.MilliCpu_;
  MemoryMb_ -= Other.MemoryMb_;
  Accelerators_ -= Other.Accelerators_;
  return *this;
}

bool Resources::fits(const Resources &Used, const Resources &Request) const {
  return Used.MilliCpu_ + Request.MilliCpu_ <= MilliCpu_ &&
         Used.MemoryMb_ + Request.MemoryMb_ <= MemoryMb_ &&
         Used.Accelerators_ + Request.Accelerators_ <= Accelerators_;
}

bool JobSpec::isLongRunning() const {
  return std::any_of(Steps_.begin(), Steps_.end(),
                     [](const StepSpec &Step) { return Step.IsLongRunning_; });
}

std::string findSpecError(const JobSpec &Spec) {
  if (Spec.Steps_.empty())
    return "a job needs at least one step";
  std::uint64_t Tasks = 0;
  for (std::uint32_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    const StepSpec &Step = Spec.Steps_[Number];
    if (Step.Count_ == 0)
      return fmt::format("step {} has no tasks", Number);
    Tasks += std::uint64_t{Step.Count_} * Spec.Occurrences_;
    for (std::uint32_t Earlier : Step.DependsOn_)
      if (Earlier >= Number)
        return fmt::format("step {} follows step {}, which is not earlier",
                           Number, Earlier);
  }
  if (Tasks > MaxTasksPerJob)
    return fmt::format("{} tasks are more than {}", Tasks, MaxTasksPerJob);
  return {};
}

Duration criticalPath(const JobSpec &Spec,
                      const std::function<bool(std::uint32_t)> &IsOpen) {
  // The length of the longest path that ends with each step.
  std::vector<Duration> Chains;
  Duration Longest{};
  for (std::uint32_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    const StepSpec &Step = Spec.Steps_[Number];
    Duration Chain{};
    for (std::uint32_t Earlier : Step.DependsOn_)
      Chain = std::max(Chain, Chains[Earlier]);
    if (IsOpen(Number))
      Chain += Step.Estimate_;
    Chains.push_back(Chain);
    Longest = std::max(Longest, Chain);
  }
  return Longest;
}

Duration criticalPath(const JobSpec &Spec) {
  return criticalPath(Spec, [](std::uint32_t) { return true; });
}

} // namespace filbertspring::scheduling
