#ifndef FILBERTSPRING_TRANSPORT_PEER_LINKS_H
#define FILBERTSPRING_TRANSPORT_PEER_LINKS_H

/// \file
/// Sends messages to peers over HTTP/2 without TLS.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace filbertspring {

/// Timeouts and limits of the links.
struct PeerLinksSettings {
  /// A PING frame is sent on a connection that received nothing for this long.
  Duration PingInterval_ = std::chrono::seconds(3);
  /// A connection that received nothing for this long is closed.
  Duration ReceiveTimeout_ = std::chrono::seconds(6);
  /// The first and the maximum delay before the next connection attempt.
  Duration MinBackoff_ = std::chrono::milliseconds(200);
  Duration MaxBackoff_ = std::chrono::seconds(5);
  /// Maximum number of queued messages per peer; when the queue is full, the
  /// oldest message is dropped.
  std::size_t MaxQueued_ = 16;
  std::size_t MaxMessageBytes_ = 256 * 1024;
  /// Seed of the jitter added to the reconnection delays.
  std::uint64_t Seed_ = 1;
};

/// A peer and the address it listens on.
struct PeerAddress {
  InstanceName Name_;
  Address Peer_;
};

/// The state of one link.
struct PeerLinkStatus {
  InstanceName Name_;
  bool Connected_ = false;
  /// Number of connections established.
  std::uint64_t Connects_ = 0;
};

/// Counters since construction.
struct PeerLinksCounts {
  std::uint64_t Sent_ = 0;
  /// Messages dropped because the queue was full, the message too large or the
  /// peer unknown.
  std::uint64_t Dropped_ = 0;
  /// Connections closed because nothing was received for ReceiveTimeout_.
  std::uint64_t ReceiveTimeouts_ = 0;
  std::uint64_t BytesSent_ = 0;
};

/// Maintains a connection to each of a set of peers on its own thread. All
/// members are thread-safe and do not block.
class PeerLinks {
public:
  explicit PeerLinks(InstanceName Self, PeerLinksSettings Settings = {});
  /// Closes all connections and joins the thread.
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Replaces the set of peers and closes the links to all others.
  void setPeers(std::vector<PeerAddress> Peers);
  /// Queues a message. Delivery is neither guaranteed nor confirmed.
  void send(const InstanceName &To, std::string Message);

  /// Returns the state of all links, sorted by name.
  std::vector<PeerLinkStatus> status() const;
  PeerLinksCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_LINKS_H
