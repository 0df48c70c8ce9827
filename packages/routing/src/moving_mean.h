#ifndef FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H
#define FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H

/// \file
/// An exponentially weighted mean of durations.

#include "filbertspring/base/time.h"

namespace filbertspring::routing {

/// The mean of the latest values; each new one has weight \p NewWeight.
class MovingMean {
public:
  explicit MovingMean(double NewWeight) : NewWeight_(NewWeight) {}

  void add(Duration Value) {
    auto Count = static_cast<double>(Value.count());
    Mean_ = Known_ ? Mean_ + NewWeight_ * (Count - Mean_) : Count;
    Known_ = true;
  }

  bool known() const { return Known_; }
  /// Returns the mean in microseconds; 0 while unknown.
  double microseconds() const { return Mean_; }
  Duration duration() const { return Duration(static_cast<long>(Mean_)); }

private:
  double NewWeight_;
  double Mean_ = 0.0;
  bool Known_ = false;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_MOVING_MEAN_H
