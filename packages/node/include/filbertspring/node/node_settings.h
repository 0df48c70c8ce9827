#ifndef FILBERTSPRING_NODE_NODE_SETTINGS_H
#define FILBERTSPRING_NODE_NODE_SETTINGS_H

/// \file
/// Settings of an instance on the users' platform.

#include "filbertspring/base/finding.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspring::node {

/// All settings, checked.
struct NodeSettings {
  std::string Instance_;
  std::string Zone_;
  /// "IP:PORT" each.
  std::string CallerAddress_;
  std::string ReadinessAddress_;
  std::string MetricsAddress_;
  /// For other instances.
  std::string PeerAddress_;
  std::string StoreAddress_;
  /// Part of a core that the instance may use.
  double CpuShare_ = 1.0;
  /// How fast that core is, compared with a usual one.
  double CpuCores_ = 1.0;
  /// The longest lease that workers grant.
  Duration MaxLease_ = std::chrono::seconds(6);
  /// How long a worker may take to kill a task.
  Duration KillTimeout_ = std::chrono::milliseconds(200);
  /// Time between the request to stop and the kill.
  Duration Grace_ = std::chrono::seconds(6);
  /// How long the state of a finished job can be asked for.
  Duration StateKept_ = std::chrono::seconds(120);
  /// How much slower tasks are away from their data.
  double FarFactor_ = 3.0;
};

/// Settings and what is wrong with them.
struct ParsedNodeSettings {
  NodeSettings Values_;
  Findings Found_;
};

/// Reads JSON with comments. Unknown members are ignored.
ParsedNodeSettings parseNodeSettings(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_NODE_SETTINGS_H
