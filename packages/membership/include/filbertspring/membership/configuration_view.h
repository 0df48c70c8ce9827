#ifndef FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H
#define FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H

/// \file
/// The contracts and availability zones that one instance currently applies.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/store.h"

#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// The results of a read of the head row and of a scan of all contracts and
/// zones. The scan was sent after the answer to the read had arrived.
struct ConfigurationScan {
  /// When the read of the head was sent.
  TimePoint HeadSentAt_;
  /// When the scan was sent.
  TimePoint ScanSentAt_;
  /// The version of the head row; AbsentVersion when the row does not exist.
  RowVersion Head_ = AbsentVersion;
  /// Every contract row and every zone row.
  std::vector<StoredRow> Rows_;
};

/// Rows that a peer sends to an instance with an older configuration.
struct ConfigurationDelta {
  /// The delta contains every row with a version above this one ...
  RowVersion Since_ = AbsentVersion;
  /// ... and up to and including this one.
  RowVersion CompleteTo_ = AbsentVersion;
  std::vector<StoredRow> Rows_;
};

/// The result of a merge.
struct ConfigurationChange {
  /// The keys of the added or replaced rows, in key order.
  std::vector<RowKey> ChangedKeys_;
};

/// The configuration of one instance. A row is replaced only by one with a
/// higher version, whatever its source. Merges are therefore commutative and
/// idempotent, and no row reverts to an older state. Not thread-safe.
class ConfigurationView {
public:
  ConfigurationView();
  ~ConfigurationView();
  ConfigurationView(ConfigurationView &&) noexcept;
  ConfigurationView &operator=(ConfigurationView &&) noexcept;

  /// Merges a scan. Rows of other kinds are ignored.
  ConfigurationChange mergeScan(const ConfigurationScan &Scan);

  /// Merges a delta from a peer. The view becomes complete up to the end of the
  /// delta only if it was complete up to its start.
  ConfigurationChange mergeDelta(const ConfigurationDelta &Delta);

  /// Records that a read sent at \p SentAt returned the head version \p Head.
  /// Returns true when the view contains all changes up to that version; each
  /// row is then known to be at least as new as the table at \p SentAt.
  bool confirmHead(RowVersion Head, TimePoint SentAt);

  /// Returns true once the view has been complete up to some head version, from
  /// the table or from a peer. Before that no contract is in force.
  bool ready() const;

  /// Returns the version up to which the view contains every row; AbsentVersion
  /// when not ready.
  RowVersion completeTo() const;

  /// Returns a zone, or null. The pointer is valid until the next merge.
  const AvailabilityZone *zone(const ZoneName &Name) const;
  /// Returns a contract that has not ended, or null. The pointer is valid until
  /// the next merge.
  const Contract *contract(const ContractName &Name) const;
  /// Returns the version of a row; AbsentVersion when the view does not contain
  /// it.
  RowVersion versionOf(const RowKey &Key) const;
  /// Returns all zones in name order.
  std::vector<AvailabilityZone> zones() const;
  /// Returns all contracts that have not ended, in name order.
  std::vector<Contract> contracts() const;

  /// Returns the latest time for which the state of \p Name in this view is
  /// known to be at least as new as the table's. This is the send time of a
  /// read, never the time of its answer. Returns std::nullopt when no read has
  /// confirmed the zone.
  std::optional<TimePoint> zoneConfirmedAt(const ZoneName &Name) const;

  /// Returns all rows with a version above \p Since in key order. The result is
  /// not split into parts: the version of a row may move from the range of one
  /// part to that of the next, so that the completeness of a single part would
  /// be unknown. Linear in the number of rows. Errors: NotReady.
  Result<ConfigurationDelta> delta(RowVersion Since) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_CONFIGURATION_VIEW_H
