#ifndef FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H
#define FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H

/// \file
/// HTTP calls on an event loop, over connections that are kept open.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/transport/event_loop.h"
#include "filbertspring/transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace filbertspring {

/// Bounds of a client.
struct AsyncHttpLimits {
  /// Open connections to one address; further calls wait for one.
  std::size_t ConnectionsPerAddress_ = 4;
  /// The largest answer, in bytes.
  std::size_t MaxAnswerBytes_ = 4U << 20U;
  /// A connection that is not accepted within this is given up; zero: only the
  /// call's own timeout counts.
  Duration ConnectTimeout_{};
  /// An idle connection is closed after this.
  Duration IdleTimeout_ = std::chrono::seconds(20);
};

/// Numbers of a client since its start.
struct AsyncHttpCounts {
  std::uint64_t Calls_ = 0;
  std::uint64_t Connections_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

/// Receives the answer, or why there is none: Errc::ConnectFailed when the
/// request was surely not sent, Errc::OutcomeUnknown when it may have arrived.
using HttpCallback = std::function<void(Result<HttpAnswer>)>;

/// Calls servers by "IP:PORT". Each call ends after its timeout at the latest,
/// which also finds connections that went silent. Not thread-safe.
class AsyncHttpClient {
public:
  AsyncHttpClient(EventLoop &Loop, AsyncHttpLimits Limits);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Sends \p Request, whose path includes the query, and calls \p Callback
  /// once, never before this function returns.
  void send(const std::string &Address, const HttpRequest &Request,
            Duration Timeout, HttpCallback Callback);
  const AsyncHttpCounts &counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H
