#ifndef FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H
#define FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H

/// \file
/// The ring through which messages of peers reach their reader.

#include "filbertspring/base/id.h"
#include "filbertspring/base/ring.h"

#include <string>

namespace filbertspring {

/// A whole message of a peer.
struct PeerMessage {
  InstanceName From_;
  std::string Bytes_;
};

using PeerMessageRing = Ring<PeerMessage>;

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_PEER_MESSAGE_RING_H
