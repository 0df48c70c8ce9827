#ifndef FILBERTSPRING_ROUTING_ATTEMPT_H
#define FILBERTSPRING_ROUTING_ATTEMPT_H

/// \file
/// One attempt to run a request on an endpoint, and how it ended.

#include "filbertspring/base/enum_table.h"

#include <cstdint>

namespace filbertspring::routing {

/// Counts the attempts of one request from 1.
using AttemptNumber = std::int32_t;

/// How an attempt ended, as the sender saw it.
enum class AttemptResult {
  /// The whole answer with the right request identifier came.
  Completed,
  /// The endpoint said that it did not run the request: all slots taken.
  RefusedBusy,
  /// The endpoint said that it did not run the request: it is leaving.
  RefusedLeaving,
  /// No byte of the request was sent.
  ConnectFailed,
  /// The connection broke before the whole answer came; may have run.
  ConnectionLost,
  /// Nothing came before the timeout; may have run.
  TimedOut,
  /// The answer carried the identifier of another request; may have run.
  RequestIdMismatch,
  /// The answer ended before its announced length; may have run.
  Truncated,
  /// The sender closed the connection after CancelAttempt; may have run.
  Cancelled
};

inline constexpr EnumTable<AttemptResult, 9> AttemptResultNames{
    {{AttemptResult::Completed, "completed"},
     {AttemptResult::RefusedBusy, "refused-busy"},
     {AttemptResult::RefusedLeaving, "refused-leaving"},
     {AttemptResult::ConnectFailed, "connect-failed"},
     {AttemptResult::ConnectionLost, "lost"},
     {AttemptResult::TimedOut, "silent"},
     {AttemptResult::RequestIdMismatch, "foreign"},
     {AttemptResult::Truncated, "truncated"},
     {AttemptResult::Cancelled, "cancelled"}}};

/// Returns true when an attempt that ended with \p Result may have run.
constexpr bool mayHaveRun(AttemptResult Result) {
  return Result != AttemptResult::RefusedBusy &&
         Result != AttemptResult::RefusedLeaving &&
         Result != AttemptResult::ConnectFailed;
}

/// The load that an endpoint reports on its answers.
struct ObservedLoad {
  /// Requests that it holds now, from all senders.
  std::int64_t InFlight_ = 0;
  /// Requests that it runs at one time; 0 when it did not say.
  std::int64_t Slots_ = 0;
  bool Leaving_ = false;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ATTEMPT_H
