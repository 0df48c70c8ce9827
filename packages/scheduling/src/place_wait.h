#ifndef FILBERTSPRING_SCHEDULING_PLACE_WAIT_H
#define FILBERTSPRING_SCHEDULING_PLACE_WAIT_H

/// \file
/// Decides whether tasks wait for a place near their data although they could
/// start elsewhere, where they take longer.
///
/// A task that waits gains the time by which it is faster near its data. It
/// delays the tasks that arrive after it for the same rack by the place that it
/// takes. If each task waited for as long as that pays off for itself, the
/// queue of a rack with too much demand would take all of the gain. So a task
/// joins the queue only while its gain covers the delay of the others, too: the
/// threshold of Naor, "The regulation of queue size by levying tolls" (1969).

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/time.h"

namespace filbertspring::scheduling {

/// The most that a task waits in all for a better place. Half a second less
/// than the wait after which a task counts as overdue, since the start
/// elsewhere has to be stored and sent after it.
inline constexpr Duration MaxPlaceWait = std::chrono::milliseconds(1500);

inline double asSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// What the decision for the waiting tasks of one step depends on.
struct PlaceWaitInput {
  /// The expected run time of a task near its data.
  Duration RunTime_{};
  /// How many times longer it takes elsewhere.
  double FarFactor_ = 1;
  /// Time since the tasks became ready.
  Duration Waited_{};
  /// The time by which the job would meet its objective if the tasks started
  /// near their data now; negative if it is late already.
  Duration Slack_{};
  /// The places near the data that have to become free: those of the tasks that
  /// wait ahead, and one for each of the tasks.
  double Places_ = 1;
  /// The number of tasks that arrive together; the job ends with the last.
  double BatchSize_ = 1;
  /// Places near the data that become free in a second.
  double ReleaseRate_ = 0;
  /// Tasks that arrive in a second and prefer these places.
  double DemandRate_ = 0;
  /// The fraction of the processors elsewhere that is in use, from 0 to 1.
  double FarUse_ = 0;
  /// The fraction of the recent waits for the rack that ended near the data.
  double SuccessRate_ = 1;
};

enum class PlaceWaitVerdict {
  Waits,
  /// No task has ended near the data lately.
  NoRate,
  /// The wait is expected to cost more than it gains.
  NotWorth,
  /// The tasks have waited for as long as they may.
  Exhausted,
};

inline constexpr EnumTable<PlaceWaitVerdict, 4> PlaceWaitVerdictNames{{
    {PlaceWaitVerdict::Waits, "waits"},
    {PlaceWaitVerdict::NoRate, "no_rate"},
    {PlaceWaitVerdict::NotWorth, "not_worth"},
    {PlaceWaitVerdict::Exhausted, "exhausted"},
}};

struct PlaceWaitDecision {
  PlaceWaitVerdict Verdict_ = PlaceWaitVerdict::NotWorth;
  /// For how much longer the tasks may wait at most.
  Duration Allowance_{};
  /// The expected time until all of them have a place.
  Duration Expected_{};
  /// The time that the wait costs this job and later ones, and what it gains.
  Duration Cost_{};
  Duration Gain_{};

  bool waits() const { return Verdict_ == PlaceWaitVerdict::Waits; }
};

/// Decides for the state \p Input; to be repeated when that has changed, since
/// the result of an earlier call does not bind.
PlaceWaitDecision decidePlaceWait(const PlaceWaitInput &Input);

/// Returns how many service times the last one in a queue of \p Length costs
/// itself and those that come after it, if \p Load is the arrival rate divided
/// by the service rate. At least \p Length.
double displacement(double Length, double Load);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PLACE_WAIT_H
