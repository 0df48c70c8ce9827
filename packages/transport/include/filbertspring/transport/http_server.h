#ifndef FILBERTSPRING_TRANSPORT_HTTP_SERVER_H
#define FILBERTSPRING_TRANSPORT_HTTP_SERVER_H

/// \file
/// An HTTP/1.1 server whose use of time, threads and memory is bounded for
/// each connection.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace filbertspring {

/// The bounds of an HttpServer.
struct HttpServerOptions {
  /// Where to listen; port 0 lets the system choose.
  Address Listen_;
  /// Connections served at one time, each by a thread of its own.
  std::size_t Threads_ = 320;
  /// Accepted connections that may wait for a thread. One more is answered
  /// with 503 and closed.
  std::size_t MaxWaiting_ = 64;
  std::size_t MaxBodyBytes_ = std::size_t{1} << 20U;
  std::size_t MaxHeaderBytes_ = std::size_t{16} << 10U;
  /// A whole request must arrive within this time of its first byte.
  Duration ReadLimit_ = std::chrono::seconds(5);
  /// A whole answer must be taken by the caller within this time.
  Duration WriteLimit_ = std::chrono::seconds(5);
  /// How long a connection may stay idle; it ends at once when others wait.
  Duration IdleLimit_ = std::chrono::seconds(30);
};

/// Serves requests with a handler, on threads of its own.
class HttpServer {
public:
  /// Answers one request. Called on several threads at a time; must not throw.
  using Handler = std::function<HttpAnswer(const HttpRequest &)>;

  HttpServer(HttpServerOptions Options, Handler Handle);
  /// Stops as stop() does.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address and starts the threads. Errors: ConnectFailed when the
  /// address cannot be bound.
  Status start();
  /// Returns the bound port; valid after start().
  std::uint16_t port() const;

  /// From here on each answer ends its connection, so that callers move away.
  void beginDrain();
  /// Stops accepting, waits for running handlers, and joins the threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_SERVER_H
