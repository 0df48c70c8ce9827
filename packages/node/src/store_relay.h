#ifndef FILBERTSPRING_NODE_STORE_RELAY_H
#define FILBERTSPRING_NODE_STORE_RELAY_H

/// \file
/// Calls of the store that one instance makes for another.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/transport/http_message.h"

#include <string_view>

namespace filbertspring::node {

/// The path of relayed calls on an instance's address for peers.
inline constexpr std::string_view RelayPath = "/relay";

/// A call of the store to be made for another instance.
struct RelayedCall {
  HttpRequest Request_;
  /// How long the store may take.
  Duration Timeout_{};
};

/// Returns the request by which an instance asks another to make \p Call.
HttpRequest encodeRelayedCall(const RelayedCall &Call);
/// Reads what encodeRelayedCall() returns; Errc::InvalidInput otherwise.
Result<RelayedCall> decodeRelayedCall(const HttpRequest &Request);

/// Returns the answer to the asking instance: the store's own, or that there
/// was none and whether the call may have arrived.
HttpAnswer encodeRelayedAnswer(const Result<HttpAnswer> &Answer);
/// Reads what encodeRelayedAnswer() returns: the store's answer,
/// Errc::ConnectFailed if it surely did not get the call, or
/// Errc::OutcomeUnknown.
Result<HttpAnswer> decodeRelayedAnswer(HttpAnswer Answer);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_RELAY_H
