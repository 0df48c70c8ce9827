#ifndef FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H
#define FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H

/// \file
/// A pool of HTTP connections to endpoints. An exchange is one request and its
/// complete answer.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/http_message.h"

#include <cstddef>
#include <memory>

namespace filbertspring {

/// How an exchange ended.
enum class ExchangeOutcome {
  /// The complete answer to this request arrived.
  Answered,
  /// The connection could not be established; no byte was sent.
  ConnectFailed,
  /// The request may have reached the endpoint, but no complete answer arrived.
  Lost,
  /// The answer does not repeat the request id, or its headers do not delimit
  /// its body.
  RequestIdMismatch
};

inline constexpr EnumTable<ExchangeOutcome, 4> ExchangeOutcomeNames{
    {{ExchangeOutcome::Answered, "answered"},
     {ExchangeOutcome::ConnectFailed, "connect-failed"},
     {ExchangeOutcome::Lost, "lost"},
     {ExchangeOutcome::RequestIdMismatch, "foreign"}}};

/// The result of an exchange.
struct ExchangeResult {
  ExchangeOutcome Outcome_ = ExchangeOutcome::Lost;
  /// Set for ExchangeOutcome::Answered.
  HttpAnswer Answer_;
};

/// Options of one exchange.
struct ExchangeOptions {
  /// The id that the request carries in its x-request-id header; the answer
  /// must repeat it.
  RequestId Request_;
  /// Maximum duration of the exchange, including the connection setup.
  Duration Timeout_{};
  /// Opens a new connection instead of reusing an idle one.
  bool ForceNewConnection_ = false;
};

/// Keeps persistent connections to endpoints. Thread-safe; an exchange blocks
/// the calling thread. A connection carries one exchange at a time and is
/// closed unless the exchange ended with a complete answer to its request.
class ExchangePool {
public:
  /// Keeps at most \p MaxIdle idle connections to each endpoint, each for at
  /// most \p IdleTimeout.
  ExchangePool(std::size_t MaxIdle, Duration IdleTimeout);
  ~ExchangePool();
  ExchangePool(const ExchangePool &) = delete;
  ExchangePool &operator=(const ExchangePool &) = delete;

  /// Sends \p Request to \p Target and waits for the complete answer.
  ExchangeResult exchange(const Address &Target, const HttpRequest &Request,
                          const ExchangeOptions &Options);

  /// Closes the idle connections to \p Target at once, and those in use when
  /// their exchange ends. Later exchanges open new connections.
  void dropConnections(const Address &Target);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H
