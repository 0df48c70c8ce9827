#ifndef FILBERTSPRING_SCHEDULING_OWNER_LEASE_H
#define FILBERTSPRING_SCHEDULING_OWNER_LEASE_H

/// \file
/// The lease on the ownership of a cell: a row in the store that the owner
/// rewrites at regular intervals.
///
/// The row contains no time, so the clocks of instances need not agree. A
/// candidate takes the cell over after it has observed the row unchanged for
/// some time, with a write that is conditional on the version it has read. The
/// owner's other writes are conditional on the version of the row, too, so an
/// owner that was replaced can store nothing.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// States when the leases of a worker end. Until a row without the note is
/// stored, neither the owner that wrote it nor its successors grant others.
struct LeaseNote {
  std::string Worker_;
  /// The start time of the incarnation, milliseconds since 1970.
  std::int64_t StartedAtMs_ = 0;
  /// How long tasks may run after the row was written.
  Duration Left_{};
};

/// The maximum number of notes in the ownership row.
inline constexpr std::size_t MaxLeaseNotes = 256;

/// The content of the ownership row.
struct OwnerRecord {
  /// The instance that owns the cell; empty after the owner released it.
  std::string Holder_;
  /// Distinguishes processes that run one after another as the same instance.
  std::string Nonce_;
  /// "IP:PORT" at which the holder receives notices of accepted jobs.
  std::string Address_;
  /// Incremented by each takeover.
  std::uint64_t Tenure_ = 0;
  /// For how long after the row was written the owners before this tenure may
  /// still grant leases; empty if it is not known.
  std::optional<Duration> EarlierGrants_;
  std::vector<LeaseNote> Notes_;
  /// How long ago, at least, this tenure and the last ones before it had begun
  /// when the row was written, by their numbers.
  std::map<std::uint64_t, Duration> TenureAges_;
};

std::string encodeOwnerRecord(const OwnerRecord &Record);
/// Decodes a row. Invalid text yields a record without a holder. Durations that
/// no owner writes are omitted.
OwnerRecord decodeOwnerRecord(std::string_view Text);

/// Intervals and timeouts of the ownership lease.
struct OwnerLeaseTimings {
  /// Interval between two renewals of the row by its owner.
  Duration RenewalInterval_ = std::chrono::milliseconds(800);
  /// A row that is unchanged for this long is taken over. Covers two renewals
  /// and a lost response.
  Duration TakeoverAfter_ = std::chrono::milliseconds(2500);
  /// An owner whose last confirmed renewal is older than this stops renewing
  /// the leases of workers. Long enough to bridge store outages of some
  /// seconds.
  Duration ValidFor_ = std::chrono::milliseconds(6000);
  /// Delay before a cell that never had an owner is taken over. All instances
  /// start within a third of a second and announce their capacity first.
  Duration FirstOwnerDelay_ = std::chrono::milliseconds(800);
};

/// Until when the owner of a cell may send commands to workers. The times are
/// on SchedulerClock, which also counts the time during which a process stands
/// still.
struct CommandLimits {
  /// No other instance owns the cell before this time.
  TimePoint ExclusiveUntil_{};
  /// A successor waits for the leases that are granted before this time.
  TimePoint ValidUntil_{};
};

/// Returns the additional delay before an instance with \p OwnCores processor
/// cores takes a cell over, so that instances with more cores, of which the
/// largest has \p StrongestCores, can do so first.
Duration takeoverDelay(double OwnCores, double StrongestCores);

/// Returns whether an instance with \p OwnCores processor cores should leave
/// the cell to one with \p OtherCores.
bool isTooWeak(double OwnCores, double OtherCores);

/// The ownership of one cell from the view of one instance. Makes decisions
/// only and performs no I/O.
class OwnerLease {
public:
  /// \p Self: the record that this instance writes; its tenure is ignored.
  OwnerLease(OwnerRecord Self, OwnerLeaseTimings Times);

  /// Sets the additional delay before this instance takes the cell over.
  void setTakeoverDelay(Duration Delay) { TakeoverDelay_ = Delay; }

  /// Handles a read that was sent at \p SentAt and returned the row at
  /// \p Version; 0 if the row does not exist.
  void rowRead(const OwnerRecord &Record, std::uint64_t Version,
               TimePoint SentAt);
  /// Handles a response which shows that the row was unchanged at \p Now.
  void rowUnchanged(TimePoint Now);
  /// Handles a successful write of the row that was sent at \p SentAt.
  void rowWritten(const OwnerRecord &Record, std::uint64_t Version,
                  TimePoint SentAt);
  /// Handles a failed read. The time until \p Now does not count towards the
  /// time for which the row was unchanged.
  void readFailed(TimePoint Now);
  /// Handles a takeover that the store did not accept. The store may still have
  /// answered reads, but the owner could not renew the row either, so the
  /// unchanged row does not show that the owner is gone.
  void takeoverFailed(TimePoint Now) { readFailed(Now); }

  bool isOwner() const;
  /// Returns whether this instance may send commands to workers at \p Now.
  bool isValid(TimePoint Now) const;
  /// Returns the limits of commands that the owner decides on now. They have
  /// passed if this instance is not the owner.
  CommandLimits commandLimits() const;
  /// Returns how long the row is known to be unchanged.
  Duration unchangedDuration() const { return UnchangedUntil_ - ChangedAt_; }
  /// Returns whether a takeover should be attempted at \p Now.
  bool shouldTakeOver(TimePoint Now) const;
  /// Returns whether this instance, as the owner, should renew the row at
  /// \p Now.
  bool shouldRenew(TimePoint Now) const;
  /// Returns the record to write for a takeover.
  OwnerRecord takeoverRecord() const;
  /// Returns the last record, which is also written for a renewal.
  const OwnerRecord &record() const { return Record_; }
  /// Returns the record to write to release the cell.
  OwnerRecord releaseRecord() const;
  /// Returns the last time at which no other instance owned the cell.
  TimePoint confirmedAt() const { return ConfirmedAt_; }
  std::uint64_t version() const { return Version_; }
  /// Returns whether the last owner released the cell.
  bool wasReleased() const { return Record_.Holder_.empty(); }

private:
  OwnerRecord Self_;
  OwnerLeaseTimings Times_;
  Duration TakeoverDelay_{};
  OwnerRecord Record_;
  std::uint64_t Version_ = 0;
  bool HasReadRow_ = false;
  /// When the row was last observed to change, or a read last failed.
  TimePoint ChangedAt_{};
  /// The last time at which the row is known to have been unchanged.
  TimePoint UnchangedUntil_{};
  TimePoint ConfirmedAt_{};
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_OWNER_LEASE_H
