#ifndef FILBERTSPRING_MEMBERSHIP_LEASE_H
#define FILBERTSPRING_MEMBERSHIP_LEASE_H

/// \file
/// The times of the lease that an instance holds through its heartbeat row.

#include "filbertspring/base/time.h"

#include <cstdint>

namespace filbertspring::membership {

/// Times of heartbeats and of the lease that each of them renews.
struct LeaseSettings {
  /// Time between two heartbeats of an instance.
  Duration HeartbeatInterval_ = std::chrono::seconds(2);
  /// An instance not seen for this long gets no new racks.
  Duration SuspicionTimeout_ = std::chrono::seconds(6);
  /// A holder uses what it holds for this long after it sent its last
  /// successful heartbeat.
  Duration LeaseDuration_ = std::chrono::seconds(10);
  /// The largest error of a clock's rate, in thousandths.
  std::int32_t DriftPermille_ = 10;
  /// Added by observers to the lapse.
  Duration Margin_ = std::chrono::milliseconds(500);

  /// Returns how long an observer waits, on its own clock, until a holder must
  /// have stopped on any other clock.
  Duration observedLeaseDuration() const {
    const auto Fast = 1000 + DriftPermille_;
    const auto Slow = 1000 - DriftPermille_;
    return LeaseDuration_ * Fast / Slow + Margin_;
  }
};

/// The time in which an instance may use what rows assign to it.
struct HolderLease {
  /// Rows count only when read at or after this time.
  TimePoint Since_ = TimePoint::max();
  /// The end, exclusive.
  TimePoint Until_ = TimePoint::min();

  bool holdsAt(TimePoint Now) const { return Since_ <= Now && Now < Until_; }
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_LEASE_H
