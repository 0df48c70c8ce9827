#ifndef FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H
#define FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H

/// \file
/// Stored idempotency keys, with which a non-idempotent request runs at most
/// once.

#include "../process_name.h"
#include "../threads/table_client_pool.h"

#include "filbertspring/domain/request_key.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/transport/http_message.h"

#include <string>
#include <variant>

namespace filbertspring {

/// This call owns the key: the request may be sent once.
struct KeyAcquired {
  RowVersion Version_ = AbsentVersion;
  RequestKeyRecord Record_;
};
/// The request ran before. The record holds its answer.
struct KeyCompleted {
  RequestKeyRecord Record_;
};
/// The request may have run before or may still be running.
struct KeyOutcomeUnknown {};
/// The key belongs to a request with a different body.
struct KeyBodyMismatch {};
/// The table did not confirm that it stored the key. The request must not be
/// sent.
struct KeyUnavailable {};

using KeyClaim = std::variant<KeyAcquired, KeyCompleted, KeyOutcomeUnknown,
                              KeyBodyMismatch, KeyUnavailable>;

/// Stores \p Wanted before its request is sent. If the answer of the table is
/// lost, the row is read back: the key is acquired only if this call wrote the
/// row.
KeyClaim claimKey(TableClientPool &Table, UniqueNameGenerator &Names,
                  const RequestKeyRecord &Wanted);

/// Marks an acquired key as completed with \p Answer. If this cannot be stored,
/// repeated requests get the outcome "unknown".
void completeKey(TableClientPool &Table, UniqueNameGenerator &Names,
                 const KeyAcquired &Acquired, const HttpAnswer &Answer);

/// Marks an acquired key as not run, so that a repeated request may run.
void releaseKey(TableClientPool &Table, UniqueNameGenerator &Names,
                const KeyAcquired &Acquired);

/// Returns the digest with which the bodies of repeated requests are compared.
std::string bodyDigest(const std::string &Body);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H
