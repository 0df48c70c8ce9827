#ifndef FILBERTSPRING_BASE_ERROR_H
#define FILBERTSPRING_BASE_ERROR_H

/// \file
/// The error codes of all packages.

#include <system_error>

namespace filbertspring {

/// All errors that public functions return. Message texts are in error.cpp.
enum class Errc {
  Ok = 0,
  // Input.
  InvalidInput,
  InvalidJson,
  FileUnreadable,
  // Domain rules.
  CapacityExceeded,
  UnknownWorker,
  UnknownTask,
  StaleAttempt,
  InvalidTransition,
  ZoneOutOfService,
  QuotaExceeded,
  VersionConflict,
  Duplicate,
  NotFound,
  // Requests.
  QueueFull,
  LimitExceeded,
  DeadlineExceeded,
  NoEndpoint,
  Draining,
  NotReady,
  // Input and output.
  ConnectFailed,
  ConnectionLost,
  Timeout,
  TruncatedMessage,
  RequestIdMismatch,
  MessageTooLarge,
  ProtocolViolation,
  Unavailable,
  OutcomeUnknown,
  Refused,
};

/// Returns the category of Errc. The object lives as long as the program.
const std::error_category &errorCategory() noexcept;

/// Makes a std::error_code of \p Code; found by argument-dependent lookup.
std::error_code make_error_code(Errc Code) noexcept; // NOLINT

} // namespace filbertspring

template <>
struct std::is_error_code_enum<filbertspring::Errc> : std::true_type {};

#endif // FILBERTSPRING_BASE_ERROR_H
