#ifndef FILBERTSPRING_ENTRY_DESKS_CONFIGURATION_FOLLOWER_H
#define FILBERTSPRING_ENTRY_DESKS_CONFIGURATION_FOLLOWER_H

/// \file
/// Keeps the contracts and zones in force here up to date.

#include "membership_thread.h"

#include "filbertspring/membership/configuration_sync.h"
#include "filbertspring/membership/peer_message.h"

#include <functional>
#include <vector>

namespace filbertspring {

/// Runs on the membership thread.
class ConfigurationFollower {
public:
  /// Sends a message to a peer.
  using SendToPeer = std::function<void(const InstanceName &,
                                        const membership::PeerPayload &)>;

  ConfigurationFollower(MembershipThread &Thread, SendToPeer Send);

  void tick(TimePoint Now);
  /// A peer said up to which version it is complete.
  void peerCompleteTo(const InstanceName &Peer, RowVersion Version);
  /// A peer asks for the rows that it lacks.
  void deltaRequested(const InstanceName &Peer,
                      const membership::DeltaRequest &Request);
  /// A peer sent rows.
  void deltaReceived(const InstanceName &Peer,
                     const membership::EncodedDelta &Delta);

  const membership::ConfigurationView &view() const { return Sync_.view(); }

private:
  void handle(const membership::ConfigurationEvent &Event);
  void perform(const membership::ConfigurationAction &Action, TimePoint Now);
  void readHead(TimePoint SentAt);
  void scan(TimePoint SentAt);
  void scanZones(TimePoint SentAt, const std::vector<StoredRow> &Rows);
  void publish(const membership::ConfigurationChange &Change);
  void platformAnswered(bool Reachable);
  void createMissingZones();
  Transaction zoneCreation(const std::vector<ZoneSettings> &Missing,
                           const std::vector<StoredRow> &Head) const;

  MembershipThread &Thread_;
  SendToPeer Send_;
  membership::ConfigurationSync Sync_;
  bool CreatingZones_ = false;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_CONFIGURATION_FOLLOWER_H
