#ifndef FILBERTSPRING_NODE_WORKER_CHANNEL_H
#define FILBERTSPRING_NODE_WORKER_CHANNEL_H

/// \file
/// Sends the owner's calls to workers, directly or through other instances.

#include "filbertspring/base/counters.h"
#include "filbertspring/transport/async_http_client.h"
#include "relay_clock.h"
#include "worker_call_batch.h"
#include "worker_connections.h"
#include "worker_routes.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertspring::node {

/// Whether a call may wait until later ones are relayed with it.
enum class CallUrgency { AtOnce, MayWait };

/// Makes calls on behalf of one tenure. A relayed call ends like a direct one:
/// with the worker's answer, or with an error that states whether the worker
/// may have received it. Callbacks are dropped with the channel. Not
/// thread-safe.
class WorkerChannel {
public:
  /// \p OwnAddress is the address for answers of relays.
  WorkerChannel(EventLoop &Loop, CounterRegistry &Counters,
                std::string OwnAddress, std::uint64_t OwnerToken);
  ~WorkerChannel();
  WorkerChannel(const WorkerChannel &) = delete;
  WorkerChannel &operator=(const WorkerChannel &) = delete;

  WorkerRoutes &routes() { return Routes_; }
  /// Sends \p Request to the worker at \p Address. The sending limit holds for
  /// whichever instance writes the request to the worker's connection; it is on
  /// the clock of this one.
  void send(const std::string &Address, const HttpRequest &Request,
            const CallLimits &Limits, HttpCallback Callback,
            CallUrgency Urgency = CallUrgency::AtOnce);
  /// Sends the calls that wait to be relayed, except those that may wait
  /// longer. To be called after each group of calls and regularly.
  void flush();
  /// Handles answers that \p Batch brings for this tenure.
  void handleAnswers(WorkerAnswerBatch Batch);

private:
  /// A relayed call without an answer.
  struct PendingCall {
    std::string Relay_;
    /// The address of the worker.
    std::string Address_;
    TimePoint SentAt_{};
    LoopTime Deadline_{};
    CallLimits Limits_;
    HttpCallback Callback_;
  };
  /// Calls that are sent to a relay together. Their sending limits are on the
  /// clock of this instance.
  struct Outbox {
    std::vector<RelayedWorkerCall> Calls_;
    std::size_t Bytes_ = 0;
    bool IsUrgent_ = false;
    /// When the last batch was sent to the relay.
    TimePoint SentAt_{};
  };

  void sendDetoured(const std::string &Address, const HttpRequest &Request,
                    const CallLimits &Limits, HttpCallback Callback);
  void sendRelayed(const std::string &Relay, const std::string &Address,
                   const HttpRequest &Request, const CallLimits &Limits,
                   HttpCallback Callback, CallUrgency Urgency);
  /// Sends the calls of \p Waiting to \p Relay.
  void sendBatch(const std::string &Relay, Outbox &Waiting, TimePoint Now);
  void handleBatchResult(const std::string &Relay, TimePoint SentAt,
                         const std::vector<RelayedWorkerCall> &Calls,
                         const Result<HttpAnswer> &Answer);
  void noteClock(const std::string &Relay, const HttpAnswer &Answer);
  void handleAnswersInBody(const std::string &Relay, TimePoint SentAt,
                           std::string_view Body);
  /// Makes a call directly that its relay certainly did not make.
  void redirect(const RelayedWorkerCall &Call);
  void noteFailure(const std::string &Relay, TimePoint SentAt);
  void expireCalls();

  EventLoop &Loop_;
  CounterRegistry &Counters_;
  std::string OwnAddress_;
  std::uint64_t OwnerToken_;
  WorkerRoutes Routes_;
  WorkerConnections Workers_;
  AsyncHttpClient RelayClient_;
  std::map<std::string, Outbox> Outboxes_;
  std::map<std::string, RelayClock> RelayClocks_;
  std::unordered_map<std::uint64_t, PendingCall> Pending_;
  std::uint64_t LastId_ = 0;
  /// Set to false by the destructor; callbacks check it before they use this
  /// object.
  std::shared_ptr<bool> IsAlive_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CHANNEL_H
