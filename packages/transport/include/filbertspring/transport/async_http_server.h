#ifndef FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H
#define FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H

/// \file
/// An HTTP server on an event loop.

#include "filbertspring/base/result.h"
#include "filbertspring/transport/event_loop.h"
#include "filbertspring/transport/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace filbertspring {

/// Bounds of a server.
struct AsyncServerLimits {
  std::size_t MaxBodyBytes_ = 262'144;
  std::size_t MaxConnections_ = 2000;
  /// A connection without a request is closed after this.
  Duration IdleTimeout_ = std::chrono::seconds(60);
};

/// Sends the answer to one request. Call it once; a copy refers to the same
/// request. Calling it after the caller has left has no effect.
using HttpResponder = std::function<void(HttpAnswer)>;
/// Takes over a request. HttpRequest::Path_ excludes the query.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Accepts connections and answers requests, one at a time on a connection.
/// Not thread-safe.
class AsyncHttpServer {
public:
  AsyncHttpServer(EventLoop &Loop, AsyncServerLimits Limits,
                  HttpHandler Handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// Listens on "IP:PORT"; Errc::InvalidInput or the system's error.
  Status listen(const std::string &Address);
  /// From now on each answer asks the caller to use another connection.
  void beginDrain();
  /// Requests that were read and not answered yet.
  std::size_t inFlight() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H
