#ifndef FILBERTSPRING_NODE_CALLERS_H
#define FILBERTSPRING_NODE_CALLERS_H

/// \file
/// Requests of callers: submission, state and cancellation of jobs, and the
/// length of a queue.

#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/transport/async_http_server.h"
#include "store_client.h"

#include <memory>
#include <string>

namespace filbertspring::node {

/// Answers callers from the store. Each instance does so, whoever owns the
/// cell: a submission is one conditional insert, so a repeat at any instance
/// is the same job.
class Callers {
public:
  Callers(EventLoop &Loop, StoreClient &Store, CounterRegistry &Counters);

  void configure(std::shared_ptr<const scheduling::QueueTable> Queues);
  /// Takes one request and answers it once.
  void handle(HttpRequest Request, HttpResponder Respond);

private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void route(const ExchangePtr &Of);
  void submit(const ExchangePtr &Of);
  void insert(const ExchangePtr &Of, scheduling::RowTransaction Insert);
  void readState(const ExchangePtr &Of);
  void readAcceptance(const ExchangePtr &Of);
  void cancel(const ExchangePtr &Of);
  void storeCancel(const ExchangePtr &Of, std::uint64_t Version);
  void readCounts(const ExchangePtr &Of);
  /// The time that is left for store calls on behalf of the caller.
  Duration timeLeft(const Exchange &Of) const;

  EventLoop &Loop_;
  StoreClient &Store_;
  CounterRegistry &Counters_;
  std::shared_ptr<const scheduling::QueueTable> Queues_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CALLERS_H
