#ifndef FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H
#define FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H

/// \file
/// A persistent connection to an HTTP server, with a limit on the total
/// duration of each call.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <memory>
#include <string>

namespace filbertspring {

/// An HTTP request.
struct ChannelCall {
  std::string Method_;
  std::string Path_;
  std::string Body_;
};

/// A complete HTTP response.
struct ChannelAnswer {
  int Status_ = 0;
  std::string Body_;
};

inline constexpr int StatusOk = 200;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusConflict = 409;
inline constexpr int StatusUnavailable = 503;

/// Sends calls one after the other over a persistent connection. The connection
/// is closed after any call without a complete answer and when unsolicited
/// bytes arrive on it. Used by one thread at a time.
class HttpChannel {
public:
  HttpChannel(const Address &Server, const ZoneName &Zone, Duration Timeout);
  ~HttpChannel();
  HttpChannel(HttpChannel &&) noexcept;
  HttpChannel &operator=(HttpChannel &&) noexcept;

  /// Returns the deadline of a call that starts now.
  TimePoint deadline() const;

  /// Sends \p Call once and waits until \p Deadline for the complete answer.
  /// Errors: ConnectFailed when no byte was sent; Timeout; ConnectionLost when
  /// the connection ended or the answer is not valid HTTP; TruncatedMessage for
  /// an answer that does not state its length; MessageTooLarge. After any error
  /// but ConnectFailed, the server may have received the call.
  Result<ChannelAnswer> send(const ChannelCall &Call, TimePoint Deadline);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_HTTP_CHANNEL_H
