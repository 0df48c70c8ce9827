#ifndef FILBERTSPRING_ENTRY_ENTRY_H
#define FILBERTSPRING_ENTRY_ENTRY_H

/// \file
/// One entry instance: all of its threads and the rings between them.

#include "filbertspring/base/result.h"
#include "filbertspring/config/settings.h"

#include <cstdint>
#include <memory>

namespace filbertspring {

/// An entry instance in this process.
class Entry {
public:
  explicit Entry(Settings Values);
  /// Stops without draining when drain() was not called.
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Starts all threads. It is ready once it has read its configuration.
  /// Errors: ConnectFailed when an address cannot be bound.
  Status start();

  /// Returns the port on which callers are served; valid after start().
  std::uint16_t httpPort() const;

  /// Takes readiness away, lets the requests in flight end, gives racks and
  /// shares up, and stops. Blocks for at most about the drain limit. Returns
  /// false when requests were still in flight at that limit.
  bool drain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_ENTRY_H
