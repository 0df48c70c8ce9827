#ifndef FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H
#define FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H

/// \file
/// The stored keys that make a non-idempotent request run at most once.

#include "../desks/table_desk.h"
#include "../process_name.h"

#include "filbertspring/domain/request_key.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/transport/http_message.h"

#include <string>
#include <variant>

namespace filbertspring {

/// The key is held: the request may be sent, once.
struct KeyHeld {
  RowVersion Version_ = AbsentVersion;
  RequestKeyRecord Record_;
};
/// The request ran before; this is its stored answer.
struct KeyCompleted {
  RequestKeyRecord Record_;
};
/// The request may have run before, or may be running.
struct KeyUnsettled {};
/// The key belongs to a request with another body.
struct KeyOfOther {};
/// The table did not take the key; the request must not be sent.
struct KeyUnavailable {};

using KeyClaim = std::variant<KeyHeld, KeyCompleted, KeyUnsettled, KeyOfOther,
                              KeyUnavailable>;

/// Stores \p Wanted before its request is sent. A lost answer of the table is
/// settled by reading the row: only a row that this call wrote counts as held.
KeyClaim claimKey(TableDesk &Table, NameMaker &Names,
                  const RequestKeyRecord &Wanted);

/// Marks a held key as completed with \p Answer. When the table does not take
/// it, repeats are told that the outcome is unknown.
void completeKey(TableDesk &Table, NameMaker &Names, const KeyHeld &Held,
                 const HttpAnswer &Answer);

/// Marks a held key as not run, so that a repeat may run.
void releaseKey(TableDesk &Table, NameMaker &Names, const KeyHeld &Held);

/// Returns the digest by which bodies of repeats are compared.
std::string bodyDigest(const std::string &Body);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_REQUEST_KEYS_H
