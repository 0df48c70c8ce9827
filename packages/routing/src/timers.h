#ifndef FILBERTSPRING_ROUTING_SRC_TIMERS_H
#define FILBERTSPRING_ROUTING_SRC_TIMERS_H

/// \file
/// Times at which the router has something to do by itself.

#include "filbertspring/base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace filbertspring::routing {

/// What is due.
enum class TimerKind {
  /// The attempt Attempt_ of the request Id_ takes longer than usual.
  Hedge,
  /// The attempt Attempt_ of the request Id_ takes so long that its connection
  /// may be silent.
  Overdue,
  /// The request Id_ has waited so long that a dearer endpoint may do.
  Spill,
  /// The deadline of the request Id_ has passed while it is queued.
  Deadline,
  /// The request Id_ must be answered although an attempt has not ended.
  Answer,
  /// Work of the request Id_ that was lost sight of has surely ended.
  Release,
  /// The endpoint Id_ may have room again.
  Reopen,
  /// The endpoint Id_ may be tried again.
  Probation
};

/// One entry; ordered by time, then by its other members.
struct Timer {
  TimePoint Due_;
  TimerKind Kind_ = TimerKind::Answer;
  std::uint64_t Id_ = 0;
  std::int32_t Attempt_ = 0;

  friend auto operator<=>(const Timer &, const Timer &) = default;
};

/// Timers ordered by time. An entry is never removed early; whoever takes it
/// out checks that it still applies. All operations are logarithmic.
class TimerQueue {
public:
  void add(const Timer &Entry) { Heap_.push(Entry); }

  std::optional<TimePoint> nextDue() const {
    if (Heap_.empty())
      return std::nullopt;
    return Heap_.top().Due_;
  }

  /// Takes out the earliest entry that is due at \p Now.
  std::optional<Timer> take(TimePoint Now) {
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
