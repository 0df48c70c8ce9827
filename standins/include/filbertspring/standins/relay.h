#ifndef FILBERTSPRING_STANDINS_RELAY_H
#define FILBERTSPRING_STANDINS_RELAY_H

/// \file
/// A TCP relay that can simulate network faults on its connections.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace filbertspring {

/// How a relay treats its connections.
enum class RelayMode {
  Pass,
  /// Open connections forward no more bytes and are never closed; new ones
  /// work.
  Silent,
  /// No connection, open or new, forwards bytes or is ever closed.
  Blackhole,
  /// Open connections are closed; new ones are closed on accept.
  Refuse
};

inline constexpr EnumTable<RelayMode, 4> RelayModeNames{
    {{RelayMode::Pass, "pass"},
     {RelayMode::Silent, "silent"},
     {RelayMode::Blackhole, "blackhole"},
     {RelayMode::Refuse, "refuse"}}};

/// Forwards bytes between callers and one address, on one thread. A connection
/// that became silent stays silent in every later mode except Refuse.
class Relay {
public:
  explicit Relay(const Address &Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Listens on 127.0.0.1 and returns the port; 0 picks a free one. Errors:
  /// those of the operating system.
  Result<std::uint16_t> listen(std::uint16_t Port);
  /// Sets the mode, and the delay of each forwarded chunk. Thread-safe.
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
