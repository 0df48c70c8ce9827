#ifndef FILBERTSPRING_TRANSPORT_PEER_SERVER_H
#define FILBERTSPRING_TRANSPORT_PEER_SERVER_H

/// \file
/// Receives messages from peers over HTTP/2 without TLS.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/peer_message_ring.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace filbertspring {

/// Limits of the server. A connection that exceeds one is closed.
struct PeerServerSettings {
  std::size_t MaxConnections_ = 128;
  std::uint32_t MaxStreams_ = 16;
  std::size_t MaxHeaderBytes_ = 4096;
  std::size_t MaxMessageBytes_ = 256 * 1024;
  /// A connection that received nothing for this long is closed.
  Duration IdleTimeout_ = std::chrono::seconds(30);
};

/// Counters since the start of the server.
struct PeerServerCounts {
  std::uint64_t Messages_ = 0;
  /// Messages dropped because the ring was full.
  std::uint64_t Dropped_ = 0;
  /// Connections closed because of a protocol violation or an exceeded limit.
  std::uint64_t Refused_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

/// Accepts connections from peers on its own thread.
class PeerServer {
public:
  /// Starts to listen on \p Listen; with port 0 the system chooses a free port.
  /// Messages are pushed to \p Received, which must outlive the server. Errors:
  /// those of binding the address.
  static Result<std::unique_ptr<PeerServer>>
  start(const Address &Listen, PeerMessageRing &Received,
        PeerServerSettings Settings = {});

  /// Closes all connections and joins the thread.
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Returns the bound address.
  Address address() const;
  /// Returns the counters. Thread-safe.
  PeerServerCounts counts() const;

private:
  PeerServer();
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_SERVER_H
