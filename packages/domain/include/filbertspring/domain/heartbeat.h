#ifndef FILBERTSPRING_DOMAIN_HEARTBEAT_H
#define FILBERTSPRING_DOMAIN_HEARTBEAT_H

/// \file
/// The row by which an entry instance shows that it is alive.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/endpoint.h"

#include <cstdint>

namespace filbertspring {

/// The stored fields of a heartbeat. Observers time it by the changes of the
/// row's version on their own clock, never by a time in the row.
struct HeartbeatRecord {
  InstanceName Instance_;
  ZoneName Zone_;
  std::int64_t Sequence_ = 0;
  /// Set while it drains: it gives up its racks and shares.
  bool Leaving_ = false;
  Address Http_;
  Address Peer_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_HEARTBEAT_H
