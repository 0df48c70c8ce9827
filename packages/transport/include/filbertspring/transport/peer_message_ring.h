#ifndef FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H
#define FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H

/// \file
/// The ring buffer that passes received peer messages to their reader.

#include "filbertspring/base/id.h"
#include "filbertspring/base/ring.h"

#include <string>

namespace filbertspring {

/// A complete message from a peer.
struct PeerMessage {
  InstanceName From_;
  std::string Bytes_;
};

using PeerMessageRing = Ring<PeerMessage>;

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H
