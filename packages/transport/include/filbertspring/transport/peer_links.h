#ifndef FILBERTSPRING_TRANSPORT_PEER_LINKS_H
#define FILBERTSPRING_TRANSPORT_PEER_LINKS_H

/// \file
/// Sends messages to peers: HTTP/2 without TLS.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace filbertspring {

/// Times and bounds of the links.
struct PeerLinksSettings {
  /// A connection on which nothing arrived for this long is sent a PING frame.
  Duration PingInterval_ = std::chrono::seconds(3);
  /// A connection on which nothing arrived for this long is closed.
  Duration SilenceLimit_ = std::chrono::seconds(6);
  /// The first and the longest delay before a connection is tried again.
  Duration MinBackoff_ = std::chrono::milliseconds(200);
  Duration MaxBackoff_ = std::chrono::seconds(5);
  /// Messages waiting for one peer; the oldest is dropped for a new one.
  std::size_t MaxQueued_ = 16;
  std::size_t MaxMessageBytes_ = 256 * 1024;
  /// Decides the jitter of the delays.
  std::uint64_t Seed_ = 1;
};

/// A peer and where it listens.
struct PeerAddress {
  InstanceName Name_;
  Address Peer_;
};

/// The state of one link.
struct PeerLinkStatus {
  InstanceName Name_;
  bool Connected_ = false;
  /// How often a connection was made.
  std::uint64_t Connects_ = 0;
};

/// Counts since the start.
struct PeerLinksCounts {
  std::uint64_t Sent_ = 0;
  /// Messages dropped: queue full, too large, or for an unknown peer.
  std::uint64_t Dropped_ = 0;
  /// Connections closed because nothing arrived.
  std::uint64_t Silent_ = 0;
  std::uint64_t BytesSent_ = 0;
};

/// Keeps a connection to each of a set of peers, on a thread of its own. All
/// members are thread-safe and return at once.
class PeerLinks {
public:
  explicit PeerLinks(InstanceName Self, PeerLinksSettings Settings = {});
  /// Closes all connections and joins the thread.
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Replaces the set of peers. Links to others are closed.
  void setPeers(std::vector<PeerAddress> Peers);
  /// Queues a message. Delivery is not guaranteed and not confirmed.
  void send(const InstanceName &To, std::string Message);

  /// Returns the state of all links in name order.
  std::vector<PeerLinkStatus> status() const;
  PeerLinksCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_LINKS_H
