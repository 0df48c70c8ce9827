#ifndef FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H
#define FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H

/// \file
/// Calls to entry instances, with the rules for trying the next one.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"

#include <string>
#include <vector>

namespace filbertspring::ctl_detail {

/// What a call does at the entry instance.
enum class CallKind {
  /// Changes nothing; may be repeated at will.
  Read,
  /// Must not be repeated once it may have been received.
  Write
};

/// The method of a call.
enum class HttpMethod { Get, Put, Post };

/// One call.
struct Call {
  CallKind Kind_ = CallKind::Read;
  HttpMethod Method_ = HttpMethod::Get;
  std::string Path_;
  std::string Body_;
};

/// The answer to a call.
struct Reply {
  int Status_ = 0;
  std::string Body_;
  /// The entry instance that answered.
  Address From_;
};

/// Sends calls to the first entry instance that takes them.
class EntryClient {
public:
  /// \p Timeout bounds the connecting and each wait for an answer.
  EntryClient(std::vector<Address> Entries, Duration Timeout)
      : Entries_(std::move(Entries)), Timeout_(Timeout) {}

  const std::vector<Address> &entries() const { return Entries_; }

  /// Sends \p Request to the instances in their order until one takes it. A
  /// read goes on after any failure and after status 503; a write only when
  /// the failed try surely changed nothing. Errors: Unavailable when no
  /// instance took it and nothing was changed; OutcomeUnknown when a write
  /// was sent and not answered.
  Result<Reply> send(const Call &Request) const;

  /// Sends \p Request to one instance. Errors: as for send().
  Result<Reply> sendTo(const Address &Entry, const Call &Request) const;

private:
  std::vector<Address> Entries_;
  Duration Timeout_;
};

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_ENTRY_CLIENT_H
