#ifndef FILBERTSPRING_NODE_CALLERS_H
#define FILBERTSPRING_NODE_CALLERS_H

/// \file
/// Handles the HTTP requests of callers: submission, state and cancellation of
/// jobs, and the number of pending jobs of a queue.

#include "caller_access.h"
#include "cell_directory.h"
#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/transport/async_http_server.h"
#include "job_cache.h"
#include "store_client.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace filbertspring::node {

/// Handles callers' requests by reading and writing the store. Every instance
/// serves callers, whichever instance owns the cell: a submission is one
/// conditional insert, so repeating it at any instance yields the same job.
class CallerRequestHandler {
public:
  /// \p RowStored is called with each newly stored row, which holds the
  /// acceptance or the cancellation of a job.
  CallerRequestHandler(EventLoop &Loop, StoreClient &Store, CellDirectory &Cell,
                       CounterRegistry &Counters,
                       std::function<void(const scheduling::Row &)> RowStored);

  void configure(std::shared_ptr<const scheduling::QueueTable> Queues);
  /// Notes that the configuration was the newest one at \p Time.
  void confirmConfiguration(TimePoint Time);
  /// Returns the answer that refuses the request of \p Head, or nothing if its
  /// body has to be received and handled. Examines method, path and headers
  /// alone.
  std::optional<HttpAnswer> refuseEarly(const HttpRequest &Head) const;
  /// Returns the size in force of the largest body.
  std::size_t maxBodyBytes() const;
  /// Handles \p Request and calls \p Respond exactly once.
  void handle(HttpRequest Request, HttpResponder Respond);

private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  /// A cancellation to be stored.
  struct Cancellation {
    scheduling::RowKey Key_;
    /// The version of the job's row, 0 if it is not stored.
    std::uint64_t JobVersion_ = 0;
    /// The answer's status after it was stored.
    int Status_ = 0;
  };

  std::variant<CallerScope, KeyRefusal>
  checkKey(const HttpRequest &Head, const scheduling::Queue &Target) const;
  HttpAnswer refuseKey(const HttpRequest &Head, const scheduling::Queue &Target,
                       KeyRefusal Reason) const;
  void route(const ExchangePtr &CallerExchange);
  void submitJob(const ExchangePtr &CallerExchange);
  /// Answers a submission with 410 whose job cannot be stored; \p Problem says
  /// why.
  void rejectUnstorableJob(const ExchangePtr &CallerExchange,
                           std::string_view Problem);
  void rejectJob(const ExchangePtr &CallerExchange, std::string_view Problem,
                 std::size_t Bytes);
  void insertJob(const ExchangePtr &CallerExchange,
                 const scheduling::RowTransaction &Insert);
  void answerJobState(const ExchangePtr &CallerExchange);
  void cancelJob(const ExchangePtr &CallerExchange);
  void insertCancellation(const ExchangePtr &CallerExchange,
                          const Cancellation &Requested);
  /// Answers with the state of a job that is stored with \p Progress (null if
  /// it has none yet).
  void answerStoredState(const ExchangePtr &CallerExchange,
                         const scheduling::JobProgress *Progress,
                         std::optional<std::string> Workspace);
  /// Passes on a row that was stored by a transaction with \p Outcome.
  void notifyStored(scheduling::Row Stored,
                    const scheduling::CommitResult &Outcome);
  void answerAtDeadline(const ExchangePtr &CallerExchange);
  void answerPendingCount(const ExchangePtr &CallerExchange);
  using AcceptanceCallback = std::function<void(const scheduling::Row *)>;
  /// Reads the row of the accepted job and passes it to \p Callback, or null if
  /// there is none. If the read fails, answers the caller instead.
  void readAcceptance(const ExchangePtr &CallerExchange,
                      AcceptanceCallback Callback);
  /// Returns the time that remains for a store call before the caller's
  /// deadline.
  Duration timeLeft(const Exchange &CallerExchange) const;

  EventLoop &Loop_;
  StoreClient &Store_;
  CellDirectory &Cell_;
  CounterRegistry &Counters_;
  std::function<void(const scheduling::Row &)> RowStored_;
  JobCache JobCache_;
  std::shared_ptr<const scheduling::QueueTable> Queues_;
  WorkspaceKeys Keys_;
  /// The last time at which Queues_ was known to be the newest configuration.
  std::optional<TimePoint> ConfirmedAt_;
  /// Refusing a request does not change how the next one is handled.
  mutable KeyRefusalLog KeyRefusals_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CALLERS_H
