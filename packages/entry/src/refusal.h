#ifndef FILBERTSPRING_ENTRY_REFUSAL_H
#define FILBERTSPRING_ENTRY_REFUSAL_H

/// \file
/// The reasons for which the request interface rejects a request with the
/// outcome "not-run" before the router accepts it.

#include "filbertspring/transport/http_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace filbertspring {

/// Why the request interface rejected a request.
enum class Refusal {
  InvalidIdentifier,
  InvalidDeadline,
  InvalidIdempotency,
  KeyMissing,
  KeyReused,
  NotReady,
  TooBusy,
  PlatformUnavailable
};

/// The answer "not-run" for one rejection reason.
struct RefusalRow {
  Refusal Reason_;
  /// The code in the x-reason header.
  std::string_view Name_;
  int Status_;
  /// Delay after which a retry may succeed, in milliseconds; 0 when a retry
  /// cannot succeed.
  std::int64_t RetryAfterMs_;
  /// Why no endpoint can have run the request.
  std::string_view WhyNotRun_;
};

/// The rows of all reasons, in the order of Refusal.
inline constexpr std::array<RefusalRow, 8> RefusalTable{
    {{Refusal::InvalidIdentifier, "invalid-request-id", 400, 0,
      "refused before the router saw it"},
     {Refusal::InvalidDeadline, "invalid-deadline", 400, 0,
      "refused before the router saw it"},
     {Refusal::InvalidIdempotency, "invalid-idempotency", 400, 0,
      "refused before the router saw it"},
     {Refusal::KeyMissing, "idempotency-key-missing", 400, 0,
      "refused before the router saw it"},
     {Refusal::KeyReused, "idempotency-key-reused", 409, 0,
      "the key belongs to a request with another body; this one was never "
      "handed to the router"},
     {Refusal::NotReady, "not-ready", 503, 1000,
      "refused before the router saw it"},
     {Refusal::TooBusy, "too-busy", 503, 200,
      "the router's ring was full and did not take it"},
     {Refusal::PlatformUnavailable, "platform-unavailable", 503, 2000,
      "the key could not be stored, and without it nothing is handed to the "
      "router"}}};

/// Returns the row of \p Reason.
constexpr const RefusalRow &refusalRow(Refusal Reason) {
  return RefusalTable[static_cast<std::size_t>(Reason)];
}

/// Returns the answer that rejects the request \p RequestId for \p Reason.
HttpAnswer refuse(Refusal Reason, std::string_view RequestId);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_REFUSAL_H
