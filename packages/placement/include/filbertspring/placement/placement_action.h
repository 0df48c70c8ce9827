#ifndef FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H
#define FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H

/// \file
/// What a scheduler asks its shell to do.

#include "filbertspring/base/log_event.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/placement_event.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::placement {

/// Send a transaction; answered by CommitDone.
struct CommitRows {
  Transaction Transaction_;
};

/// Read rows; answered by RowsRead or ReadFailed with the same number.
struct ReadRows {
  RequestNumber Read_ = UnsolicitedRead;
  /// The rows to read.
  std::vector<RowKey> Keys_;
  /// All rows of this kind, instead of single keys.
  std::optional<RowKind> Scan_;
};

/// Send commands to a worker; answered by WorkerAnswered or WorkerUnreachable
/// with the same number. One exchange with each worker is under way at a time.
struct SendCommands {
  WorkerName Worker_;
  Address Address_;
  RequestNumber Exchange_ = 0;
  WorkerCommands Commands_;
};

/// Something worth a log line.
struct LogRecord {
  LogEvent Event_ = LogEvent::TaskStarted;
  /// Empty for events that are not about one attempt.
  AttemptRef Attempt_;
  RackName Rack_;
  WorkerName Worker_;
  std::string Text_;
};

/// Anything that a scheduler asks for.
using PlacementAction =
    std::variant<CommitRows, ReadRows, SendCommands, LogRecord>;

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_PLACEMENT_ACTION_H
