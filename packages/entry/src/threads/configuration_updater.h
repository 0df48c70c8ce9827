#ifndef FILBERTSPRING_ENTRY_THREADS_CONFIGURATION_UPDATER_H
#define FILBERTSPRING_ENTRY_THREADS_CONFIGURATION_UPDATER_H

/// \file
/// Keeps the contracts and availability zones of this instance up to date.

#include "membership_context.h"

#include "filbertspring/membership/configuration_sync.h"
#include "filbertspring/membership/peer_message.h"

#include <functional>
#include <vector>

namespace filbertspring {

/// Reads configuration changes from the table and from peers and publishes them
/// to the router and to the threads that serve callers. Runs on the membership
/// thread.
class ConfigurationUpdater {
public:
  /// Sends a message to a peer.
  using SendToPeer = std::function<void(const InstanceName &,
                                        const membership::PeerPayload &)>;

  ConfigurationUpdater(MembershipContext &Context, SendToPeer Send);

  void tick(TimePoint Now);
  /// Handles a digest of \p Peer: it has all rows up to \p Version.
  void handlePeerCompleteTo(const InstanceName &Peer, RowVersion Version);
  /// Sends the requested rows to \p Peer.
  void handleDeltaRequest(const InstanceName &Peer,
                          const membership::DeltaRequest &Request);
  /// Applies the rows that \p Peer sent.
  void handleDelta(const InstanceName &Peer,
                   const membership::EncodedDelta &Delta);

  const membership::ConfigurationView &view() const { return Sync_.view(); }

private:
  void handle(const membership::ConfigurationEvent &Event);
  void perform(const membership::ConfigurationAction &Action, TimePoint Now);
  void readHead(TimePoint SentAt);
  void scan(TimePoint SentAt);
  void scanZones(TimePoint SentAt, const std::vector<StoredRow> &Rows);
  void publish(const membership::ConfigurationChange &Change);
  void recordPlatformState(bool Reachable);
  void createMissingZones();
  Transaction zoneCreation(const std::vector<ZoneSettings> &Missing,
                           const std::vector<StoredRow> &Head) const;

  MembershipContext &Context_;
  SendToPeer Send_;
  membership::ConfigurationSync Sync_;
  bool CreatingZones_ = false;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_CONFIGURATION_UPDATER_H
