#ifndef FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H
#define FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H

/// \file
/// An HTTP client on an event loop, with persistent connections.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/transport/event_loop.h"
#include "filbertspring/transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace filbertspring {

/// Limits of a client.
struct AsyncHttpLimits {
  /// Maximum number of open connections to one address; further calls wait
  /// until one is idle.
  std::size_t ConnectionsPerAddress_ = 4;
  /// Maximum size of the body of an answer.
  std::size_t MaxAnswerBytes_ = 4U << 20U;
  /// Maximum time to establish a connection. With zero, only the timeout of
  /// the call applies.
  Duration ConnectTimeout_{};
  /// The timeout of a call is for the longest time without a part of its
  /// answer, so that a long answer may arrive over a slow link. Otherwise it is
  /// for the whole answer.
  bool IsTimeoutForEachPart_ = false;
  /// Time after which an idle connection is closed.
  Duration IdleTimeout_ = std::chrono::seconds(20);
};

/// Counters of a client since its construction.
struct AsyncHttpCounts {
  std::uint64_t Calls_ = 0;
  std::uint64_t Connections_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

/// Returns whether \p Address is an "IP:PORT" that can be called.
bool isSocketAddress(const std::string &Address);

/// Limits of one call.
struct CallLimits {
  /// The call ends after this time at the latest. Measured on the clock of the
  /// event loop; see LoopClock.
  Duration Timeout_{};
  /// The request is not written at or after this time. SchedulerClock is read
  /// at the moment of writing, so the limit also holds for a call that has
  /// waited for a connection, and for a process that stood still.
  TimePoint SendBefore_ = TimePoint::max();
};

/// Receives the answer or an error: Errc::ConnectFailed when the request was
/// certainly not sent, Errc::DeadlineExceeded when it was not sent because of
/// CallLimits::SendBefore_, Errc::OutcomeUnknown when it may have reached the
/// server.
using HttpCallback = std::function<void(Result<HttpAnswer>)>;

/// Sends requests to servers addressed as "IP:PORT". Each call ends after its
/// timeout at the latest, which also detects unresponsive connections. Timeouts
/// are measured on the clock of the event loop, so that a late loop does not
/// end calls whose answers have arrived; see LoopClock. Not thread-safe.
class AsyncHttpClient {
public:
  AsyncHttpClient(EventLoop &Loop, AsyncHttpLimits Limits);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Sends \p Request, whose path includes the query, and calls \p Callback
  /// once, never before this function returns.
  void send(const std::string &Address, const HttpRequest &Request,
            const CallLimits &Limits, HttpCallback Callback);
  void send(const std::string &Address, const HttpRequest &Request,
            Duration Timeout, HttpCallback Callback) {
    send(Address, Request, CallLimits{Timeout}, std::move(Callback));
  }
  const AsyncHttpCounts &counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_ASYNC_HTTP_CLIENT_H
