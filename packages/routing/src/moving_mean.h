#ifndef FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H
#define FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H

/// \file
/// An exponentially weighted moving average of durations.

#include "filbertspring/base/time.h"

namespace filbertspring::routing {

/// An exponentially weighted moving average in which each new value has the
/// weight \p NewWeight.
class MovingMean {
public:
  explicit MovingMean(double NewWeight) : NewWeight_(NewWeight) {}

  void add(Duration Value) {
    auto Microseconds = static_cast<double>(Value.count());
    Mean_ =
        HasValue_ ? Mean_ + NewWeight_ * (Microseconds - Mean_) : Microseconds;
    HasValue_ = true;
  }

  bool hasValue() const { return HasValue_; }
  /// Returns the mean in microseconds, or 0 when no value has been added.
  double microseconds() const { return Mean_; }
  Duration duration() const { return Duration(static_cast<long>(Mean_)); }

private:
  double NewWeight_;
  double Mean_ = 0.0;
  bool HasValue_ = false;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H
