#ifndef FILBERTSPRING_STANDINS_PLATFORM_SERVER_H
#define FILBERTSPRING_STANDINS_PLATFORM_SERVER_H

/// \file
/// A stand-in for the platform: its table, object store and instance list over
/// HTTP, with the faults of the real service. docs/PROTOCOLS.md describes the
/// calls.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <memory>

namespace filbertspring {

/// Keeps everything in memory. It does not interpret row values.
class PlatformServer {
public:
  /// Makes a platform whose instance list shows changes after \p ListLag.
  explicit PlatformServer(Duration ListLag);
  ~PlatformServer();
  PlatformServer(const PlatformServer &) = delete;
  PlatformServer &operator=(const PlatformServer &) = delete;

  /// Listens on 127.0.0.1 and returns the port; 0 picks a free one. Errors:
  /// those of the operating system.
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

#endif // FILBERTSPRING_STANDINS_PLATFORM_SERVER_H
