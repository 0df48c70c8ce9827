#ifndef FILBERTSPRING_SCHEDULING_WORKSPACE_ORDER_H
#define FILBERTSPRING_SCHEDULING_WORKSPACE_ORDER_H

/// \file
/// The order in which the waiting jobs of several workspaces are placed.
///
/// A workspace that submits more than its share must not delay the jobs of
/// others. Jobs within the rate that a workspace's weight covers come first, in
/// the order of their queues' priorities. Among jobs of the same priority, the
/// next one is of the workspace that uses least of the cell in relation to its
/// weight (dominant resource fairness); its own jobs are in the order of their
/// ranks.

#include "job_order.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspring::scheduling {

/// Returns what fraction of \p Total a workspace uses of the resource that it
/// uses most of, divided by its weight.
double weightedShare(const Resources &Used, const Resources &Total,
                     double Weight);

/// Counts the jobs that a workspace submits in each interval.
class ArrivalCounter {
public:
  /// Counts a job accepted at \p AcceptedMs, and returns its number among those
  /// of the interval, from 1. The order of the calls has no effect on how many
  /// jobs of an interval are within the rate, so a new owner finds the same.
  std::uint32_t add(std::int64_t AcceptedMs);

private:
  /// Number of jobs by interval.
  std::map<std::int64_t, std::uint32_t> Jobs_;
};

/// Returns whether a job with \p Number in its interval exceeds the rate that
/// \p Weight covers.
bool isBeyondRate(std::uint32_t Number, double Weight);

/// A job that waits, in the order of workspaces.
struct WaitingJob {
  JobRank Rank_;
  /// Its workspace, as an index.
  std::size_t Workspace_ = 0;
  /// It exceeds the rate that the weight of its workspace covers.
  bool IsBeyondRate_ = false;
};

/// Yields waiting jobs one by one. What a workspace uses changes with each
/// placement, and the next job depends on it.
class WorkspaceOrder {
public:
  /// \p Shares: the weighted share of each workspace.
  WorkspaceOrder(const std::vector<WaitingJob> &Jobs,
                 std::vector<double> Shares);
  /// Returns the index of the next job; nothing after the last one. \p Share:
  /// the present weighted share of the workspace of the job before, if there
  /// was one.
  std::optional<std::size_t> next(double Share);

private:
  /// The jobs of one workspace in the present tier, as positions in Order_.
  struct Line {
    double Share_ = 0;
    std::size_t Next_ = 0;
    std::size_t End_ = 0;
    /// The heap functions put the lowest share first, and of several the
    /// workspace that comes first.
    bool operator<(const Line &Other) const {
      return Share_ != Other.Share_ ? Share_ > Other.Share_
                                    : Next_ > Other.Next_;
    }
  };
  /// Starts with the next jobs that are alike but for their workspaces.
  void startTier();

  const std::vector<WaitingJob> &Jobs_;
  std::vector<double> Shares_;
  /// The jobs by tier, workspace and rank.
  std::vector<std::size_t> Order_;
  /// The end of the present tier.
  std::size_t TierEnd_ = 0;
  /// A heap of the lines of the present tier with jobs left.
  std::vector<Line> Lines_;
  /// The line of the job before.
  std::optional<Line> Present_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKSPACE_ORDER_H
