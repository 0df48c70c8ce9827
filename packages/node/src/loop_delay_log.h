#ifndef FILBERTSPRING_NODE_LOOP_DELAY_LOG_H
#define FILBERTSPRING_NODE_LOOP_DELAY_LOG_H

/// \file
/// Decides which delays of the event loop are logged.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <optional>

namespace filbertspring::node {

/// The delays that one log line reports.
struct LoopDelays {
  Duration Longest_{};
  std::int64_t Count_ = 0;
};

/// Combines long delays, so that a loop that is always late logs one line in
/// LogInterval. Does no I/O itself.
class LoopDelayLog {
public:
  /// Shorter delays are not logged. A third of the timeout of a call to a
  /// worker.
  static constexpr Duration MinLoggedDelay = std::chrono::milliseconds(200);
  static constexpr Duration LogInterval = std::chrono::seconds(1);

  /// Notes a probe of the loop at \p Now that was \p Delay late. Returns the
  /// delays to be logged now, if any.
  std::optional<LoopDelays> probed(Duration Delay, TimePoint Now);

private:
  LoopDelays Unlogged_;
  TimePoint NextLineAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_LOOP_DELAY_LOG_H
