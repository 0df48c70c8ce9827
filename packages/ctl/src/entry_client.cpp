#include "entry_client.h"

#include <httplib.h>
#include <optional>

namespace filbertspring::ctl_detail {
namespace {

constexpr const char *JsonType = "application/json";
constexpr int ServiceUnavailable = 503;

httplib::Result perform(httplib::Client &Client, const EntryRequest &Request) {
  switch (Request.Method_) {
  case HttpMethod::Put:
    return Client.Put(Request.Path_, Request.Body_, JsonType);
  case HttpMethod::Post:
    return Client.Post(Request.Path_, Request.Body_, JsonType);
  case HttpMethod::Get:
    break;
  }
  return Client.Get(Request.Path_);
}

/// Returns true when \p Error occurred before any byte of the request was
/// sent.
bool failedBeforeSending(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout;
}

} // namespace

Result<EntryResponse> EntryClient::sendTo(const Address &Entry,
                                          const EntryRequest &Request) const {
  try {
    httplib::Client Client(Entry.Host_, Entry.Port_);
    Client.set_connection_timeout(Timeout_);
    Client.set_read_timeout(Timeout_);
    Client.set_write_timeout(Timeout_);
    httplib::Result Answer = perform(Client, Request);
    if (Answer)
      return EntryResponse{Answer->status, Answer->body, Entry};
    bool Unchanged = Request.Kind_ == RequestKind::Read ||
                     failedBeforeSending(Answer.error());
    return fail(Unchanged ? Errc::Unavailable : Errc::OutcomeUnknown);
  } catch (const std::exception &) {
    return fail(Request.Kind_ == RequestKind::Read ? Errc::Unavailable
                                                   : Errc::OutcomeUnknown);
  }
}

Result<EntryResponse> EntryClient::send(const EntryRequest &Request) const {
  std::optional<EntryResponse> LastUnavailable;
  for (const Address &Entry : Entries_) {
    Result<EntryResponse> Answer = sendTo(Entry, Request);
    if (!Answer && Answer.error() == Errc::Unavailable)
      continue;
    // Status 503 guarantees that the instance changed nothing.
    if (!Answer || Answer->Status_ != ServiceUnavailable)
      return Answer;
    LastUnavailable = std::move(*Answer);
  }
  if (LastUnavailable)
    return std::move(*LastUnavailable);
  return fail(Errc::Unavailable);
}

} // namespace filbertspring::ctl_detail
