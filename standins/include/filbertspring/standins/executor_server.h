#ifndef FILBERTSPRING_STANDINS_EXECUTOR_SERVER_H
#define FILBERTSPRING_STANDINS_EXECUTOR_SERVER_H

/// \file
/// A stand-in for an executor: simulates each request by a wait for a random
/// service time, and injects faults into its answers.
///
/// POST /run runs a request. GET /runs counts the runs of each request
/// ({"runs":{"ID":N}}), GET /stats counts all. POST /leave marks it leaving in
/// the platform's list and refuses new requests. POST /control takes
/// {"slow_factor":F,"leaving":bool,"hang":bool,"truncate_next":N,
/// "foreign_next":N,"late_next_ms":N}; members that are absent keep their
/// values.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace filbertspring {

/// Settings of an executor.
struct ExecutorSettings {
  /// Entry in the platform's instance list. listen() sets the address.
  ListedInstance Listing_;
  /// Platform to register at; without a value the executor does not register.
  std::optional<Address> Platform_;
  /// Mean of the exponentially distributed service time.
  Duration MeanServiceTime_{};
  /// Requests that may wait for a slot.
  std::size_t QueueLength_ = 0;
  std::uint64_t Seed_ = 0;
};

/// Serves requests on one thread, the one that calls run().
class ExecutorServer {
public:
  explicit ExecutorServer(ExecutorSettings Settings);
  ~ExecutorServer();
  ExecutorServer(const ExecutorServer &) = delete;
  ExecutorServer &operator=(const ExecutorServer &) = delete;

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

#endif // FILBERTSPRING_STANDINS_EXECUTOR_SERVER_H
