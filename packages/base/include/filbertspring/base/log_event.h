#ifndef FILBERTSPRING_BASE_LOG_EVENT_H
#define FILBERTSPRING_BASE_LOG_EVENT_H

/// \file
/// The numbered log events. docs/EVENTS.md lists them; a test compares it with
/// the table in log_event.cpp.

#include <span>
#include <string_view>

namespace filbertspring {

/// The severity of an event.
enum class LogLevel { Info, Warning, Error };

/// Numbers of log events: 1xxx process, 2xxx requests, 3xxx placement,
/// 4xxx membership, 5xxx platform, 6xxx transport. A number is never reused.
enum class LogEvent {
  ProcessStarted = 1001,
  ProcessReady = 1002,
  ProcessDraining = 1003,
  ProcessStopped = 1004,
  SettingsRejected = 1005,
  ConfigurationAdopted = 1006,
  ThreadFailed = 1007,
  SettingsReloaded = 1008,
  ZoneChanged = 1009,
  LoopDelayed = 1010,
  WorkspaceMalformed = 1011,

  RequestShed = 2001,
  RequestOutcomeUnknown = 2002,
  EndpointLeft = 2003,
  EndpointSuspected = 2004,
  KeyRefused = 2005,

  JobAccepted = 3001,
  TaskStarted = 3002,
  TaskFinished = 3003,
  TaskEvicted = 3004,
  TaskImpossible = 3005,
  WorkerQuarantined = 3006,
  RackOwned = 3007,
  RackLost = 3008,
  TaskRecovered = 3009,
  StartRefused = 3010,
  JobCancelled = 3011,
  JobFinished = 3012,
  TaskFailed = 3013,
  WorkerRunsLost = 3014,
  WorkerUnreachable = 3015,
  UnwantedRunStopped = 3016,
  JobRefused = 3017,
  JobOutcomeUnknown = 3018,
  StopRequested = 3019,
  TaskCrashSuspected = 3020,
  TaskIsolated = 3021,
  TaskGivenUp = 3022,
  TaskWaits = 3023,
  StartsLimited = 3024,
  StartsUnlimited = 3025,
  TaskOverTarget = 3026,
  TaskPlacedOverdue = 3027,
  RunGivenUp = 3028,
  StartHeldBack = 3029,
  StartReleased = 3030,
  PlaceWaitDecided = 3035,

  PeerConnected = 4001,
  PeerLost = 4002,
  CellOwned = 4003,
  CellLoaded = 4004,
  CellLost = 4005,
  WorkerRelayFailed = 4006,
  PeerMessageRejected = 4007,
  CellLoadFailed = 4008,
  CellTakeoverFailed = 4009,

  PlatformUnavailable = 5001,
  PlatformRecovered = 5002,
  CommitUnknown = 5003,
  CommitConflict = 5004,
  ForeignRow = 5005,
  CommitRefused = 5006,

  CallerRejected = 6001,
};

/// One row of the event table.
struct LogEventInfo {
  LogEvent Event_;
  LogLevel Level_;
  std::string_view Name_;
  std::string_view Meaning_;
};

/// Returns all rows, ordered by number. The rows are valid for the lifetime of
/// the program.
std::span<const LogEventInfo> logEventTable();

/// Returns the row of \p Event. Linear in the table's size.
const LogEventInfo &logEventInfo(LogEvent Event);

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_LOG_EVENT_H
