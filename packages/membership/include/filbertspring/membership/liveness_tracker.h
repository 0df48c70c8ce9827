#ifndef FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H
#define FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H

/// \file
/// Which entry instances are alive, judged by their heartbeat rows.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"

#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// What is known of an instance.
enum class Liveness {
  Alive,
  /// Alive and draining.
  Leaving,
  /// Its row has not changed for a while; it may still use what it holds.
  Suspected,
  /// Its lease has surely ended, on any clock.
  Lapsed
};

inline constexpr EnumTable<Liveness, 4> LivenessNames{
    {{Liveness::Alive, "alive"},
     {Liveness::Leaving, "leaving"},
     {Liveness::Suspected, "suspected"},
     {Liveness::Lapsed, "lapsed"}}};

/// The answer to a scan of all heartbeat rows.
struct HeartbeatScan {
  TimePoint SentAt_;
  std::vector<StoredRow> Rows_;
};

/// An instance with a heartbeat row, or one that had one.
struct Member {
  HeartbeatRecord Heartbeat_;
  Liveness State_ = Liveness::Alive;
  /// AbsentVersion when the row is gone.
  RowVersion Version_ = AbsentVersion;
};

/// Times heartbeat rows by the changes of their versions on the observer's own
/// clock. Not thread-safe.
class LivenessTracker {
public:
  explicit LivenessTracker(LeaseSettings Settings = {});
  ~LivenessTracker();
  LivenessTracker(LivenessTracker &&) noexcept;
  LivenessTracker &operator=(LivenessTracker &&) noexcept;

  /// Takes in a scan whose answer arrived at \p Now. Scans that were sent
  /// before one already taken in are ignored.
  void handle(const HeartbeatScan &Scan, TimePoint Now);

  /// Returns the state of \p Name. It lapses only by a scan that was sent
  /// after its lease must have ended; time alone makes it Suspected. A name
  /// never seen is timed from the first scan.
  Liveness stateOf(const InstanceName &Name, TimePoint Now) const;

  /// Returns the guard that holds as long as a lapsed \p Name stays lapsed;
  /// nothing when it has not lapsed.
  std::optional<Guard> lapsedGuard(const InstanceName &Name) const;

  /// Returns all instances with a row, in name order.
  std::vector<Member> members(TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H
