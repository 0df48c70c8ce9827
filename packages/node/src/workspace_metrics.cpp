#include "workspace_metrics.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

/// How often the metrics are published. Collecting them takes time in
/// proportion to the number of waiting jobs.
constexpr Duration PublishInterval = std::chrono::seconds(2);
/// The label of all workspaces without gauges of their own.
constexpr const char *OtherWorkspaces = "(others)";

/// Returns \p Name as the value of a label.
std::string escaped(const std::string &Name) {
  std::string Result;
  for (char Each : Name) {
    if (Each == '"' || Each == '\\')
      Result += '\\';
    Result += Each == '\n' ? ' ' : Each;
  }
  return Result;
}

} // namespace

void WorkspaceMetrics::set(const std::string &Name,
                           const scheduling::WorkspaceCounts &Counts) {
  std::string Label = "workspace=\"" + escaped(Name) + "\"";
  auto Set = [&](const char *Gauge, std::size_t Value) {
    Counters_.gauge(Gauge, Label).set(static_cast<std::int64_t>(Value));
  };
  Counters_.gauge("workspace_used_millicpu", Label).set(Counts.Used_.MilliCpu_);
  Counters_.gauge("workspace_used_memory_mb", Label)
      .set(Counts.Used_.MemoryMb_);
  Counters_.gauge("workspace_used_accelerators", Label)
      .set(Counts.Used_.Accelerators_);
  Set("workspace_runs", Counts.Runs_);
  Set("workspace_waiting_tasks", Counts.WaitingTasks_);
  Set("workspace_jobs_at_quota", Counts.JobsAtQuota_);
}

void WorkspaceMetrics::publish(
    std::vector<scheduling::WorkspaceCounts> Workspaces, TimePoint Now) {
  NextAt_ = Now + PublishInterval;
  std::stable_sort(Workspaces.begin(), Workspaces.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Used_.MilliCpu_ > Right.Used_.MilliCpu_;
                   });
  scheduling::WorkspaceCounts Others;
  std::set<std::string> Missing = Named_;
  for (const scheduling::WorkspaceCounts &Counts : Workspaces) {
    if (Named_.size() < MaxNamedWorkspaces)
      Named_.insert(Counts.Name_);
    Missing.erase(Counts.Name_);
    if (Named_.contains(Counts.Name_)) {
      set(Counts.Name_, Counts);
      continue;
    }
    Others.Used_ += Counts.Used_;
    Others.Runs_ += Counts.Runs_;
    Others.WaitingTasks_ += Counts.WaitingTasks_;
    Others.JobsAtQuota_ += Counts.JobsAtQuota_;
  }
  for (const std::string &Name : Missing)
    set(Name, {});
  if (Named_.size() == MaxNamedWorkspaces)
    set(OtherWorkspaces, Others);
}

} // namespace filbertspring::node
