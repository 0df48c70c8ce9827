#ifndef FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H
#define FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H

/// \file
/// The operator's configuration: queues, the services that run their tasks, and
/// the workspaces that share them.

#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/job_spec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// A queue of jobs and the URL prefix at which callers submit to it.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  /// The service whose workers run the tasks.
  std::string Service_;
  /// Jobs of queues with lower values are placed first.
  int Priority_ = 0;
  /// Number of failed runs of one task after which its job fails.
  std::uint32_t Attempts_ = 1;
  /// The latency objective of a job is the length of its critical path times
  /// this factor, plus TargetLatency_.
  double SlackFactor_ = 1.0;
  Duration TargetLatency_{};
  /// Time limit of a caller's request.
  Duration Timeout_{};
  /// Requests need no key of a workspace, and their jobs belong to none.
  bool IsPublic_ = false;
};

/// A named pool of workers.
struct ServicePool {
  std::string Name_;
  /// The workers themselves reject tasks that exceed their capacity.
  bool EnforcesCapacity_ = false;
};

/// A team whose callers share keys, a quota and a share of the workers.
struct Workspace {
  std::string Name_;
  /// Each of them identifies a caller of the workspace.
  std::vector<std::string> Keys_;
  /// The share of the workspace relative to others while tasks wait for
  /// capacity; also the jobs per second that its share covers.
  double Weight_ = 1.0;
  /// What its tasks may use on all workers together; 0 means no limit.
  Resources Maximum_;
};

/// Why an entry of the list of workspaces is not, or not wholly, in force.
struct WorkspaceProblem {
  /// The name of the workspace, shortened; its position if it has no name.
  std::string Workspace_;
  /// For people.
  std::string Problem_;
};

/// One complete version of the configuration.
struct QueueTable {
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<ServicePool> Services_;
  /// Empty if the deployment has no workspaces. Requests then need no keys.
  std::vector<Workspace> Workspaces_;
  std::vector<WorkspaceProblem> WorkspaceProblems_;
  /// Maximum size of the body of a caller's request.
  std::size_t MaxBodyBytes_ = 262'144;

  /// Returns the queue of \p Host with the longest prefix of \p Path, or null.
  /// Linear in the number of queues.
  const Queue *match(std::string_view Host, std::string_view Path) const;
  /// Returns the queue called \p Name, or null. Linear in the number of queues.
  const Queue *find(std::string_view Name) const;
  /// Returns whether requests to queues that are not public need a key. They do
  /// also if no entry of the list of workspaces could be read, since an error
  /// in the configuration must not admit everybody.
  bool requiresKeys() const {
    return !Workspaces_.empty() || !WorkspaceProblems_.empty();
  }
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H
