#ifndef FILBERTSPRING_SCHEDULING_PREDECESSOR_LEASES_H
#define FILBERTSPRING_SCHEDULING_PREDECESSOR_LEASES_H

/// \file
/// Bounds of the leases that previous owners of a cell have granted, from what
/// one instance has read of the owner's row.

#include "filbertspring/scheduling/owner_lease.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// What the owner's row states about the leases of a worker.
struct NotedLease {
  /// The start time of the incarnation, milliseconds since 1970.
  std::int64_t StartedAtMs_ = 0;
  /// No task runs under these leases after this time.
  TimePoint End_;
};

/// By the id of the worker.
using NotedLeases = std::map<std::string, NotedLease>;

/// When tenures had begun at the latest, by their numbers.
using TenureStarts = std::map<std::uint64_t, TimePoint>;

/// Returns \p Starts as a row that is written at \p Now states them.
std::map<std::uint64_t, Duration> makeTenureAges(const TenureStarts &Starts,
                                                 TimePoint Now);

/// Returns \p Leases as a row that is written at \p Now states them.
std::vector<LeaseNote> makeLeaseNotes(const NotedLeases &Leases, TimePoint Now);

/// Until when previous owners may have granted leases.
class PredecessorLeases {
public:
  /// \p Self: the record that this process writes as the owner. \p StartedAt:
  /// when the process started.
  PredecessorLeases(OwnerRecord Self, TimePoint StartedAt);

  /// Notes that the owner's row at \p Version contains \p Record, as an answer
  /// shows that was handled at \p Now.
  void rowRead(const OwnerRecord &Record, std::uint64_t Version, TimePoint Now);

  /// Returns the last time at which a previous owner may have granted a lease,
  /// for a takeover at \p Now that is conditional on the version that was read
  /// last. It may be over.
  TimePoint grantsEnd(TimePoint Now) const;

  /// Returns the bounds of the leases of single workers, by their ids.
  const NotedLeases &notedLeases() const { return Notes_; }
  /// Returns when the last tenures had begun.
  const TenureStarts &tenureStarts() const { return TenureStarts_; }

private:
  TimePoint lastOwnerGrantsEnd(TimePoint Now) const;

  OwnerRecord Self_;
  TimePoint StartedAt_;
  /// The last content that was read.
  OwnerRecord Record_;
  std::optional<std::uint64_t> Version_;
  /// When this instance first saw that version.
  TimePoint VersionSince_{};
  /// Until when the owners before that of the row may have granted leases, as
  /// its tenure shows, and as the row states, too.
  TimePoint TenureBound_{};
  TimePoint EarlierGrantsEnd_{};
  /// When this instance first saw that the tenure was released.
  std::optional<TimePoint> ReleasedSince_;
  NotedLeases Notes_;
  TenureStarts TenureStarts_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PREDECESSOR_LEASES_H
