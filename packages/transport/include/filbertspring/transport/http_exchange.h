#ifndef FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H
#define FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H

/// \file
/// Exchanges of one request and its whole answer with an endpoint, over
/// connections that are kept and reused.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/transport/http_message.h"

#include <cstddef>
#include <memory>

namespace filbertspring {

/// What became of an exchange.
enum class ExchangeOutcome {
  /// The whole answer to this request arrived.
  Answered,
  /// No connection; no byte was sent.
  ConnectFailed,
  /// The request may have reached the endpoint; no whole answer came.
  Lost,
  /// An answer came that does not belong to the request or has no end.
  Foreign
};

inline constexpr EnumTable<ExchangeOutcome, 4> ExchangeOutcomeNames{
    {{ExchangeOutcome::Answered, "answered"},
     {ExchangeOutcome::ConnectFailed, "connect-failed"},
     {ExchangeOutcome::Lost, "lost"},
     {ExchangeOutcome::Foreign, "foreign"}}};

/// The result of an exchange.
struct ExchangeResult {
  ExchangeOutcome Outcome_ = ExchangeOutcome::Lost;
  /// Set when answered.
  HttpAnswer Answer_;
};

/// What an exchange needs beside its request.
struct ExchangeOptions {
  /// The header that names the request; the answer must repeat its value.
  RequestId Request_;
  /// The whole exchange ends within this time, connecting included.
  Duration Timeout_{};
  /// Open a new connection instead of reusing an idle one.
  bool Fresh_ = false;
};

/// Keeps the connections to endpoints. Thread-safe; an exchange blocks its
/// thread. A connection carries one exchange at a time and is closed after any
/// that did not end with a whole answer of its own.
class ExchangePool {
public:
  /// Keeps at most \p MaxIdle connections to each endpoint, each unused for at
  /// most \p IdleLimit.
  ExchangePool(std::size_t MaxIdle, Duration IdleLimit);
  ~ExchangePool();
  ExchangePool(const ExchangePool &) = delete;
  ExchangePool &operator=(const ExchangePool &) = delete;

  /// Sends \p Request to \p Target and waits for the whole answer.
  ExchangeResult exchange(const Address &Target, const HttpRequest &Request,
                          const ExchangeOptions &Options);

  /// Closes the idle connections to \p Target, and those in use when their
  /// exchange ends. New ones may be opened at once.
  void dropConnections(const Address &Target);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_EXCHANGE_H
