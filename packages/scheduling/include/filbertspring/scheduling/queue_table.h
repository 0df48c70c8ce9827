#ifndef FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H
#define FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H

/// \file
/// The operators' configuration: queues and the services that run their tasks.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// A queue of jobs and how it is reached.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  /// The service whose workers run the tasks.
  std::string Service_;
  /// 0 comes first.
  int Priority_ = 0;
  /// Failed runs of a task after which its job fails.
  std::uint32_t Attempts_ = 1;
  /// The objective of a job is this many times its longest chain of work ...
  double SlackFactor_ = 1.0;
  /// ... and this much more.
  Duration TargetLatency_{};
  /// The longest that a caller's request may take.
  Duration Timeout_{};
};

/// A pool of workers.
struct ServicePool {
  std::string Name_;
  /// The workers themselves reject what does not fit.
  bool EnforcesCapacity_ = false;
};

/// One version of the configuration, whole.
struct QueueTable {
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<ServicePool> Services_;
  /// The largest body of a caller's request, in bytes.
  std::size_t MaxBodyBytes_ = 262'144;

  /// Returns the queue with the longest prefix that \p Path begins with on
  /// \p Host, or null. Linear in the queues.
  const Queue *match(std::string_view Host, std::string_view Path) const;
  /// Returns the queue called \p Name, or null. Linear in the queues.
  const Queue *find(std::string_view Name) const;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_QUEUE_TABLE_H
