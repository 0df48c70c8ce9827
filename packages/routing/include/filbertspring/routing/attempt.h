#ifndef FILBERTSPRING_ROUTING_ATTEMPT_H
#define FILBERTSPRING_ROUTING_ATTEMPT_H

/// \file
/// One attempt to run a request on an endpoint, and how it ended.

#include "filbertspring/base/enum_table.h"

#include <cstdint>

namespace filbertspring::routing {

/// Number of an attempt within its request, starting at 1.
using AttemptNumber = std::int32_t;

/// How an attempt ended, as observed by the sender.
enum class AttemptResult {
  /// The complete answer with the matching request identifier was received.
  Completed,
  /// The endpoint rejected the request without running it: no free slot.
  RefusedBusy,
  /// The endpoint rejected the request without running it: it is leaving.
  RefusedLeaving,
  /// No byte of the request was sent.
  ConnectFailed,
  /// The connection was lost before the complete answer was received; the
  /// request may have run.
  ConnectionLost,
  /// No answer was received before the timeout; the request may have run.
  TimedOut,
  /// The answer carried the identifier of another request; the request may
  /// have run.
  RequestIdMismatch,
  /// The answer ended before its declared length; the request may have run.
  Truncated,
  /// The sender closed the connection after CancelAttempt; the request may have
  /// run.
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

/// Returns true when the endpoint may have run a request whose attempt ended
/// with \p Result.
constexpr bool mayHaveRun(AttemptResult Result) {
  return Result != AttemptResult::RefusedBusy &&
         Result != AttemptResult::RefusedLeaving &&
         Result != AttemptResult::ConnectFailed;
}

/// The load that an endpoint reports in the headers of its answers.
struct ObservedLoad {
  /// Requests from all senders that the endpoint currently holds.
  std::int64_t InFlight_ = 0;
  /// Requests that the endpoint runs concurrently; 0 when not reported.
  std::int64_t Slots_ = 0;
  bool Leaving_ = false;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ATTEMPT_H
