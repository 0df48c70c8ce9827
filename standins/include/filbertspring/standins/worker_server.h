#ifndef FILBERTSPRING_STANDINS_WORKER_SERVER_H
#define FILBERTSPRING_STANDINS_WORKER_SERVER_H

/// \file
/// A stand-in for a worker: a WorkerModel in real time, over HTTP.
///
/// POST /commands and GET /report implement the worker protocol. GET /runs
/// returns when each attempt ran, in microseconds of the machine's monotonic
/// clock:
/// {"runs":[{"job","index","attempt","boot","from_us","until_us"|null}]}.
/// POST /control takes {"fail_all":bool,"restart":bool,"pause_ms":N,
/// "measure":{"service","p99_us","load"}}. While paused, the worker
/// delays its answers; its clock and tasks continue.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/standins/worker_model.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace filbertspring {

/// Settings of a served worker.
struct WorkerServerSettings {
  /// Entry in the platform's instance list. listen() sets the address.
  ListedInstance Listing_;
  /// Platform to register at; without a value the worker does not register.
  std::optional<Address> Platform_;
  Duration ReportLag_{};
};

/// Serves one worker on one thread.
class WorkerServer {
public:
  explicit WorkerServer(WorkerServerSettings Settings);
  ~WorkerServer();
  WorkerServer(const WorkerServer &) = delete;
  WorkerServer &operator=(const WorkerServer &) = delete;

  /// Listens on 127.0.0.1, registers and returns the port; 0 picks a free one.
  /// Errors: those of the operating system; Unavailable when the platform does
  /// not answer.
  Result<std::uint16_t> listen(std::uint16_t Port);
  /// Makes run() return at SIGTERM or SIGINT.
  void stopOnSignal();
  /// Serves on the calling thread until stop().
  void run();
  /// Ends run(). Thread-safe.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_WORKER_SERVER_H
