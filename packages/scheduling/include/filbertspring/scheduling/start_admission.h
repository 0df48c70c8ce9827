#ifndef FILBERTSPRING_SCHEDULING_START_ADMISSION_H
#define FILBERTSPRING_SCHEDULING_START_ADMISSION_H

/// \file
/// How many tasks an owner starts whose event loop is late.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <limits>
#include <optional>

namespace filbertspring::scheduling {

/// The number of starts of a pass that is not limited.
inline constexpr std::size_t UnlimitedStarts =
    std::numeric_limits<std::size_t>::max();

/// Limits the rate of starts so that the event loop of the cell's owner keeps
/// up with what cannot wait: renewals, reports, drains and stops.
///
/// Starts are not limited before the loop has been late for some time. Then the
/// rate begins below that of the last seconds; it falls while the loop is late
/// and rises while it is not, and the limit ends once it has not been used up
/// for a while. Also bounds the part of the time that placement passes take.
/// Uses no clock.
class StartAdmission {
public:
  /// Adapts the limit. To be called several times a second. \p LoopDelay: how
  /// late the loop carries out what is due.
  void observe(TimePoint Now, Duration LoopDelay);
  /// Returns how many starts may be placed at \p Now, 0 if there is to be no
  /// placement pass yet.
  std::size_t admit(TimePoint Now) const;
  /// Notes the result of a placement pass: the starts that it placed, and how
  /// long it took.
  void placed(TimePoint Now, std::size_t Starts, Duration Took);
  bool isLimited() const { return IsLimited_; }
  /// Returns the admitted starts a second. Only valid while isLimited().
  double startsPerSecond() const { return Rate_; }

private:
  void limit(TimePoint Now, Duration LoopDelay);
  void relax(TimePoint Now);
  /// Ends the period over which starts are counted if it is over.
  void countPeriod(TimePoint Now);

  bool IsLimited_ = false;
  double Rate_ = 0;
  /// The rate at which the loop was late last.
  double LateRate_ = 0;
  /// Starts that may be placed now.
  double Available_ = 0;
  TimePoint LastObservedAt_{};
  /// Since when the loop has been late.
  std::optional<TimePoint> LateSince_;
  TimePoint NextPassAt_{};
  TimePoint NextDecreaseAt_{};
  TimePoint NextIncreaseAt_{};
  /// Since when the loop has not been late and the limit has not been reached.
  TimePoint UnusedSince_{};
  /// The starts of the present period, and the rates in the two before.
  TimePoint PeriodStart_{};
  std::size_t PeriodStarts_ = 0;
  double CountedRate_ = 0;
  double PreviousRate_ = 0;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_START_ADMISSION_H
