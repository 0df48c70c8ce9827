#ifndef FILBERTSPRING_ROUTING_OUTCOME_TABLE_H
#define FILBERTSPRING_ROUTING_OUTCOME_TABLE_H

/// \file
/// Outcomes of requests, and every reason for not running a request.

#include "filbertspring/base/enum_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace filbertspring::routing {

/// The outcome of a request as answered to its caller.
enum class RequestOutcome {
  /// An endpoint ran the request and its complete answer is returned.
  Completed,
  /// No endpoint ran the request, and none will.
  NotRun,
  /// The request may have run, or may still run.
  Unknown
};

inline constexpr EnumTable<RequestOutcome, 3> RequestOutcomeNames{
    {{RequestOutcome::Completed, "completed"},
     {RequestOutcome::NotRun, "not-run"},
     {RequestOutcome::Unknown, "unknown"}}};

/// Why a request was not run.
enum class NotRunReason {
  UnknownContract,
  UnknownService,
  Draining,
  NoShare,
  RateLimited,
  QueueFull,
  WaitTooLong,
  DeadlinePassed,
  NoEndpoint,
  EndpointsBusy,
  EndpointsUnreachable,
  CallerDisconnected
};

/// Describes one reason of the outcome NotRun.
struct NotRunRow {
  NotRunReason Reason_;
  /// The value of the x-reason header.
  std::string_view Name_;
  std::int32_t HttpStatus_;
  /// Whether attempts may have been sent before the answer.
  bool AfterAttempts_;
  /// Why no endpoint can have run the request.
  std::string_view Proof_;
};

/// All reasons of the outcome NotRun, in the order of NotRunReason. The router
/// uses no other reasons.
inline constexpr std::array<NotRunRow, 12> NotRunTable{
    {{NotRunReason::UnknownContract, "unknown-contract", 404, true,
      "no attempt is active, and each earlier one was refused by its endpoint "
      "or sent no byte"},
     {NotRunReason::UnknownService, "unknown-service", 404, true,
      "no attempt is active, and each earlier one was refused by its endpoint "
      "or sent no byte"},
     {NotRunReason::Draining, "draining", 503, false,
      "refused on arrival; nothing was sent"},
     {NotRunReason::NoShare, "no-share", 429, false,
      "this instance's share of the limit is zero; nothing was sent"},
     {NotRunReason::RateLimited, "rate-limited", 429, false,
      "refused on arrival; nothing was sent"},
     {NotRunReason::QueueFull, "queue-full", 429, false,
      "refused on arrival; nothing was sent"},
     {NotRunReason::WaitTooLong, "wait-too-long", 503, false,
      "refused on arrival or before its first attempt; nothing was sent"},
     {NotRunReason::DeadlinePassed, "deadline-passed", 504, true,
      "no attempt is active, and each earlier one was refused by its endpoint "
      "or sent no byte"},
     {NotRunReason::NoEndpoint, "no-endpoint", 503, true,
      "no attempt is active, and each earlier one was refused by its endpoint "
      "or sent no byte"},
     {NotRunReason::EndpointsBusy, "endpoints-busy", 503, true,
      "each attempt was refused by its endpoint or sent no byte"},
     {NotRunReason::EndpointsUnreachable, "endpoints-unreachable", 503, true,
      "each attempt was refused by its endpoint or sent no byte"},
     {NotRunReason::CallerDisconnected, "caller-gone", 503, true,
      "the caller left while no attempt was active, and each earlier one was "
      "refused by its endpoint or sent no byte"}}};

/// Returns the row of NotRunTable for \p Reason.
constexpr const NotRunRow &notRunRow(NotRunReason Reason) {
  return NotRunTable[static_cast<std::size_t>(Reason)];
}

/// The HTTP status of the outcome Unknown.
inline constexpr std::int32_t UnknownHttpStatus = 502;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_OUTCOME_TABLE_H
