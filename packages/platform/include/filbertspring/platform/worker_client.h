#ifndef FILBERTSPRING_PLATFORM_WORKER_CLIENT_H
#define FILBERTSPRING_PLATFORM_WORKER_CLIENT_H

/// \file
/// A client of one worker.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/worker_protocol.h"

#include <memory>

namespace filbertspring {

/// Sends commands over one connection, which is kept open between calls and
/// replaced after any failure. Used by one thread at a time; each call blocks
/// for at most the timeout.
class WorkerClient {
public:
  /// Creates a client that connects on its first call. \p Zone is the
  /// availability zone of the caller.
  WorkerClient(const Address &Worker, const ZoneName &Zone, Duration Timeout);
  ~WorkerClient();
  WorkerClient(WorkerClient &&) noexcept;
  WorkerClient &operator=(WorkerClient &&) noexcept;

  /// Sends \p Commands once and returns the answer. Errors: ConnectFailed and
  /// InvalidInput (not encodable) when the worker certainly did not receive
  /// them; OutcomeUnknown otherwise.
  Result<WorkerAnswer> send(const WorkerCommands &Commands);

  /// Returns the worker's report. Errors: ConnectFailed; OutcomeUnknown when
  /// no complete answer was received.
  Result<WorkerReport> report();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_WORKER_CLIENT_H
