#ifndef FILBERTSPRING_SCHEDULING_OWNER_LEASE_H
#define FILBERTSPRING_SCHEDULING_OWNER_LEASE_H

/// \file
/// Who owns a cell: a row in the store that its owner rewrites regularly.
///
/// The row carries no time. A candidate takes the row over when it has seen
/// it unchanged for a while, with a write that holds only if the row still is
/// what was seen. The owner's other writes name the row's version too, so
/// nothing is stored by an owner that was replaced.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::scheduling {

/// The content of the row.
struct OwnerRecord {
  /// The instance that owns the cell; empty after it gave the cell up.
  std::string Holder_;
  /// Distinguishes the lives of an instance.
  std::string Nonce_;
  /// "IP:PORT" at which the holder is told of accepted jobs.
  std::string Address_;
  /// Rises by one with each takeover.
  std::uint64_t Tenure_ = 0;
};

std::string encodeOwnerRecord(const OwnerRecord &Record);
/// An unreadable text is a row that nobody holds.
OwnerRecord decodeOwnerRecord(std::string_view Text);

/// Times of ownership.
struct OwnerLeaseTimings {
  /// The owner rewrites the row this often.
  Duration RenewalInterval_ = std::chrono::milliseconds(800);
  /// A row that is unchanged for this long is taken over: two renewals and a
  /// lost answer.
  Duration TakeoverAfter_ = std::chrono::milliseconds(2500);
  /// An owner without a confirmed rewrite for this long renews no leases: the
  /// store's outages last some seconds.
  Duration ValidFor_ = std::chrono::milliseconds(6000);
  /// A cell that never had an owner is left alone for this long: all instances
  /// start within a third of a second and announce their strength first.
  Duration FirstOwnerDelay_ = std::chrono::milliseconds(800);
};

/// Returns how much longer than the strongest an instance of strength \p Own
/// leaves a cell to others, of which \p Strongest is the strongest: one that
/// is weaker takes it only if they do not. Strengths are in cores.
Duration takeoverDelay(double Own, double Strongest);

/// The ownership of one cell as one instance sees it. Decides, does no I/O.
class OwnerLease {
public:
  /// \p Self: the record that this instance would write, but for its tenure.
  OwnerLease(OwnerRecord Self, OwnerLeaseTimings Times);

  /// Sets how much longer than others this instance leaves the cell to them.
  void setTakeoverDelay(Duration Handicap) { Handicap_ = Handicap; }

  /// The row was read at \p Version (0: it does not exist), from a read that
  /// was sent at \p SentAt.
  void rowRead(const OwnerRecord &Record, std::uint64_t Version,
               TimePoint SentAt);
  /// A read that was sent at \p SentAt proved the row unchanged.
  void rowUnchanged(TimePoint Now);
  /// A write of the row that was sent at \p SentAt succeeded.
  void rowWritten(const OwnerRecord &Record, std::uint64_t Version,
                  TimePoint SentAt);
  /// The store could not be read; the time does not count as unchanged.
  void readFailed(TimePoint Now);
  /// The store did not take a takeover. It may still have answered feeds, but
  /// the owner could not renew its row either: the silence so far proves
  /// nothing.
  void takeoverFailed(TimePoint Now) { readFailed(Now); }

  bool isOwner() const;
  /// Whether orders may be given at \p Now.
  bool isValid(TimePoint Now) const;
  /// How long the row is known to be unchanged.
  Duration unchangedDuration() const { return ProvenAt_ - ChangedAt_; }
  /// Whether a takeover should be tried at \p Now.
  bool shouldTakeOver(TimePoint Now) const;
  /// Whether the owner should rewrite the row at \p Now.
  bool shouldRenew(TimePoint Now) const;
  /// The record of a takeover, of a renewal, or of giving the cell up.
  OwnerRecord takeoverRecord() const;
  const OwnerRecord &record() const { return Record_; }
  OwnerRecord releaseRecord() const;
  /// No other instance owned the cell until this moment.
  TimePoint confirmedAt() const { return ConfirmedAt_; }
  std::uint64_t version() const { return Version_; }
  /// The cell was given up by its owner, not taken from it.
  bool wasReleased() const { return Record_.Holder_.empty(); }

private:
  OwnerRecord Self_;
  OwnerLeaseTimings Times_;
  Duration Handicap_{};
  OwnerRecord Record_;
  std::uint64_t Version_ = 0;
  bool IsKnown_ = false;
  /// When the row was last seen to change, or the store to be back.
  TimePoint ChangedAt_{};
  /// The last moment for which the row is known to be unchanged.
  TimePoint ProvenAt_{};
  TimePoint ConfirmedAt_{};
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_OWNER_LEASE_H
