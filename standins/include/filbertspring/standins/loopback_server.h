#ifndef FILBERTSPRING_STANDINS_LOOPBACK_SERVER_H
#define FILBERTSPRING_STANDINS_LOOPBACK_SERVER_H

/// \file
/// An HTTP server on the loopback address whose answers can be delayed,
/// truncated or missing.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// One header of a message; names are compared case-insensitively.
struct LoopbackField {
  std::string Name_;
  std::string Value_;
};

/// A complete HTTP request.
struct LoopbackRequest {
  std::string Method_;
  std::string Path_;
  std::vector<LoopbackField> Fields_;
  std::string Body_;

  /// Returns the value of the first header named \p Name, or an empty string.
  std::string field(std::string_view Name) const;
};

/// Fault injected into an answer.
enum class ReplyFault {
  None,
  /// The connection is closed without an answer.
  Close,
  /// Half of the body is sent, then the connection is closed.
  Truncate
};

/// An HTTP answer and the fault injected into it.
struct LoopbackReply {
  int Status_ = 200;
  std::string Body_;
  std::vector<LoopbackField> Fields_ = {};
  ReplyFault Fault_ = ReplyFault::None;
};

/// Sends the answer to one request; called at most once, on the server's
/// thread. A request whose sender is never called stays unanswered.
using ReplySender = std::function<void(LoopbackReply)>;
using LoopbackHandler =
    std::function<void(const LoopbackRequest &, ReplySender)>;

/// Serves HTTP on one thread, the one that calls run(). Requests of one
/// connection are answered in order.
class LoopbackServer {
public:
  /// Calls \p Handler for each request.
  explicit LoopbackServer(LoopbackHandler Handler);
  ~LoopbackServer();
  LoopbackServer(const LoopbackServer &) = delete;
  LoopbackServer &operator=(const LoopbackServer &) = delete;

  /// Listens on 127.0.0.1 and returns the port; 0 picks a free one. Errors:
  /// those of the operating system.
  Result<std::uint16_t> listen(std::uint16_t Port);
  /// Makes run() return at SIGTERM or SIGINT.
  void stopOnSignal();
  /// Calls \p Action on the server's thread after \p Delay. Must be called
  /// on that thread, or before run().
  void after(Duration Delay, std::function<void()> Action);
  /// Serves until stop().
  void run();
  /// Ends run(). Thread-safe.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_LOOPBACK_SERVER_H
