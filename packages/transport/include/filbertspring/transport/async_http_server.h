#ifndef FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H
#define FILBERTSPRING_TRANSPORT_ASYNC_HTTP_SERVER_H

/// \file
/// An HTTP server on an event loop.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/result.h"
#include "filbertspring/transport/client_budget.h"
#include "filbertspring/transport/event_loop.h"
#include "filbertspring/transport/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace filbertspring {

/// Limits of a server. docs/design/client-limits.md derives the defaults.
struct AsyncServerLimits {
  std::size_t MaxBodyBytes_ = 262'144;
  std::size_t MaxConnections_ = 2000;
  /// Time after which a connection without a request is closed.
  Duration IdleTimeout_ = std::chrono::seconds(60);
  /// Bytes of the request line and the headers. Clients rely on 16,384 bytes of
  /// headers; the rest is for the request line.
  std::size_t MaxHeaderBytes_ = 20'480;
  /// Time from the first byte of a request to the end of its headers. Clients
  /// rely on 3,000 ms.
  Duration HeaderTimeout_ = std::chrono::milliseconds(3500);
  /// Bytes per second at which a body must arrive after BodyGrace_; 0 means no
  /// limit.
  std::size_t MinBodyRate_ = 4096;
  Duration BodyGrace_ = std::chrono::seconds(5);
  /// Time for which a request waits for memory before it is refused.
  Duration MemoryTimeout_ = std::chrono::seconds(10);
  /// Time after which a response that the client does not read is dropped.
  Duration WriteTimeout_ = std::chrono::seconds(10);
  /// Size of the socket buffers of connections; 0 leaves it to the system.
  int ReceiveBufferBytes_ = 0;
  int SendBufferBytes_ = 0;
};

/// Why a server refused a request or closed a connection.
enum class ClientRefusal {
  Malformed,
  Head,
  HeaderSize,
  HeaderTimeout,
  BodySize,
  BodyRate,
  Memory,
  UnreadResponse,
  Connections,
};
inline constexpr EnumTable<ClientRefusal, 9> ClientRefusalNames{{
    {ClientRefusal::Malformed, "malformed"},
    {ClientRefusal::Head, "head"},
    {ClientRefusal::HeaderSize, "header_size"},
    {ClientRefusal::HeaderTimeout, "header_timeout"},
    {ClientRefusal::BodySize, "body_size"},
    {ClientRefusal::BodyRate, "body_rate"},
    {ClientRefusal::Memory, "memory"},
    {ClientRefusal::UnreadResponse, "unread_response"},
    {ClientRefusal::Connections, "connections"},
}};

/// What is decided about a request once its headers are known.
struct HeadDecision {
  /// The answer if the request is refused. Its body is not stored.
  std::optional<HttpAnswer> Refusal_;
  std::size_t MaxBodyBytes_ = 0;
};

/// What a server asks and reports. Each function may be empty.
struct AsyncServerHooks {
  /// Examines the method, the path and the headers of a request before its body
  /// arrives. HttpRequest::Path_ excludes the query.
  std::function<HeadDecision(const HttpRequest &)> CheckHead_;
  /// Is called for each refusal that the server decides.
  std::function<void(ClientRefusal)> Refused_;
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
  /// Without \p Budget, the memory of the clients is not limited. \p Budget
  /// must outlive the server.
  AsyncHttpServer(EventLoop &Loop, AsyncServerLimits Limits,
                  HttpHandler Handler, AsyncServerHooks Hooks = {},
                  ClientBudget *Budget = nullptr);
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
