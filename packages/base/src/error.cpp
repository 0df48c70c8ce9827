#include "filbertspring/base/error.h"

#include "filbertspring/base/enum_table.h"

#include <string>

namespace filbertspring {
namespace {

constexpr EnumTable<Errc, 30> Messages{{
    {Errc::Ok, "success"},
    {Errc::InvalidInput, "invalid input"},
    {Errc::InvalidJson, "invalid JSON"},
    {Errc::FileUnreadable, "file cannot be read"},
    {Errc::CapacityExceeded, "capacity of the worker would be exceeded"},
    {Errc::UnknownWorker, "worker does not exist"},
    {Errc::UnknownTask, "task does not exist"},
    {Errc::StaleAttempt, "attempt is not the current one"},
    {Errc::InvalidTransition, "state does not allow this transition"},
    {Errc::ZoneOutOfService, "availability zone is out of service"},
    {Errc::QuotaExceeded, "quota of the contract would be exceeded"},
    {Errc::VersionConflict, "stored version is not the expected one"},
    {Errc::Duplicate, "already exists"},
    {Errc::NotFound, "not found"},
    {Errc::QueueFull, "queue is full"},
    {Errc::LimitExceeded, "limit of the contract is reached"},
    {Errc::DeadlineExceeded, "deadline has passed"},
    {Errc::NoEndpoint, "no endpoint can take the request"},
    {Errc::Draining, "process is draining"},
    {Errc::NotReady, "process is not ready"},
    {Errc::ConnectFailed, "connection could not be opened"},
    {Errc::ConnectionLost, "connection was lost"},
    {Errc::Timeout, "timed out"},
    {Errc::TruncatedMessage, "message is truncated"},
    {Errc::RequestIdMismatch, "message belongs to another request"},
    {Errc::MessageTooLarge, "message is too large"},
    {Errc::ProtocolViolation, "message violates the protocol"},
    {Errc::Unavailable, "service is unavailable"},
    {Errc::OutcomeUnknown, "outcome of the operation is unknown"},
    {Errc::Refused, "operation was refused"},
}};

class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "filbertspring"; }
  std::string message(int Code) const override {
    return std::string(nameOf(Messages, static_cast<Errc>(Code)));
  }
};

} // namespace

const std::error_category &errorCategory() noexcept {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(Errc Code) noexcept { // NOLINT
  return {static_cast<int>(Code), errorCategory()};
}

} // namespace filbertspring
