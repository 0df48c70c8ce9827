#ifndef FILBERTSPRING_CONFIG_SETTINGS_H
#define FILBERTSPRING_CONFIG_SETTINGS_H

/// \file
/// The settings of one entry instance, with their defaults.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstdint>
#include <vector>

namespace filbertspring {

inline constexpr std::int64_t DefaultMaxConnections = 320;
inline constexpr Duration DefaultPlatformTimeout =
    std::chrono::milliseconds(800);
inline constexpr Duration DefaultWorkerLease = std::chrono::seconds(12);
inline constexpr Duration DefaultRenewInterval = std::chrono::seconds(2);
inline constexpr Duration DefaultCutOffGrace = std::chrono::seconds(60);
inline constexpr Duration DefaultHeartbeatInterval = std::chrono::seconds(2);
inline constexpr Duration DefaultInstanceLapse = std::chrono::seconds(10);
inline constexpr double DefaultClockDrift = 0.001;
inline constexpr Duration DefaultLeaseMargin = std::chrono::milliseconds(500);
inline constexpr Duration DefaultStartBound = std::chrono::seconds(3);
inline constexpr std::int64_t DefaultQueueLimit = 1000;
inline constexpr double DefaultRetryBudget = 0.1;
inline constexpr Duration DefaultIdleReuse = std::chrono::seconds(5);
inline constexpr Duration DefaultShareLapse = std::chrono::hours(6);
inline constexpr Duration DefaultRebalanceInterval = std::chrono::seconds(1);
inline constexpr Duration DefaultPollInterval = std::chrono::seconds(1);
inline constexpr Duration DefaultDrainLimit = std::chrono::seconds(30);

/// One availability zone of the system.
struct ZoneSettings {
  ZoneName Name_;
  RegionName Region_;
};

/// Addresses on which the instance listens.
struct ListenSettings {
  /// For callers and operators.
  Address Http_;
  /// For the streams from other entry instances.
  Address Peer_;
  /// Maximum number of open connections of callers; further ones are refused.
  std::int64_t MaxConnections_ = DefaultMaxConnections;
};

/// Connection to the platform's service.
struct PlatformSettings {
  Address Address_;
  /// Maximum time to wait for one answer.
  Duration Timeout_ = DefaultPlatformTimeout;
};

/// Leases of tasks and of instances.
struct LeaseSettings {
  /// How long a worker runs an attempt after the last renewal of its lease.
  Duration WorkerLease_ = DefaultWorkerLease;
  /// Interval between lease renewals at the workers.
  Duration RenewInterval_ = DefaultRenewInterval;
  /// How long leases are still renewed while the platform is unreachable.
  Duration CutOffGrace_ = DefaultCutOffGrace;
  /// Interval between heartbeats of the instance.
  Duration HeartbeatInterval_ = DefaultHeartbeatInterval;
  /// An instance whose heartbeat has not changed for this time is considered
  /// gone.
  Duration InstanceLapse_ = DefaultInstanceLapse;
  /// The largest difference in rate between two clocks, as a fraction.
  double ClockDrift_ = DefaultClockDrift;
  /// Safety margin added to every wait for the end of a lease.
  Duration Margin_ = DefaultLeaseMargin;
};

/// Availability zones that are out of service.
struct ZonesOutSettings {
  /// Maximum time between taking a zone out of service and the last start of a
  /// task in it.
  Duration StartBound_ = DefaultStartBound;
};

/// Handling of latency-critical requests.
struct RequestSettings {
  /// Maximum number of requests that wait for an endpoint, over all contracts.
  std::int64_t QueueLimit_ = DefaultQueueLimit;
  /// Maximum number of retries, as a fraction of first attempts.
  double RetryBudget_ = DefaultRetryBudget;
  /// A connection idle for longer is not reused for a request that is not
  /// idempotent.
  Duration IdleReuse_ = DefaultIdleReuse;
};

/// Division of the request limits of contracts between instances.
struct ShareSettings {
  /// A share that is not renewed for this time is reassigned to other
  /// instances.
  Duration Lapse_ = DefaultShareLapse;
  /// Interval between adjustments of the shares to the demand.
  Duration RebalanceInterval_ = DefaultRebalanceInterval;
};

/// Polling for changes of contracts and zone states.
struct ConfigurationSettings {
  /// Interval between reads of the version of the table's head row.
  Duration PollInterval_ = DefaultPollInterval;
};

/// Whether an optional mechanism is enabled.
enum class Toggle { Off, On };

inline constexpr EnumTable<Toggle, 2> ToggleNames{
    {{Toggle::Off, "off"}, {Toggle::On, "on"}}};

/// Placement of batch tasks.
struct BatchSettings {
  /// Whether placement and eviction take measured interference into account.
  Toggle Interference_ = Toggle::On;
};

/// Graceful shutdown.
struct DrainSettings {
  /// Maximum time that the shutdown waits for requests in flight.
  Duration Limit_ = DefaultDrainLimit;
};

/// All settings of one entry instance, as given in its settings file.
struct Settings {
  InstanceName Instance_;
  /// The availability zone of this instance, one of Zones_.
  ZoneName Zone_;
  std::vector<ZoneSettings> Zones_;
  ListenSettings Listen_;
  PlatformSettings Platform_;
  LeaseSettings Leases_;
  ZonesOutSettings ZonesOut_;
  RequestSettings Requests_;
  ShareSettings Shares_;
  ConfigurationSettings Configuration_;
  BatchSettings Batch_;
  DrainSettings Drain_;

  /// Returns the names of all zones, in the order of the settings file.
  std::vector<ZoneName> zoneNames() const;
};

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_SETTINGS_H
