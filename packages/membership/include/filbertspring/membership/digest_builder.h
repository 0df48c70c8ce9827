#ifndef FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H
#define FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H

/// \file
/// Collects what is to be told to each peer, and what peers told.

#include "filbertspring/base/time.h"
#include "filbertspring/membership/peer_message.h"
#include "filbertspring/membership/rack_assignment.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace filbertspring::membership {

/// Time between two digests to a peer of the own zone, and of another one.
inline constexpr Duration OwnZoneDigestInterval = std::chrono::seconds(2);
inline constexpr Duration OtherZoneDigestInterval = std::chrono::seconds(4);

/// How far a value must move before it is told again.
struct DigestSettings {
  std::int32_t DemandThresholdPermille_ = 20;
  std::int32_t LoadThreshold_ = 2;
};

/// The latest demands and endpoint loads, with what each peer was told. Peers
/// of the own zone are told what was seen here or came from another zone; peers
/// elsewhere are told the demands of the own zone and which endpoints are
/// leaving. So a change crosses each link at most once. Not thread-safe.
class DigestBuilder {
public:
  /// \p FirstSequence must exceed every sequence of an earlier process of the
  /// same name; the wall clock in milliseconds serves.
  DigestBuilder(InstancePlace Self, std::uint64_t FirstSequence,
                DigestSettings Settings = {});
  ~DigestBuilder();
  DigestBuilder(DigestBuilder &&) noexcept;
  DigestBuilder &operator=(DigestBuilder &&) noexcept;

  /// Sets the own demand for a contract.
  void setDemand(const ContractName &Contract, std::int32_t Permille);
  /// Sets the load of an endpoint of the own zone, as seen here.
  void setLoad(const EndpointLoad &Load);
  /// Takes in a digest of \p From. Returns the demands that were new.
  std::vector<DemandEntry> merge(const InstancePlace &From,
                                 const PeerDigest &Digest);
  /// Makes the next digest for \p To. What did not fit waits for the next one,
  /// oldest first.
  PeerDigest digestFor(const InstancePlace &To, RowVersion CompleteTo);
  /// Forgets what \p Peer was told, so that it is told all again. Call it when
  /// a stream to it was opened anew.
  void resend(const InstanceName &Peer);
  /// Drops everything about instances that are not in \p Live and endpoints
  /// that are not in \p Listed.
  void retain(const std::vector<InstancePlace> &Live,
              const std::vector<EndpointName> &Listed);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_DIGEST_BUILDER_H
