#ifndef FILBERTSPRING_NODE_WORKER_RELAY_H
#define FILBERTSPRING_NODE_WORKER_RELAY_H

/// \file
/// Calls workers on behalf of the cell's owner.

#include "filbertspring/base/counters.h"
#include "filbertspring/transport/async_http_client.h"
#include "filbertspring/transport/async_http_server.h"
#include "worker_call_batch.h"
#include "worker_connections.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::node {

/// Makes the calls of batches that an owner sends, and sends the answers back
/// in batches: with the answer to a batch, which is delayed for that, or in a
/// request of its own if no batch is open. Decides nothing: a call carries the
/// owner's fencing token and a sending limit on the clock of this process, so a
/// call that this process would make late, because it stood still, is not made.
/// Not thread-safe.
class WorkerRelay {
public:
  /// \p Process distinguishes this process from all others.
  WorkerRelay(EventLoop &Loop, CounterRegistry &Counters, std::string Process);

  /// Handles a batch of calls. It is taken as a whole or, if it is malformed or
  /// this instance is stopping or overloaded, not at all.
  void handle(const HttpRequest &Request, const HttpResponder &Respond);
  /// Takes no further batches.
  void stop() { IsStopping_ = true; }
  /// Returns the number of calls without an answer and of answers to be sent.
  std::size_t inFlight() const { return CallsInFlight_ + UnsentAnswers_; }

private:
  /// The answers for one tenure of one owner.
  using Receiver = std::pair<std::string, std::uint64_t>;

  /// Adds the clock of this process to \p Answer.
  void addClock(HttpAnswer &Answer) const;
  void makeCall(const Receiver &Owner, const RelayedWorkerCall &Call);
  void addAnswer(const Receiver &Owner, RelayedWorkerAnswer Answer);
  void requestFlush();
  void flush();
  /// Sends the answers for \p Owner, and keeps what it does not take now.
  void sendAnswers(const Receiver &Owner,
                   std::vector<RelayedWorkerAnswer> &Answers);
  void post(const Receiver &Owner, std::string Body);

  EventLoop &Loop_;
  CounterRegistry &Counters_;
  std::string Process_;
  WorkerConnections Workers_;
  AsyncHttpClient OwnerClient_;
  std::map<Receiver, std::vector<RelayedWorkerAnswer>> Answers_;
  /// The batches that are not answered yet.
  std::map<Receiver, std::vector<HttpResponder>> OpenBatches_;
  /// The requests with answers that the owner has not taken yet.
  std::map<Receiver, std::size_t> OpenPosts_;
  std::size_t CallsInFlight_ = 0;
  std::size_t UnsentAnswers_ = 0;
  bool IsFlushRequested_ = false;
  bool IsStopping_ = false;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_RELAY_H
