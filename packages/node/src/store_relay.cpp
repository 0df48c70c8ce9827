#include "store_relay.h"

#include <charconv>
#include <string>

namespace filbertspring::node {
namespace {

/// Headers that describe the call to be made. The path and method of the
/// request itself are those of the relay.
constexpr const char *MethodHeader = "Relay-Method";
constexpr const char *PathHeader = "Relay-Path";
constexpr const char *TimeoutHeader = "Relay-Timeout-Ms";
/// Present in the answer if the store did not answer. Its value is one of the
/// two below.
constexpr const char *FailureHeader = "Relay-Failure";
constexpr std::string_view NotSent = "not-sent";
constexpr std::string_view Unknown = "unknown";

} // namespace

HttpRequest encodeRelayedCall(const RelayedCall &Call) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = RelayPath;
  auto Milliseconds = Call.Timeout_ / std::chrono::milliseconds(1);
  Request.Headers_ = {{MethodHeader, Call.Request_.Method_},
                      {PathHeader, Call.Request_.Path_},
                      {TimeoutHeader, std::to_string(Milliseconds)}};
  Request.Body_ = Call.Request_.Body_;
  return Request;
}

Result<RelayedCall> decodeRelayedCall(const HttpRequest &Request) {
  RelayedCall Call;
  Call.Request_.Method_ = Request.header(MethodHeader);
  Call.Request_.Path_ = Request.header(PathHeader);
  Call.Request_.Body_ = Request.Body_;
  std::string_view Timeout = Request.header(TimeoutHeader);
  std::int64_t Milliseconds = 0;
  auto [End, Error] = std::from_chars(
      Timeout.data(), Timeout.data() + Timeout.size(), Milliseconds);
  if (Error != std::errc() || Milliseconds <= 0 ||
      Call.Request_.Method_.empty() || !Call.Request_.Path_.starts_with('/'))
    return fail(Errc::InvalidInput);
  Call.Timeout_ = std::chrono::milliseconds(Milliseconds);
  return Call;
}

HttpAnswer encodeRelayedAnswer(const Result<HttpAnswer> &Answer) {
  if (Answer) {
    HttpAnswer StoreAnswer;
    StoreAnswer.Status_ = Answer->Status_;
    StoreAnswer.Body_ = Answer->Body_;
    return StoreAnswer;
  }
  HttpAnswer Failure;
  Failure.Status_ = 502;
  bool IsNotSent = Answer.error() == Errc::ConnectFailed;
  Failure.Headers_.push_back(
      {FailureHeader, std::string(IsNotSent ? NotSent : Unknown)});
  return Failure;
}

Result<HttpAnswer> decodeRelayedAnswer(HttpAnswer Answer) {
  std::string_view Failure = Answer.header(FailureHeader);
  if (Failure == NotSent)
    return fail(Errc::ConnectFailed);
  if (!Failure.empty())
    return fail(Errc::OutcomeUnknown);
  return Answer;
}

} // namespace filbertspring::node
