#ifndef FILBERTSPRING_NODE_WORKER_CONNECTIONS_H
#define FILBERTSPRING_NODE_WORKER_CONNECTIONS_H

/// \file
/// Connections to workers.

#include "filbertspring/transport/async_http_client.h"

#include <string>
#include <utility>

namespace filbertspring::node {

/// The timeout of calls to workers, in addition to the time that a renewal asks
/// the worker to wait. Many round trips between availability zones.
inline constexpr Duration WorkerCallTimeout = std::chrono::milliseconds(600);

/// Sends requests to workers. Calls whose answers workers delay use connections
/// of their own, so that the other calls do not wait for them. Not thread-safe.
class WorkerConnections {
public:
  explicit WorkerConnections(EventLoop &Loop)
      : WaitingClient_(Loop, limits()), CommandClient_(Loop, limits()) {}

  /// Sends \p Request. A timeout above WorkerCallTimeout states that the worker
  /// may delay its answer.
  void send(const std::string &Address, const HttpRequest &Request,
            const CallLimits &Limits, HttpCallback Callback) {
    AsyncHttpClient &Client =
        Limits.Timeout_ > WorkerCallTimeout ? WaitingClient_ : CommandClient_;
    Client.send(Address, Request, Limits, std::move(Callback));
  }

private:
  static AsyncHttpLimits limits() {
    AsyncHttpLimits Limits;
    Limits.ConnectionsPerAddress_ = 2;
    return Limits;
  }

  AsyncHttpClient WaitingClient_;
  AsyncHttpClient CommandClient_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CONNECTIONS_H
