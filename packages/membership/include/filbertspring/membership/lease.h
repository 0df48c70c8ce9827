#ifndef FILBERTSPRING_MEMBERSHIP_LEASE_H
#define FILBERTSPRING_MEMBERSHIP_LEASE_H

/// \file
/// Times of the lease that an instance holds through its heartbeat row.

#include "filbertspring/base/time.h"

#include <cstdint>

namespace filbertspring::membership {

/// Intervals of heartbeats and the duration of the lease that each of them
/// renews.
struct LeaseSettings {
  /// Time between two heartbeats of an instance.
  Duration HeartbeatInterval_ = std::chrono::seconds(2);
  /// An instance whose heartbeat row has not changed for this long is assigned
  /// no new racks.
  Duration SuspicionTimeout_ = std::chrono::seconds(6);
  /// The lease ends this long after the holder sent its last successful
  /// heartbeat.
  Duration LeaseDuration_ = std::chrono::seconds(10);
  /// The maximum rate error of a clock, in thousandths.
  std::int32_t DriftPermille_ = 10;
  /// A process that drains ends at most this long after its last heartbeat.
  Duration DrainLimit_ = std::chrono::seconds(60);
  /// Safety margin that observers add to the lease duration.
  Duration Margin_ = std::chrono::milliseconds(500);

  /// Returns how long an observer waits, by its own clock, until the lease of a
  /// holder must have ended by any clock within the rate error.
  Duration observedLeaseDuration() const {
    const auto Fast = 1000 + DriftPermille_;
    const auto Slow = 1000 - DriftPermille_;
    return LeaseDuration_ * Fast / Slow + Margin_;
  }
};

/// The period in which an instance may use the shares and racks assigned to it.
struct HolderLease {
  /// The start. Only rows read at or after this time are valid.
  TimePoint Since_ = TimePoint::max();
  /// The end, exclusive.
  TimePoint Until_ = TimePoint::min();

  bool holdsAt(TimePoint Now) const { return Since_ <= Now && Now < Until_; }
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_LEASE_H
