#ifndef FILBERTSPRING_DOMAIN_HEARTBEAT_H
#define FILBERTSPRING_DOMAIN_HEARTBEAT_H

/// \file
/// The row that an entry instance rewrites to show that it is alive.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/endpoint.h"

#include <cstdint>

namespace filbertspring {

/// The stored fields of a heartbeat. Observers measure its age on their own
/// clock from the last change of the row's version, never from a time in the
/// row.
struct HeartbeatRecord {
  InstanceName Instance_;
  ZoneName Zone_;
  std::int64_t Sequence_ = 0;
  /// Set while the instance drains; it then releases its racks and shares.
  bool Leaving_ = false;
  Address Http_;
  Address Peer_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_HEARTBEAT_H
