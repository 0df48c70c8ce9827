#ifndef FILBERTSPRING_TRANSPORT_CONNECTION_CHOICE_H
#define FILBERTSPRING_TRANSPORT_CONNECTION_CHOICE_H

/// \file
/// Decides which connections of clients are closed when memory or connections
/// are exhausted. Does no I/O.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace filbertspring {

/// What a connection is doing.
enum class ConnectionPhase {
  /// No request has arrived yet, or the last one was answered.
  Idle,
  /// A request has begun and is not complete.
  Receiving,
  /// A request is complete and waits for memory.
  Waiting,
  /// A request is being handled.
  Handling,
  /// A response is being written.
  Responding,
  /// The last request was refused; what the client still sends is dropped.
  Lingering,
};

/// What a connection holds, and for how long it has been in its phase.
struct ConnectionLoad {
  ConnectionPhase Phase_ = ConnectionPhase::Idle;
  std::size_t Bytes_ = 0;
  Duration Age_{};
  /// For how long requests have been served that the client sent without
  /// waiting for the responses; zero if none is left.
  Duration PipelinedAge_{};
};

/// Connections that have been in their phase for less than this are not closed
/// in favour of others: it suffices for a request of 262,144 bytes on a link of
/// 10 Mbit/s (210 ms) that a second client shares.
inline constexpr Duration MinAgeToClose = std::chrono::milliseconds(500);

/// Returns the connections to close so that \p BytesToFree bytes become free:
/// those that hold most for longest first, by the product of bytes and age.
/// Requests that are being handled are never chosen, since their outcome would
/// become unknown. Frees less if fewer bytes are held by connections that may
/// be closed.
std::vector<std::size_t> chooseForMemory(std::span<const ConnectionLoad> Loads,
                                         std::size_t BytesToFree);

/// Returns the connection to close in favour of a new one: one that lingers,
/// else the one that has sent or read a message for longest, or pipelined
/// requests, else the one that has been idle for longest. Returns std::nullopt
/// if all are too young or being handled.
std::optional<std::size_t>
chooseForConnection(std::span<const ConnectionLoad> Loads);

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_CONNECTION_CHOICE_H
