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

/// Limits of a server.
struct AsyncServerLimits {
  std::size_t MaxBodyBytes_ = 262'144;
  std::size_t MaxConnections_ = 2000;
  /// Time after which a connection without a request is closed.
  Duration IdleTimeout_ = std::chrono::seconds(60);
};

/// Sends the answer to one request. Must be called once; a copy refers to the
/// same request. Has no effect after the caller has disconnected.
using HttpResponder = std::function<void(HttpAnswer)>;
/// Handles a request, now or later. HttpRequest::Path_ excludes the query.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Accepts connections and serves requests, one at a time per connection. Not
/// thread-safe.
class AsyncHttpServer {
public:
  AsyncHttpServer(EventLoop &Loop, AsyncServerLimits Limits,
                  HttpHandler Handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// Listens on "IP:PORT". Errors: Errc::InvalidInput for a malformed address,
  /// or the error of the system call.
  Status listen(const std::string &Address);
  /// Makes every further answer close its connection, so that callers
  /// reconnect elsewhere.
  void beginDrain();
  /// Returns the number of requests that were read and not answered yet.
  std::size_t inFlight() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H
