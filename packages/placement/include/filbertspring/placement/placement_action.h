#ifndef FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H
#define FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H

/// \file
/// The actions that a scheduler returns for its caller to carry out.

#include "filbertspring/base/log_event.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/placement_event.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::placement {

/// Send a transaction. CommitDone reports the result.
struct CommitRows {
  Transaction Transaction_;
};

/// Read rows. RowsRead or ReadFailed with the same number reports the result.
struct ReadRows {
  RequestNumber Read_ = UnsolicitedRead;
  /// The rows to read.
  std::vector<RowKey> Keys_;
  /// All rows of this kind, instead of single keys.
  std::optional<RowKind> Scan_;
};

/// Send commands to a worker. WorkerAnswered or WorkerUnreachable with the same
/// number reports the result. At most one exchange per worker is in flight.
struct SendCommands {
  WorkerName Worker_;
  Address Address_;
  RequestNumber Exchange_ = 0;
  WorkerCommands Commands_;
};

/// Write a log line.
struct LogRecord {
  LogEvent Event_ = LogEvent::TaskStarted;
  /// Empty for events that do not concern a single attempt.
  AttemptRef Attempt_;
  RackName Rack_;
  WorkerName Worker_;
  std::string Text_;
};

/// Any action of a scheduler.
using PlacementAction =
    std::variant<CommitRows, ReadRows, SendCommands, LogRecord>;

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H
