#ifndef FILBERTSPRING_NODE_CLIENT_LIMITS_H
#define FILBERTSPRING_NODE_CLIENT_LIMITS_H

/// \file
/// What an instance grants to its clients, derived from its machine, and the
/// record of what it refused.

#include "filbertspring/base/counters.h"
#include "filbertspring/transport/async_http_server.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <utility>

namespace filbertspring::node {

/// The limits of the listeners that clients reach.
struct ClientLimits {
  /// Memory for the messages of the clients of each listener.
  std::size_t CallerBytes_ = 0;
  std::size_t ReadinessBytes_ = 0;
  std::size_t MetricsBytes_ = 0;
  AsyncServerLimits Callers_;
  AsyncServerLimits Readiness_;
  AsyncServerLimits Metrics_;
};

/// Returns the limits on a machine with \p MemoryMb megabytes of memory and
/// \p Descriptors descriptors. docs/design/client-limits.md explains the
/// shares.
ClientLimits deriveClientLimits(double MemoryMb, double Descriptors);

/// Returns the limits of the listener for other instances, whose connections
/// and messages are few and trusted. They have no budget, so that clients
/// cannot exhaust it.
AsyncServerLimits peerLimits();

/// Counts refusals by listener and reason, and logs at most one line for each
/// of them and second.
class RefusalLog {
public:
  explicit RefusalLog(CounterRegistry &Counters) : Counters_(Counters) {}

  void note(std::string_view Listener, ClientRefusal Reason, TimePoint Now);

private:
  struct Kind {
    /// Refusals since the last line.
    std::int64_t Count_ = 0;
    TimePoint LoggedAt_{};
    Counter *Counter_ = nullptr;
  };

  CounterRegistry &Counters_;
  std::map<std::pair<std::string_view, ClientRefusal>, Kind> Kinds_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CLIENT_LIMITS_H
