#ifndef FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H
#define FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H

/// \file
/// The contracts and availability zones in force at one instance.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/store.h"

#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// The answers to a read of the head row and a scan of all contracts and zones
/// that was sent after the head's answer had arrived.
struct ConfigurationScan {
  /// When the read of the head was sent.
  TimePoint HeadSentAt_;
  /// When the scan was sent.
  TimePoint ScanSentAt_;
  /// The head's version; AbsentVersion when there is none yet.
  RowVersion Head_ = AbsentVersion;
  /// Every contract row and every zone row.
  std::vector<StoredRow> Rows_;
};

/// Rows that a peer sends to an instance that is behind it.
struct ConfigurationDelta {
  /// The delta holds every row with a version above this ...
  RowVersion Since_ = AbsentVersion;
  /// ... and up to this.
  RowVersion CompleteTo_ = AbsentVersion;
  std::vector<StoredRow> Rows_;
};

/// What a merge changed.
struct ConfigurationChange {
  /// The keys of the rows adopted, in key order.
  std::vector<RowKey> ChangedKeys_;
};

/// The configuration of one instance. A row is replaced only by one with a
/// higher version, whatever its source; so merges commute and are idempotent,
/// and nothing reverts. Not thread-safe.
class ConfigurationView {
public:
  ConfigurationView();
  ~ConfigurationView();
  ConfigurationView(ConfigurationView &&) noexcept;
  ConfigurationView &operator=(ConfigurationView &&) noexcept;

  /// Merges a scan. Rows of other kinds are ignored.
  ConfigurationChange mergeScan(const ConfigurationScan &Scan);

  /// Merges what a peer sent. The view counts as complete up to the delta's
  /// end only when it was complete up to the delta's start.
  ConfigurationChange mergeDelta(const ConfigurationDelta &Delta);

  /// Notes that the head's version was \p Head in a read sent at \p SentAt.
  /// Returns true when the view holds all changes up to it; each row is then
  /// known to be at least as new as the table at \p SentAt.
  bool confirmHead(RowVersion Head, TimePoint SentAt);

  /// Returns true once the view has been complete up to some head, from the
  /// table or from a peer. Before that no contract is in force.
  bool ready() const;

  /// Returns the version up to which every row is held; AbsentVersion when
  /// not ready.
  RowVersion completeTo() const;

  /// Returns a zone, or null. The view owns it until the next merge.
  const AvailabilityZone *zone(const ZoneName &Name) const;
  /// Returns a contract that has not ended, or null. The view owns it until
  /// the next merge.
  const Contract *contract(const ContractName &Name) const;
  /// Returns the version of a row, AbsentVersion when it is not held.
  RowVersion versionOf(const RowKey &Key) const;
  /// Returns all zones in name order.
  std::vector<AvailabilityZone> zones() const;
  /// Returns all contracts that have not ended, in name order.
  std::vector<Contract> contracts() const;

  /// Returns the latest time for which the held state of \p Name is known to
  /// be at least as new as the table's: the send time of a read, never the
  /// time of its answer. Nothing when no read confirmed it.
  std::optional<TimePoint> zoneConfirmedAt(const ZoneName &Name) const;

  /// Returns all rows above \p Since in key order. They are not cut to size:
  /// a row may have gone from a version in one part to one in the next, so that
  /// no part alone tells up to where it is complete. Linear in the rows held.
  /// Errors: NotReady.
  Result<ConfigurationDelta> delta(RowVersion Since) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H
