#ifndef FILBERTSPRING_PLATFORM_TESTS_UNUSED_ADDRESS_H
#define FILBERTSPRING_PLATFORM_TESTS_UNUSED_ADDRESS_H

/// \file
/// An address that refuses connections.

#include "filbertspring/domain/endpoint.h"
#include "filbertspring/standins/platform_server.h"

namespace filbertspring {

/// Returns the address of a port on which nothing listens any more.
inline Address unusedAddress() {
  PlatformServer Closed{Duration::zero()};
  return {"127.0.0.1", Closed.listen(0).value()};
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_UNUSED_ADDRESS_H
