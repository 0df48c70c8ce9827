#ifndef FILBERTSPRING_ENTRY_THREADS_PEER_EXCHANGE_H
#define FILBERTSPRING_ENTRY_THREADS_PEER_EXCHANGE_H

/// \file
/// Exchanges digests and configuration deltas with the peers of this instance.

#include "membership_context.h"

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

/// Callbacks for the contents of received messages.
struct PeerHandlers {
  std::function<void(const InstanceName &, RowVersion)> OnCompleteTo_;
  std::function<void(const InstanceName &, const membership::DeltaRequest &)>
      OnDeltaRequested_;
  std::function<void(const InstanceName &, const membership::EncodedDelta &)>
      OnDeltaReceived_;
  std::function<void(const std::vector<membership::DemandEntry> &)> OnDemands_;
};

/// Runs on the membership thread; the streams to peers have their own threads.
class PeerExchange {
public:
  PeerExchange(MembershipContext &Context, membership::DigestBuilder &Digests,
               PeerHandlers Handlers);

  /// Starts to listen for peers. Errors: those of binding the address.
  Status start();
  /// Handles received messages, and selects peers and sends digests when their
  /// intervals have passed.
  void tick(const std::vector<membership::Member> &Members,
            RowVersion CompleteTo, TimePoint Now);
  /// Makes the next tick send digests to all peers, regardless of the interval.
  void sendDigestsSoon();
  void send(const InstanceName &Peer, const membership::PeerPayload &Payload);
  void stop();

private:
  void updatePeers(const std::vector<membership::Member> &Members);
  void sendDigests(RowVersion CompleteTo, TimePoint Now);
  void receive(const PeerMessage &Message);
  void receiveDigest(const membership::InstancePlace &From,
                     const membership::PeerDigest &Digest);
  void updatePeerViews();

  static constexpr std::size_t RingCapacity = 1024;

  MembershipContext &Context_;
  membership::DigestBuilder &Digests_;
  PeerHandlers Handlers_;
  PeerMessageRing Received_;
  std::unique_ptr<PeerServer> Server_;
  std::unique_ptr<PeerLinks> Links_;
  std::map<InstanceName, membership::InstancePlace> Peers_;
  std::map<InstanceName, RowVersion> PeerHeads_;
  std::map<InstanceName, std::uint64_t> Connects_;
  std::map<InstanceName, TimePoint> LastSent_;
  TimePoint LastSelection_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_PEER_EXCHANGE_H
