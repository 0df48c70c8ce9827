#ifndef FILBERTSPRING_PLATFORM_OBJECT_CLIENT_H
#define FILBERTSPRING_PLATFORM_OBJECT_CLIENT_H

/// \file
/// A client of the platform's object store.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <memory>
#include <string>
#include <string_view>

namespace filbertspring {

/// Reads and writes objects over one connection, which is kept open between
/// calls and replaced after any failure. Used by one thread at a time; each
/// call blocks for at most the timeout.
class ObjectClient {
public:
  /// Creates a client that connects on its first call. \p Zone is the
  /// availability zone of the caller.
  ObjectClient(const Address &Platform, const ZoneName &Zone, Duration Timeout);
  ~ObjectClient();
  ObjectClient(ObjectClient &&) noexcept;
  ObjectClient &operator=(ObjectClient &&) noexcept;

  /// Returns the bytes of the object \p Name. Errors: NotFound;
  /// ConnectFailed; Timeout; ConnectionLost; Unavailable; InvalidInput for a
  /// name that is not made of letters, digits and "-._/".
  Result<std::string> get(std::string_view Name);

  /// Stores \p Bytes as the object \p Name. Idempotent. Errors: ConnectFailed
  /// and Unavailable when the object was certainly not stored; OutcomeUnknown
  /// when it may have been stored; InvalidInput as for get().
  Status put(std::string_view Name, std::string_view Bytes);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_OBJECT_CLIENT_H
