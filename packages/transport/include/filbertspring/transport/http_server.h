#ifndef FILBERTSPRING_TRANSPORT_HTTP_SERVER_H
#define FILBERTSPRING_TRANSPORT_HTTP_SERVER_H

/// \file
/// A multithreaded HTTP/1.1 server that bounds the time, threads and memory of
/// each connection.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace filbertspring {

/// Options and limits of an HttpServer.
struct HttpServerOptions {
  /// The address to listen on; with port 0 the system chooses a free port.
  Address Listen_;
  /// Maximum number of connections served concurrently, one thread each.
  std::size_t Threads_ = 320;
  /// Maximum number of accepted connections that wait for a thread. Further
  /// connections are answered with 503 and closed.
  std::size_t MaxQueuedConnections_ = 64;
  std::size_t MaxBodyBytes_ = std::size_t{1} << 20U;
  std::size_t MaxHeaderBytes_ = std::size_t{16} << 10U;
  /// Maximum time from the first byte of a request to its last.
  Duration ReadTimeout_ = std::chrono::seconds(5);
  /// Maximum time to send an answer.
  Duration WriteTimeout_ = std::chrono::seconds(5);
  /// Time after which an idle connection is closed. It is closed earlier when
  /// other connections wait for a thread.
  Duration IdleTimeout_ = std::chrono::seconds(30);
};

/// Serves requests with a handler on its own threads.
class HttpServer {
public:
  /// Returns the answer to a request. Called concurrently from several threads;
  /// must not throw.
  using Handler = std::function<HttpAnswer(const HttpRequest &)>;

  HttpServer(HttpServerOptions Options, Handler RequestHandler);
  /// Calls stop().
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address and starts the threads. Errors: Errc::ConnectFailed when
  /// the address cannot be bound.
  Status start();
  /// Returns the bound port; valid after start().
  std::uint16_t port() const;

  /// Makes every further answer close its connection, so that callers
  /// reconnect elsewhere.
  void beginDrain();
  /// Stops accepting, waits for running handlers, and joins the threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_SERVER_H
