#ifndef FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H
#define FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H

/// \file
/// HTTP client for entry instances, with failover to the next instance.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <string>
#include <vector>

namespace filbertspring::ctl_detail {

/// The effect of a request on the state of the system.
enum class RequestKind {
  /// Changes nothing; may be repeated safely.
  Read,
  /// May change state; must not be repeated once it may have been received.
  Write
};

/// The HTTP method of a request.
enum class HttpMethod { Get, Put, Post };

/// A request to an entry instance.
struct EntryRequest {
  RequestKind Kind_ = RequestKind::Read;
  HttpMethod Method_ = HttpMethod::Get;
  std::string Path_;
  std::string Body_;
};

/// The answer of an entry instance to a request.
struct EntryResponse {
  int Status_ = 0;
  std::string Body_;
  /// The entry instance that answered.
  Address Entry_;
};

/// Sends each request to the first entry instance that accepts it.
class EntryClient {
public:
  /// \p Timeout limits the connection setup and each wait for an answer.
  EntryClient(std::vector<Address> Entries, Duration Timeout)
      : Entries_(std::move(Entries)), Timeout_(Timeout) {}

  const std::vector<Address> &entries() const { return Entries_; }

  /// Sends \p Request to the instances in order until one accepts it. A read
  /// is tried at the next instance after any failure and after status 503; a
  /// write only when the failed attempt cannot have changed anything. Errors:
  /// Unavailable when no instance accepted the request and nothing was
  /// changed; OutcomeUnknown when a write was sent and not answered.
  Result<EntryResponse> send(const EntryRequest &Request) const;

  /// Sends \p Request to one instance. Returns the same errors as send().
  Result<EntryResponse> sendTo(const Address &Entry,
                               const EntryRequest &Request) const;

private:
  std::vector<Address> Entries_;
  Duration Timeout_;
};

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H
