#ifndef FILBERTSPRING_NODE_PREDECESSOR_LEASES_H
#define FILBERTSPRING_NODE_PREDECESSOR_LEASES_H

/// \file
/// Bounds of the leases that previous owners of a cell have granted.

#include "filbertspring/scheduling/owner_lease.h"

#include <algorithm>
#include <optional>

namespace filbertspring::node {

/// The time for which tasks may still run under leases of previous owners, from
/// what one instance has read of the owner's row.
class PredecessorLeases {
public:
  /// Notes that \p Record is the content of the owner's row, as an answer shows
  /// that was handled at \p Now.
  void rowRead(const scheduling::OwnerRecord &Record, TimePoint Now) {
    if (!SeenSince_ || Record.Tenure_ != Tenure_) {
      Tenure_ = Record.Tenure_;
      SeenSince_ = Now;
      ReleasedSince_.reset();
    }
    // An unreadable row has no nonce.
    bool IsReleased = Record.Holder_.empty() && !Record.Nonce_.empty();
    if (!IsReleased)
      ReleasedSince_.reset();
    else if (!ReleasedSince_)
      ReleasedSince_ = Now;
  }

  /// Returns how long tasks may run after a takeover at \p Now. \p Silence: how
  /// long the predecessor had not renewed its row. \p Lease: the longest lease
  /// of a worker, and what it may exceed it by.
  Duration limit(TimePoint Now, Duration Silence, Duration Lease) const {
    constexpr Duration ValidFor = scheduling::OwnerLeaseTimings().ValidFor_;
    if (!ReleasedSince_)
      return ValidFor + Lease - Silence;
    // An owner grants nothing after its release. Those before it were valid
    // for this time after its beginning at most.
    return std::max(Lease - (Now - *ReleasedSince_),
                    ValidFor + Lease - (Now - *SeenSince_));
  }

private:
  std::uint64_t Tenure_ = 0;
  /// When this instance first saw the row with this tenure.
  std::optional<TimePoint> SeenSince_;
  /// When it first saw that the tenure was released.
  std::optional<TimePoint> ReleasedSince_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_PREDECESSOR_LEASES_H
