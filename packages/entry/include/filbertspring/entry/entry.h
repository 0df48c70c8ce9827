#ifndef FILBERTSPRING_ENTRY_ENTRY_H
#define FILBERTSPRING_ENTRY_ENTRY_H

/// \file
/// One entry instance: all of its threads and the queues between them.

#include "filbertspring/base/result.h"
#include "filbertspring/config/settings.h"

#include <cstdint>
#include <memory>

namespace filbertspring {

/// An entry instance in this process.
class Entry {
public:
  explicit Entry(Settings Values);
  /// Stops without draining if drain() was not called.
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Starts all threads. The instance becomes ready when it has read its
  /// configuration. Errors: ConnectFailed if an address cannot be bound.
  Status start();

  /// Returns the port on which callers are served; valid after start().
  std::uint16_t httpPort() const;

  /// Withdraws readiness, waits for the requests in flight, releases racks and
  /// shares, and stops. Blocks for little more than the drain limit at most.
  /// Returns false if requests were still in flight at that limit.
  bool drain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_ENTRY_H
