#ifndef FILBERTSPRING_PLACEMENT_TIMER_SET_H
#define FILBERTSPRING_PLACEMENT_TIMER_SET_H

/// \file
/// The timers of a scheduler, one for each key.

#include "filbertspring/base/time.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace filbertspring::placement {

/// What a timer is for.
enum class TimerKind {
  JobScan,
  ConfigurationScan,
  Read,
  Rack,
  Worker,
  Job,
  Trial
};

/// The key of a timer.
struct TimerKey {
  TimerKind Kind_ = TimerKind::JobScan;
  std::string Name_;

  friend auto operator<=>(const TimerKey &, const TimerKey &) = default;
};

/// The timer of the next trial of a quarantined worker.
inline const TimerKey TrialTimer{TimerKind::Trial, {}};

/// Timers ordered by time. All operations are logarithmic.
class TimerSet {
public:
  /// Sets the timer of \p Key and replaces its previous time.
  void set(const TimerKey &Key, TimePoint At) {
    clear(Key);
    Times_[Key] = At;
    Order_.emplace(At, Key);
  }
  /// Sets the timer of \p Key unless it is set to an earlier time.
  void setEarlier(const TimerKey &Key, TimePoint At) {
    auto It = Times_.find(Key);
    if (It == Times_.end() || At < It->second)
      set(Key, At);
  }
  void clear(const TimerKey &Key) {
    auto It = Times_.find(Key);
    if (It == Times_.end())
      return;
    Order_.erase({It->second, Key});
    Times_.erase(It);
  }
  /// Removes and returns the earliest timer that is due, or nothing.
  std::optional<TimerKey> popDue(TimePoint Now) {
    if (Order_.empty() || Order_.begin()->first > Now)
      return std::nullopt;
    TimerKey Key = Order_.begin()->second;
    clear(Key);
    return Key;
  }
  std::optional<TimePoint> next() const {
    if (Order_.empty())
      return std::nullopt;
    return Order_.begin()->first;
  }

private:
  std::map<TimerKey, TimePoint> Times_;
  std::set<std::pair<TimePoint, TimerKey>> Order_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TIMER_SET_H
