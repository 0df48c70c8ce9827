#ifndef FILBERTSPRING_NODE_CALLER_ANSWERS_H
#define FILBERTSPRING_NODE_CALLER_ANSWERS_H

/// \file
/// Answers to callers' requests, and the queue that a request is addressed to.

#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/transport/http_message.h"

#include <string>
#include <string_view>
#include <utility>

namespace filbertspring::node {

/// The Retry-After value if the store refused a call or did not answer. The
/// shortest outages have ended by then.
inline constexpr const char *StoreRetryAfterSeconds = "1";

inline HttpAnswer makeAnswer(int Status) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  return Answer;
}

inline HttpAnswer makeAnswer(int Status, std::string Body) {
  HttpAnswer Answer = makeAnswer(Status);
  Answer.Body_ = std::move(Body);
  return Answer;
}

/// Returns the answer to a request that was not carried out and may be retried.
inline HttpAnswer makeUnavailableAnswer() {
  HttpAnswer Answer = makeAnswer(503);
  Answer.Headers_.push_back({"Retry-After", StoreRetryAfterSeconds});
  return Answer;
}

/// Returns the queue to which the request of \p Head is addressed, or null.
inline const scheduling::Queue *findQueue(const scheduling::QueueTable &Queues,
                                          const HttpRequest &Head) {
  std::string_view Host = Head.header("Host");
  return Queues.match(Host.substr(0, Host.find(':')), Head.Path_);
}

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CALLER_ANSWERS_H
