#ifndef FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H
#define FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H

/// \file
/// One kept connection to an HTTP server, with a limit on the whole time of
/// each call.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <memory>
#include <string>

namespace filbertspring {

/// What to send.
struct ChannelCall {
  std::string Method_;
  std::string Path_;
  std::string Body_;
};

/// A whole answer.
struct ChannelAnswer {
  int Status_ = 0;
  std::string Body_;
};

inline constexpr int StatusOk = 200;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusConflict = 409;
inline constexpr int StatusUnavailable = 503;

/// Sends calls one after the other over a kept connection. The connection is
/// closed after any call without a whole answer, and when bytes arrive on it
/// that no call asked for. Used by one thread at a time.
class HttpChannel {
public:
  HttpChannel(const Address &Server, const ZoneName &Zone, Duration Timeout);
  ~HttpChannel();
  HttpChannel(HttpChannel &&) noexcept;
  HttpChannel &operator=(HttpChannel &&) noexcept;

  /// Returns when a call that starts now has to end.
  TimePoint deadline() const;

  /// Sends \p Call once and waits for the whole answer until \p Deadline.
  /// Errors: ConnectFailed when no byte was sent; Timeout; ConnectionLost for
  /// a connection that ended or an answer that is no HTTP; TruncatedMessage
  /// for one without a length; MessageTooLarge. After the last four the server
  /// may have received the call.
  Result<ChannelAnswer> send(const ChannelCall &Call, TimePoint Deadline);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H
