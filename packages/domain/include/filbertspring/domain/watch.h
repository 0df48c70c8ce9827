#ifndef FILBERTSPRING_DOMAIN_WATCH_H
#define FILBERTSPRING_DOMAIN_WATCH_H

/// \file
/// A durable condition watch. It is stored in the table, so that it outlives
/// the instance and the connection through which it was opened.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace filbertspring {

/// One observation that a watch delivers.
struct WatchEvent {
  /// Numbered from 1 in each watch, without gaps.
  std::int64_t Sequence_ = 0;
  std::string Payload_;
};

/// The stored fields of a watch.
struct WatchRecord {
  std::string Id_;
  ContractName Contract_;
  /// What is watched, such as the name of an instrument.
  std::string Subject_;
  /// Time of day when the watch expires, in milliseconds since 1970.
  std::int64_t ExpiresMs_ = 0;
  std::int64_t NextSequence_ = 1;
  /// Events that the caller has not acknowledged yet.
  std::vector<WatchEvent> Events_;
  bool Closed_ = false;
};

/// A watch that enforces its invariants: events are kept until they are
/// acknowledged, and their numbers have no gaps.
class Watch {
public:
  /// Makes a watch of a stored \p Record. Errors: InvalidInput when the event
  /// numbers have gaps.
  static Result<Watch> restore(WatchRecord Record);

  const WatchRecord &record() const { return Record_; }

  /// Appends an event. Errors: InvalidTransition when closed; QueueFull when
  /// MaxPending events are unacknowledged.
  Status append(std::string Payload);
  /// Removes the events up to and including \p Cursor. Errors: InvalidInput for
  /// a cursor beyond the last event.
  Status acknowledge(std::int64_t Cursor);
  /// Returns the unacknowledged events after \p Cursor, in order.
  std::vector<WatchEvent> after(std::int64_t Cursor) const;
  /// Ends the watch; pending events can still be read.
  void close() { Record_.Closed_ = true; }

  static constexpr std::size_t MaxPending = 256;

private:
  explicit Watch(WatchRecord Record) : Record_(std::move(Record)) {}

  WatchRecord Record_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_WATCH_H
