#ifndef FILBERTSPRING_STANDINS_RELAY_H
#define FILBERTSPRING_STANDINS_RELAY_H

/// \file
/// A TCP relay that can lose track of its connections.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace filbertspring {

/// What a relay does with connections.
enum class RelayMode {
  Pass,
  /// Those that are open pass nothing any more and are never closed; new ones
  /// pass.
  Silent,
  /// All, also new ones, pass nothing and are never closed.
  Blackhole,
  /// All are closed, new ones at once.
  Refuse
};

inline constexpr EnumTable<RelayMode, 4> RelayModeNames{
    {{RelayMode::Pass, "pass"},
     {RelayMode::Silent, "silent"},
     {RelayMode::Blackhole, "blackhole"},
     {RelayMode::Refuse, "refuse"}}};

/// Passes bytes between callers and one address, on one thread. A connection
/// that went silent stays so in every later mode but Refuse.
class Relay {
public:
  explicit Relay(const Address &Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Listens on 127.0.0.1 and returns the port; 0 picks a free one. Errors:
  /// those of the operating system.
  Result<std::uint16_t> listen(std::uint16_t Port);
  /// Sets the mode, and the delay of each part that passes. Thread-safe.
  void setMode(RelayMode Mode, Duration Delay);
  /// Serves on the calling thread until stop().
  void run();
  /// Ends run(). Thread-safe.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_RELAY_H
