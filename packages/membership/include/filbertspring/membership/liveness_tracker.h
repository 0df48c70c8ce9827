#ifndef FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H
#define FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H

/// \file
/// Determines which entry instances are alive from their heartbeat rows.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"

#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// The observed state of an instance.
enum class Liveness {
  Alive,
  /// Alive and draining.
  Leaving,
  /// Its row has not changed for the suspicion timeout; its lease may still be
  /// valid.
  Suspected,
  /// Its lease has ended by any clock within the rate error.
  Lapsed
};

inline constexpr EnumTable<Liveness, 4> LivenessNames{
    {{Liveness::Alive, "alive"},
     {Liveness::Leaving, "leaving"},
     {Liveness::Suspected, "suspected"},
     {Liveness::Lapsed, "lapsed"}}};

/// The result of a scan of all heartbeat rows.
struct HeartbeatScan {
  TimePoint SentAt_;
  std::vector<StoredRow> Rows_;
};

/// An instance that has or had a heartbeat row.
struct Member {
  HeartbeatRecord Heartbeat_;
  Liveness State_ = Liveness::Alive;
  /// AbsentVersion when the row was deleted.
  RowVersion Version_ = AbsentVersion;
};

/// Derives the liveness of instances from the times at which the versions of
/// their heartbeat rows change, by the observer's own clock. Not thread-safe.
class LivenessTracker {
public:
  explicit LivenessTracker(LeaseSettings Settings = {});
  ~LivenessTracker();
  LivenessTracker(LivenessTracker &&) noexcept;
  LivenessTracker &operator=(LivenessTracker &&) noexcept;

  /// Processes a scan whose answer arrived at \p Now. A scan sent before the
  /// last processed one is ignored.
  void handle(const HeartbeatScan &Scan, TimePoint Now);

  /// Returns the state of \p Name. An instance becomes Lapsed only through a
  /// scan sent after its lease must have ended; elapsed time alone makes it
  /// Suspected. For a name that was never observed, the time counts from the
  /// first scan.
  Liveness stateOf(const InstanceName &Name, TimePoint Now) const;

  /// Returns a guard that is satisfied as long as the lapsed instance \p Name
  /// writes no heartbeat; std::nullopt when it has not lapsed.
  std::optional<Guard> lapsedGuard(const InstanceName &Name) const;

  /// Returns a guard that is satisfied as long as \p Name writes no heartbeat
  /// if \p Name is an earlier process of the instance of \p Successor that has
  /// ended; std::nullopt otherwise. A process that listens at an address
  /// excludes an earlier one that admits requests there. In addition, the row
  /// must not have changed for the suspicion timeout, and that of a process
  /// that drained for the drain limit as well.
  std::optional<Guard> predecessorGuard(const InstanceName &Name,
                                        const InstanceName &Successor) const;

  /// Returns all instances with a row, in name order.
  std::vector<Member> members(TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_LIVENESS_TRACKER_H
