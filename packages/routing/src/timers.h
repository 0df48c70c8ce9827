#ifndef FILBERTSPRING_ROUTING_SRC_TIMERS_H
#define FILBERTSPRING_ROUTING_SRC_TIMERS_H

/// \file
/// Timers of the router.

#include "filbertspring/base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace filbertspring::routing {

/// What to do when a timer is due.
enum class TimerKind {
  /// The attempt Attempt_ of the request Id_ takes long enough for a hedge.
  Hedge,
  /// The attempt Attempt_ of the request Id_ takes so long that its connection
  /// may be dead.
  Overdue,
  /// The request Id_ has waited so long that an endpoint with higher predicted
  /// latency, such as one in another zone, may be acceptable.
  Spill,
  /// The deadline of the request Id_ is reached.
  Deadline,
  /// The request Id_ must be answered although an attempt is still active.
  AnswerTimeout,
  /// The deadline of the request Id_ is reached, which ends work that an
  /// unconfirmed attempt may have left running.
  Release,
  /// The endpoint Id_ may have free capacity again.
  CapacityCheck,
  /// The endpoint Id_ is no longer suspect and may receive a probe request.
  Probation
};

/// A timer. Timers are ordered by due time, then by their other members.
struct Timer {
  TimePoint Due_;
  TimerKind Kind_ = TimerKind::AnswerTimeout;
  std::uint64_t Id_ = 0;
  std::int32_t Attempt_ = 0;

  friend auto operator<=>(const Timer &, const Timer &) = default;
};

/// A priority queue of timers. Timers are never cancelled: the code that
/// handles a due timer checks whether it still applies. All operations take
/// logarithmic time.
class TimerQueue {
public:
  void add(const Timer &Entry) { Heap_.push(Entry); }

  std::optional<TimePoint> nextDue() const {
    if (Heap_.empty())
      return std::nullopt;
    return Heap_.top().Due_;
  }

  /// Removes and returns the earliest timer that is due at \p Now, or returns
  /// std::nullopt when none is due.
  std::optional<Timer> popDue(TimePoint Now) {
    if (Heap_.empty() || Heap_.top().Due_ > Now)
      return std::nullopt;
    Timer Entry = Heap_.top();
    Heap_.pop();
    return Entry;
  }

private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Heap_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_TIMERS_H
