#ifndef FILBERTSPRING_SCHEDULING_EARLIER_COMMANDS_H
#define FILBERTSPRING_SCHEDULING_EARLIER_COMMANDS_H

/// \file
/// Commands that a worker may execute although they were not composed for its
/// present incarnation by its present owner.

#include "filbertspring/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace filbertspring::scheduling {

/// How long tasks run at most under a lease, by its kind.
struct LeaseLengths {
  /// A lease whose deadline was reckoned on the clock of the incarnation that
  /// executes the command.
  Duration OnOwnClock_{};
  /// One on any other clock. The worker shortens it to its maximum.
  Duration OnOtherClock_{};
  /// The time that the worker takes to kill tasks.
  Duration Kill_{};
  double ClockDrift_ = 0;
};

/// The commands of the previous owner, or those for the previous incarnations,
/// which had the same id and address. A command without an answer may be
/// executed long after it was sent.
///
/// The commands that follow them carry a higher fencing token. Once the worker
/// has answered one of these, it rejects the earlier ones, so its next complete
/// report lists everything that they have started.
class EarlierCommands {
public:
  EarlierCommands() = default;
  /// Those of the previous owner. None is executed after \p LastExecution.
  static EarlierCommands ofPreviousOwner(TimePoint LastExecution) {
    EarlierCommands Earlier;
    Earlier.LastExecution_ = LastExecution;
    return Earlier;
  }
  /// Those for previous incarnations. None has a later deadline than
  /// \p LastDeadlineMs, on the clocks of these, if that is known.
  static EarlierCommands
  ofPreviousIncarnations(TimePoint LastExecution,
                         std::optional<std::int64_t> LastDeadlineMs) {
    EarlierCommands Earlier = ofPreviousOwner(LastExecution);
    Earlier.HaveOtherClock_ = true;
    Earlier.LastDeadlineMs_ = LastDeadlineMs;
    return Earlier;
  }

  /// Returns the latest deadline of these commands and of the present ones, of
  /// which \p PresentMs is the latest; nothing if it is not known.
  std::optional<std::int64_t>
  lastDeadlineMs(std::optional<std::int64_t> PresentMs) const {
    if (HaveOtherClock_ && LastDeadlineMs_ && PresentMs)
      return std::max(*LastDeadlineMs_, *PresentMs);
    return HaveOtherClock_ ? LastDeadlineMs_ : PresentMs;
  }

  /// Notes a report that arrived at \p Now, the answer to a command with a
  /// higher token. \p ClockMs: the worker's clock in the report.
  void rejectedSince(TimePoint Now, std::int64_t ClockMs) {
    LastExecution_ = std::min(LastExecution_, Now);
    if (!LongestLeaseMs_ && HaveOtherClock_ && LastDeadlineMs_)
      LongestLeaseMs_ = std::max<std::int64_t>(0, *LastDeadlineMs_ - ClockMs);
  }
  /// Notes that an answer which arrived at \p Now shows that an incarnation
  /// with another clock, which is not known yet, has executed a present
  /// command.
  void presentExecutedOnOtherClock(TimePoint Now) { UnknownExecution_ = Now; }

  /// Returns until when tasks may run under deadlines of these commands.
  /// \p MayBeYoung: the incarnation may have received commands for the previous
  /// one from an owner that did not know of it.
  TimePoint leaseEnd(const LeaseLengths &Lengths, bool MayBeYoung) const {
    TimePoint End = LastExecution_ + length(Lengths, MayBeYoung);
    return UnknownExecution_
               ? std::max(End, *UnknownExecution_ + Lengths.OnOtherClock_)
               : End;
  }

private:
  Duration length(const LeaseLengths &Lengths, bool MayBeYoung) const {
    if (!HaveOtherClock_ && !MayBeYoung)
      return Lengths.OnOwnClock_;
    if (!LongestLeaseMs_)
      return Lengths.OnOtherClock_;
    // None of the deadlines is ahead of the worker's clock.
    if (*LongestLeaseMs_ == 0)
      return Duration::zero();
    std::chrono::duration<double, std::milli> Rest(
        static_cast<double>(*LongestLeaseMs_) * (1 + Lengths.ClockDrift_));
    if (Rest >= Lengths.OnOtherClock_)
      return Lengths.OnOtherClock_;
    return std::chrono::duration_cast<Duration>(Rest) + Lengths.Kill_;
  }

  TimePoint LastExecution_{};
  bool HaveOtherClock_ = false;
  std::optional<std::int64_t> LastDeadlineMs_;
  /// The longest rest of a lease under one of these deadlines, if it is known.
  std::optional<std::int64_t> LongestLeaseMs_;
  /// When an incarnation that is not known yet answered a command.
  std::optional<TimePoint> UnknownExecution_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_EARLIER_COMMANDS_H
