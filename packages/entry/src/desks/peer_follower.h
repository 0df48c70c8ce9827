#ifndef FILBERTSPRING_ENTRY_DESKS_PEER_FOLLOWER_H
#define FILBERTSPRING_ENTRY_DESKS_PEER_FOLLOWER_H

/// \file
/// Exchanges digests with the peers of this instance.

#include "membership_thread.h"

#include "filbertspring/membership/digest_builder.h"
#include "filbertspring/membership/liveness_tracker.h"
#include "filbertspring/membership/peer_message.h"
#include "filbertspring/transport/peer_links.h"
#include "filbertspring/transport/peer_server.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace filbertspring {

/// What is done with the parts of received messages.
struct PeerHandlers {
  std::function<void(const InstanceName &, RowVersion)> CompleteTo_;
  std::function<void(const InstanceName &, const membership::DeltaRequest &)>
      DeltaRequested_;
  std::function<void(const InstanceName &, const membership::EncodedDelta &)>
      DeltaReceived_;
  std::function<void(const std::vector<membership::DemandEntry> &)> Demands_;
};

/// Runs on the membership thread; the streams have threads of their own.
class PeerFollower {
public:
  PeerFollower(MembershipThread &Thread, membership::DigestBuilder &Digests,
               PeerHandlers Handlers);

  /// Starts to listen. Errors: those of binding the address.
  Status start();
  /// Reads what has arrived, and tells the peers when it is time.
  void tick(const std::vector<membership::Member> &Members,
            RowVersion CompleteTo, TimePoint Now);
  /// Tells all peers with the next tick, whatever the interval.
  void tellSoon();
  void send(const InstanceName &Peer, const membership::PeerPayload &Payload);
  void stop();

private:
  void choosePeers(const std::vector<membership::Member> &Members);
  void tellPeers(RowVersion CompleteTo, TimePoint Now);
  void receive(const PeerMessage &Message);
  void receiveDigest(const membership::InstancePlace &From,
                     const membership::PeerDigest &Digest);
  void showPeers();

  static constexpr std::size_t RingCapacity = 1024;

  MembershipThread &Thread_;
  membership::DigestBuilder &Digests_;
  PeerHandlers Handlers_;
  PeerMessageRing Received_;
  std::unique_ptr<PeerServer> Server_;
  std::unique_ptr<PeerLinks> Links_;
  std::map<InstanceName, membership::InstancePlace> Peers_;
  std::map<InstanceName, RowVersion> Heads_;
  std::map<InstanceName, std::uint64_t> Connects_;
  std::map<InstanceName, TimePoint> LastTold_;
  TimePoint LastChoice_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_PEER_FOLLOWER_H
