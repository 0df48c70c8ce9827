#ifndef FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H
#define FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H

/// \file
/// When an instance reads its configuration from the table, and when it asks a
/// peer instead.

#include "filbertspring/membership/configuration_view.h"

#include <variant>
#include <vector>

namespace filbertspring::membership {

/// Periods of the synchronisation.
struct ConfigurationSyncSettings {
  /// Time between two reads of the head.
  Duration PollInterval_ = std::chrono::seconds(1);
  /// After this time an operation counts as failed.
  Duration AnswerTimeout_ = std::chrono::seconds(2);
  /// How long a peer may be ahead before it is asked, while the table answers.
  /// Once it does not, a peer is asked at once.
  Duration PeerRequestDelay_ = std::chrono::seconds(2);
};

/// Time has passed.
struct SyncTick {};
/// The head was read.
struct HeadReadCompleted {
  RowVersion Head_ = AbsentVersion;
  TimePoint SentAt_;
};
/// All contracts and zones were scanned.
struct ScanCompleted {
  std::vector<StoredRow> Rows_;
  TimePoint SentAt_;
};
/// The read or scan under way failed.
struct TableReadFailed {};
/// A peer said up to which version it is complete.
struct PeerVersionReported {
  InstanceName Peer_;
  RowVersion CompleteTo_ = AbsentVersion;
};
/// A peer answered a request.
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
/// Ask \c Peer_ for all rows above \c Since_.
struct RequestDelta {
  InstanceName Peer_;
  RowVersion Since_ = AbsentVersion;
};
/// These rows came into force.
struct ConfigurationChanged {
  ConfigurationChange Change_;
};

using ConfigurationAction = std::variant<ReadHead, ScanConfiguration,
                                         RequestDelta, ConfigurationChanged>;

/// Keeps a ConfigurationView up to date. At most one table operation and one
/// request to a peer are under way. Not thread-safe.
class ConfigurationSync {
public:
  explicit ConfigurationSync(ConfigurationSyncSettings Settings = {});
  ~ConfigurationSync();
  ConfigurationSync(ConfigurationSync &&) noexcept;
  ConfigurationSync &operator=(ConfigurationSync &&) noexcept;

  /// Returns what to do next. Call with SyncTick several times a second.
  std::vector<ConfigurationAction> handle(const ConfigurationEvent &Event,
                                          TimePoint Now);

  const ConfigurationView &view() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_CONFIGURATION_SYNC_H
