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

/// Where the instance listens.
struct ListenSettings {
  /// For callers and operators.
  Address Http_;
  /// For the streams of other entry instances.
  Address Peer_;
  /// Connections of callers at one time; more are refused.
  std::int64_t MaxConnections_ = DefaultMaxConnections;
};

/// The platform's service.
struct PlatformSettings {
  Address Address_;
  /// The longest wait for one answer.
  Duration Timeout_ = DefaultPlatformTimeout;
};

/// Leases of tasks and of instances.
struct LeaseSettings {
  /// How long a worker runs an attempt after its last renewal.
  Duration WorkerLease_ = DefaultWorkerLease;
  /// How often the leases are renewed at the workers.
  Duration RenewInterval_ = DefaultRenewInterval;
  /// How long renewals go on while the platform cannot be reached.
  Duration CutOffGrace_ = DefaultCutOffGrace;
  /// How often the instance writes its heartbeat.
  Duration HeartbeatInterval_ = DefaultHeartbeatInterval;
  /// An instance whose heartbeat has not changed for so long is gone.
  Duration InstanceLapse_ = DefaultInstanceLapse;
  /// The largest difference in rate between two clocks, as a fraction.
  double ClockDrift_ = DefaultClockDrift;
  /// Added to every wait for the end of a lease.
  Duration Margin_ = DefaultLeaseMargin;
};

/// Availability zones that are out of service.
struct ZonesOutSettings {
  /// No task starts in a zone later than this after it was taken out.
  Duration StartBound_ = DefaultStartBound;
};

/// The path of latency-critical requests.
struct RequestSettings {
  /// Requests that wait for an endpoint at one time, over all contracts.
  std::int64_t QueueLimit_ = DefaultQueueLimit;
  /// Retries as a fraction of first tries.
  double RetryBudget_ = DefaultRetryBudget;
  /// A connection idle for longer is not reused for a request that is not
  /// idempotent.
  Duration IdleReuse_ = DefaultIdleReuse;
};

/// How instances share the request limits of contracts.
struct ShareSettings {
  /// A share that is not renewed for so long is given to others.
  Duration Lapse_ = DefaultShareLapse;
  /// How often shares follow the demand.
  Duration RebalanceInterval_ = DefaultRebalanceInterval;
};

/// How contracts and zone states are followed.
struct ConfigurationSettings {
  /// How often the head version is read from the table.
  Duration PollInterval_ = DefaultPollInterval;
};

/// Whether an optional mechanism is used.
enum class Toggle { Off, On };

inline constexpr EnumTable<Toggle, 2> ToggleNames{
    {{Toggle::Off, "off"}, {Toggle::On, "on"}}};

/// Placement of batch tasks.
struct BatchSettings {
  /// Whether placement and eviction follow the measured interference.
  Toggle Interference_ = Toggle::On;
};

/// Graceful shutdown.
struct DrainSettings {
  /// The longest time that the shutdown waits for requests in flight.
  Duration Limit_ = DefaultDrainLimit;
};

/// Everything that one entry instance learns from its settings file.
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

  /// Returns the names of all zones, in the order of the file.
  std::vector<ZoneName> zoneNames() const;
};

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_SETTINGS_H
