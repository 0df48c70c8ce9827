#ifndef FILBERTSPRING_NODE_STORE_RELAY_H
#define FILBERTSPRING_NODE_STORE_RELAY_H

/// \file
/// Encoding of store calls that one instance makes on behalf of another.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/transport/http_message.h"

#include <string_view>

namespace filbertspring::node {

/// The path of relayed calls at the address for other instances.
inline constexpr std::string_view RelayPath = "/relay";

/// A store call to be made on behalf of another instance.
struct RelayedCall {
  HttpRequest Request_;
  /// The timeout of the store call.
  Duration Timeout_{};
};

/// Returns the request to another instance to make \p Call.
HttpRequest encodeRelayedCall(const RelayedCall &Call);
/// Decodes a request encoded by encodeRelayedCall(). Returns Errc::InvalidInput
/// if it has another form.
Result<RelayedCall> decodeRelayedCall(const HttpRequest &Request);

/// Returns the answer to the requesting instance. It holds the store's answer,
/// or states that there was none and whether the store may have received the
/// call.
HttpAnswer encodeRelayedAnswer(const Result<HttpAnswer> &Answer);
/// Decodes an answer encoded by encodeRelayedAnswer(). Returns the store's
/// answer, Errc::ConnectFailed if the store certainly did not receive the call,
/// or Errc::OutcomeUnknown if it may have.
Result<HttpAnswer> decodeRelayedAnswer(HttpAnswer Answer);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_RELAY_H
