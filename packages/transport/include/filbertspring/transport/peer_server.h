#ifndef FILBERTSPRING_TRANSPORT_PEER_SERVER_H
#define FILBERTSPRING_TRANSPORT_PEER_SERVER_H

/// \file
/// Receives the messages of peers: HTTP/2 without TLS.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/peer_message_ring.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace filbertspring {

/// Bounds of the server. A connection that exceeds one is closed.
struct PeerServerSettings {
  std::size_t MaxConnections_ = 128;
  std::uint32_t MaxStreams_ = 16;
  std::size_t MaxHeaderBytes_ = 4096;
  std::size_t MaxMessageBytes_ = 256 * 1024;
  /// A connection without any bytes for this long is closed.
  Duration IdleLimit_ = std::chrono::seconds(30);
};

/// Counts since the start.
struct PeerServerCounts {
  std::uint64_t Messages_ = 0;
  /// Messages dropped because the ring was full.
  std::uint64_t Dropped_ = 0;
  /// Connections closed for a violation or an exceeded bound.
  std::uint64_t Refused_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

/// Listens for peers on a thread of its own.
class PeerServer {
public:
  /// Starts to listen on \p Listen; port 0 lets the system choose. \p Received
  /// must outlive the server. Errors: those of binding the address.
  static Result<std::unique_ptr<PeerServer>>
  start(const Address &Listen, PeerMessageRing &Received,
        PeerServerSettings Settings = {});

  /// Closes all connections and joins the thread.
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Returns the address that it listens on.
  Address address() const;
  /// Returns the counts. Thread-safe.
  PeerServerCounts counts() const;

private:
  PeerServer();
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_SERVER_H
