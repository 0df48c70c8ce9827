#ifndef FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H
#define FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H

/// \file
/// Builds the digests for each peer and merges the digests received from peers.

#include "filbertspring/base/time.h"
#include "filbertspring/membership/peer_message.h"
#include "filbertspring/membership/rack_assignment.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace filbertspring::membership {

/// Time between two digests to a peer in the same zone, and to a peer in
/// another zone.
inline constexpr Duration OwnZoneDigestInterval = std::chrono::seconds(2);
inline constexpr Duration OtherZoneDigestInterval = std::chrono::seconds(4);

/// The smallest changes of values that are sent again.
struct DigestSettings {
  std::int32_t DemandThresholdPermille_ = 20;
  std::int32_t LoadThreshold_ = 2;
};

/// Stores the latest demands and endpoint loads, and which changes each peer
/// was sent. Peers in the same zone are sent the values observed by this
/// instance or received from another zone. Peers in other zones are sent the
/// demands of this zone and the endpoints that are leaving. A change therefore
/// crosses each link at most once. Not thread-safe.
class DigestBuilder {
public:
  /// \p FirstSequence must exceed every sequence number of an earlier process
  /// with the same name; the wall clock in milliseconds is suitable.
  DigestBuilder(InstancePlace Self, std::uint64_t FirstSequence,
                DigestSettings Settings = {});
  ~DigestBuilder();
  DigestBuilder(DigestBuilder &&) noexcept;
  DigestBuilder &operator=(DigestBuilder &&) noexcept;

  /// Sets the demand of this instance for a contract.
  void setDemand(const ContractName &Contract, std::int32_t Permille);
  /// Sets the load of an endpoint in this zone, as observed by this instance.
  void setLoad(const EndpointLoad &Load);
  /// Merges a digest from \p From. Returns the demands that were new.
  std::vector<DemandEntry> merge(const InstancePlace &From,
                                 const PeerDigest &Digest);
  /// Returns the next digest for \p To. Changes that do not fit are left for
  /// the following digests, oldest first.
  PeerDigest digestFor(const InstancePlace &To, RowVersion CompleteTo);
  /// Makes the next digests for \p Peer contain all values again. Must be
  /// called when a new stream to the peer was opened.
  void resend(const InstanceName &Peer);
  /// Removes all values of instances that are not in \p Live and of endpoints
  /// that are not in \p Registered.
  void retain(const std::vector<InstancePlace> &Live,
              const std::vector<EndpointName> &Registered);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H
