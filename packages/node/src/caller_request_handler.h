#ifndef FILBERTSPRING_NODE_CALLER_REQUEST_HANDLER_H
#define FILBERTSPRING_NODE_CALLER_REQUEST_HANDLER_H

/// \file
/// Requests of callers: submission, state and cancellation of jobs, and the
/// length of a queue.

#include "cell_directory.h"
#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/transport/async_http_server.h"
#include "job_cache.h"
#include "store_client.h"

#include <memory>
#include <string>

namespace filbertspring::node {

/// Answers callers from the store. Each instance does so, whoever owns the
/// cell: a submission is one conditional insert, so a repeat at any instance
/// is the same job.
class CallerRequestHandler {
public:
  /// \p Accepted is called with the row of each newly accepted job.
  CallerRequestHandler(EventLoop &Loop, StoreClient &Store,
                       CellDirectory &Cells, CounterRegistry &Counters,
                       std::function<void(const scheduling::Row &)> Accepted);

  void configure(std::shared_ptr<const scheduling::QueueTable> Queues);
  /// Takes one request and answers it once.
  void handle(HttpRequest Request, HttpResponder Respond);

private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void route(const ExchangePtr &CallerExchange);
  void submitJob(const ExchangePtr &CallerExchange);
  void insertJob(const ExchangePtr &CallerExchange,
                 const scheduling::RowTransaction &Insert);
  void answerJobState(const ExchangePtr &CallerExchange);
  void cancelJob(const ExchangePtr &CallerExchange);
  void insertCancellation(const ExchangePtr &CallerExchange,
                          std::uint64_t Version);
  void answerPendingCount(const ExchangePtr &CallerExchange);
  using AcceptanceCallback = std::function<void(const scheduling::Row *)>;
  /// Reads the acceptance; answers itself if the store does not.
  void readAcceptance(const ExchangePtr &CallerExchange,
                      AcceptanceCallback Callback);
  /// The time that is left for store calls on behalf of the caller.
  Duration timeLeft(const Exchange &CallerExchange) const;

  EventLoop &Loop_;
  StoreClient &Store_;
  CellDirectory &Cell_;
  CounterRegistry &Counters_;
  std::function<void(const scheduling::Row &)> RowStored_;
  JobCache FinalStates_;
  std::shared_ptr<const scheduling::QueueTable> Queues_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CALLER_REQUEST_HANDLER_H
