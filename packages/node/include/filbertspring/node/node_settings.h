#ifndef FILBERTSPRING_NODE_NODE_SETTINGS_H
#define FILBERTSPRING_NODE_NODE_SETTINGS_H

/// \file
/// Settings of an instance that runs on the users' platform.

#include "filbertspring/base/finding.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspring::node {

/// The validated settings of one instance.
struct NodeSettings {
  std::string Instance_;
  std::string Zone_;
  /// Listening addresses, each as "IP:PORT".
  std::string CallerAddress_;
  std::string ReadinessAddress_;
  std::string MetricsAddress_;
  /// The address on which this instance accepts calls of other instances.
  std::string PeerAddress_;
  std::string StoreAddress_;
  /// The fraction of a processor core that the instance may use.
  double CpuShare_ = 1.0;
  /// The speed of that core relative to a reference core.
  double RelativeCoreSpeed_ = 1.0;
  /// The memory of the machine in MB. The default is the smallest machine of
  /// the platform.
  double MemoryMb_ = 160;
  /// The number of descriptors that the process may open.
  double MaxDescriptors_ = 4100;
  /// The longest lease that workers accept.
  Duration MaxLease_ = std::chrono::seconds(6);
  /// The longest time that a worker takes to kill a task.
  Duration KillTimeout_ = std::chrono::milliseconds(200);
  /// The time between the termination signal and the forced kill of the
  /// instance.
  Duration StopGrace_ = std::chrono::seconds(6);
  /// How long the state of a finished job remains available to callers.
  Duration StateRetention_ = std::chrono::seconds(120);
  /// How long a cancellation keeps its job from being stored, if the state of
  /// jobs is not kept for longer.
  Duration MinCancellationRetention_ = std::chrono::seconds(120);
  /// The factor by which a task runs longer when it is not placed on the rack
  /// of its data.
  double RemoteDataSlowdown_ = 3.0;

  /// Returns the processor capacity of the instance, in reference cores.
  double capacityCores() const { return CpuShare_ * RelativeCoreSpeed_; }
};

/// The result of parsing settings; the settings are usable only if there are no
/// findings.
struct ParsedNodeSettings {
  NodeSettings Settings_;
  Findings Findings_;
};

/// Parses JSON with comments and reports every invalid setting. Unknown members
/// are ignored.
ParsedNodeSettings parseNodeSettings(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_NODE_SETTINGS_H
