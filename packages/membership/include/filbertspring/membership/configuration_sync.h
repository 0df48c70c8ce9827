#ifndef FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H
#define FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H

/// \file
/// Decides when an instance reads its configuration from the table and when it
/// requests it from a peer.

#include "filbertspring/membership/configuration_view.h"

#include <variant>
#include <vector>

namespace filbertspring::membership {

/// Intervals and timeouts of the synchronisation.
struct ConfigurationSyncSettings {
  /// Time between two reads of the head row.
  Duration PollInterval_ = std::chrono::seconds(1);
  /// After this time an operation counts as failed.
  Duration AnswerTimeout_ = std::chrono::seconds(2);
  /// How long a peer must have been ahead before a delta is requested from it
  /// while the table is reachable. When the table is unreachable, the request
  /// is sent without delay.
  Duration PeerRequestDelay_ = std::chrono::seconds(2);
};

/// Periodic event that lets timeouts and due reads be handled.
struct SyncTick {};
/// A read of the head row completed.
struct HeadReadCompleted {
  RowVersion Head_ = AbsentVersion;
  TimePoint SentAt_;
};
/// A scan of all contracts and zones completed.
struct ScanCompleted {
  std::vector<StoredRow> Rows_;
  TimePoint SentAt_;
};
/// The read or scan in progress failed.
struct TableReadFailed {};
/// A peer reported the version up to which its configuration is complete.
struct PeerVersionReported {
  InstanceName Peer_;
  RowVersion CompleteTo_ = AbsentVersion;
};
/// A peer answered a request for a delta.
struct DeltaReceived {
  InstanceName Peer_;
  ConfigurationDelta Delta_;
};

using ConfigurationEvent =
    std::variant<SyncTick, HeadReadCompleted, ScanCompleted, TableReadFailed,
                 PeerVersionReported, DeltaReceived>;

/// Read the head row.
struct ReadHead {};
/// Scan all contracts and zones.
struct ScanConfiguration {};
/// Request all rows with a version above \c Since_ from \c Peer_.
struct RequestDelta {
  InstanceName Peer_;
  RowVersion Since_ = AbsentVersion;
};
/// Rows were merged into the view.
struct ConfigurationChanged {
  ConfigurationChange Change_;
};

using ConfigurationAction = std::variant<ReadHead, ScanConfiguration,
                                         RequestDelta, ConfigurationChanged>;

/// Keeps a ConfigurationView up to date, as a state machine without I/O: the
/// caller reports events and performs the returned actions. At most one table
/// operation and one request to a peer are in progress. Not thread-safe.
class ConfigurationSync {
public:
  explicit ConfigurationSync(ConfigurationSyncSettings Settings = {});
  ~ConfigurationSync();
  ConfigurationSync(ConfigurationSync &&) noexcept;
  ConfigurationSync &operator=(ConfigurationSync &&) noexcept;

  /// Returns the actions to perform next. Must be called with SyncTick several
  /// times a second.
  std::vector<ConfigurationAction> handle(const ConfigurationEvent &Event,
                                          TimePoint Now);

  const ConfigurationView &view() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H
