#ifndef FILBERTSPRING_NODE_WORKSPACE_METRICS_H
#define FILBERTSPRING_NODE_WORKSPACE_METRICS_H

/// \file
/// Metrics of the workspaces of a cell, for at most a fixed number of names.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/scheduler.h"

#include <set>
#include <string>
#include <vector>

namespace filbertspring::node {

/// Maximum number of workspaces with gauges of their own.
inline constexpr std::size_t MaxNamedWorkspaces = 50;

/// Publishes what workspaces use and wait for. Those that use most get gauges
/// of their own, which they keep; all others are published together.
class WorkspaceMetrics {
public:
  /// \p Counters must outlive the object.
  explicit WorkspaceMetrics(CounterRegistry &Counters) : Counters_(Counters) {}

  /// Returns whether the metrics are to be published at \p Now.
  bool isDue(TimePoint Now) const { return Now >= NextAt_; }
  /// Sets the gauges of named workspaces that are missing to 0; pass none when
  /// the cell is lost.
  void publish(std::vector<scheduling::WorkspaceCounts> Workspaces,
               TimePoint Now);

private:
  void set(const std::string &Name, const scheduling::WorkspaceCounts &Counts);

  CounterRegistry &Counters_;
  std::set<std::string> Named_;
  TimePoint NextAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKSPACE_METRICS_H
