#ifndef FILBERTSPRING_PLATFORM_INSTANCE_LIST_CLIENT_H
#define FILBERTSPRING_PLATFORM_INSTANCE_LIST_CLIENT_H

/// \file
/// A client of the platform's instance list, which lags behind the state of
/// the instances.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/platform/instance_codec.h"

#include <memory>

namespace filbertspring {

/// Reads the list over one connection, which is kept open between calls and
/// replaced after any failure. Used by one thread at a time; each call blocks
/// for at most the timeout.
class InstanceListClient {
public:
  /// Creates a client that connects on its first call. \p Zone is the
  /// availability zone of the caller.
  InstanceListClient(const Address &Platform, const ZoneName &Zone,
                     Duration Timeout);
  ~InstanceListClient();
  InstanceListClient(InstanceListClient &&) noexcept;
  InstanceListClient &operator=(InstanceListClient &&) noexcept;

  /// Returns the list. Errors: ConnectFailed; Timeout; ConnectionLost;
  /// Unavailable; InvalidJson.
  Result<InstanceList> read();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_INSTANCE_LIST_CLIENT_H
