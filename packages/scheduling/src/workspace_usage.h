#ifndef FILBERTSPRING_SCHEDULING_WORKSPACE_USAGE_H
#define FILBERTSPRING_SCHEDULING_WORKSPACE_USAGE_H

/// \file
/// What the tasks of each workspace use on all workers, and what they may use.
///
/// Each run that a worker executes or may execute counts with the whole request
/// of its task, from the decision to start it until it is known that the worker
/// does not execute it any more.

#include "filbertspring/scheduling/queue_table.h"
#include "workspace_order.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspring::scheduling {

/// A workspace of the present owner.
struct WorkspaceState {
  std::string Name_;
  /// Its position among all workspaces.
  std::size_t Index_ = 0;
  /// It is part of the present configuration.
  bool IsConfigured_ = false;
  double Weight_ = 0;
  /// That of the last configuration with the workspace; 0 means no limit.
  Resources Maximum_;
  /// The requests of all its runs, and those of its long-running tasks.
  Resources Used_;
  Resources UsedByLongRunning_;
  std::size_t Runs_ = 0;
  /// The request of a task that has waited for long for the quota. Until the
  /// end of the placement pass no other timed task may take what it waits for.
  bool IsHeld_ = false;
  /// Since when less than half of the maximum has been in use.
  std::optional<TimePoint> BelowHalfSince_;
  ArrivalCounter Arrivals_;

  /// Counts a run.
  void add(const Resources &Request, bool IsLongRunning);
  /// Stops counting a run.
  void remove(const Resources &Request, bool IsLongRunning);
  /// Returns whether a task with \p Request may be started.
  bool permits(const Resources &Request) const;
  /// Returns whether a task with \p Request could start if only long-running
  /// tasks ran.
  bool fitsBesideLongRunning(const Resources &Request) const;
  /// Returns whether more is in use than the maximum, which may have been
  /// lowered.
  bool isAboveMaximum() const { return !permits({}); }
  /// Notes what is in use at \p Now.
  void observeUse(TimePoint Now);
  /// Returns whether less than half of the maximum has been in use for at least
  /// \p Time.
  bool isBelowHalfFor(Duration Time, TimePoint Now) const {
    return BelowHalfSince_ && Now - *BelowHalfSince_ >= Time;
  }
};

/// The workspaces of one owner. They are kept until its tenure ends, so that
/// runs can refer to them.
class WorkspaceUsage {
public:
  WorkspaceUsage();
  /// Applies the weights and maxima of \p Configured. A workspace that is not
  /// part of it keeps its maximum. Of several with the same name the first
  /// counts.
  void configure(const std::vector<Workspace> &Configured);
  /// Returns the workspace called \p Name, which is added if it is new. Jobs
  /// without a workspace share one with an empty name, which has no maximum and
  /// the mean weight of the configured ones.
  WorkspaceState &obtain(const std::string &Name);
  /// Returns the workspace called \p Name, or null.
  WorkspaceState *find(const std::string &Name) const;
  /// Returns all workspaces in the order of their indices.
  const std::vector<std::unique_ptr<WorkspaceState>> &all() const {
    return All_;
  }

private:
  std::vector<std::unique_ptr<WorkspaceState>> All_;
  std::unordered_map<std::string, WorkspaceState *> ByName_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKSPACE_USAGE_H
