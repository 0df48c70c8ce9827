#ifndef FILBERTSPRING_DOMAIN_REQUEST_KEY_H
#define FILBERTSPRING_DOMAIN_REQUEST_KEY_H

/// \file
/// The stored record of a non-idempotent request, by its idempotency key.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"

#include <cstdint>
#include <string>

namespace filbertspring {

/// Progress of a non-idempotent request.
enum class RequestKeyState {
  /// The request may have run: the record is written before the request is
  /// sent.
  Started,
  /// The request ran, and its answer is stored.
  Completed,
  /// The request is known not to have run; a repeat may take over the key.
  NotRun
};

inline constexpr EnumTable<RequestKeyState, 3> RequestKeyStateNames{
    {{RequestKeyState::Started, "started"},
     {RequestKeyState::Completed, "completed"},
     {RequestKeyState::NotRun, "not-run"}}};

/// The stored fields of one idempotency key of one contract.
struct RequestKeyRecord {
  ContractName Contract_;
  IdempotencyKey Key_;
  RequestKeyState State_ = RequestKeyState::Started;
  /// The request that wrote the key, and the instance that sent it.
  RequestId Request_;
  InstanceName Instance_;
  /// Digest of the request body; a repeat with another body is refused.
  std::string BodyDigest_;
  /// The stored answer of a completed request.
  std::int32_t AnswerStatus_ = 0;
  std::string AnswerBody_;
  /// Time of day when the record was written, in milliseconds since 1970.
  std::int64_t WrittenMs_ = 0;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_REQUEST_KEY_H
