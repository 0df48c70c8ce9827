#ifndef FILBERTSPRING_NODE_WORKER_CALLS_H
#define FILBERTSPRING_NODE_WORKER_CALLS_H

/// \file
/// Carries out the scheduler's actions at the workers.

#include "filbertspring/base/counters.h"
#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/transport/async_http_client.h"

#include <functional>
#include <memory>

namespace filbertspring::node {

/// Calls workers on behalf of one tenure and reports the outcomes to its
/// scheduler. Outcomes that arrive after the object's end are dropped.
class WorkerCalls {
public:
  /// \p OutcomeReported is called after each outcome.
  WorkerCalls(EventLoop &Loop, CounterRegistry &Counters,
              scheduling::Scheduler &Scheduler, std::uint64_t OwnerToken,
              std::function<void()> OutcomeReported);
  ~WorkerCalls();
  WorkerCalls(const WorkerCalls &) = delete;
  WorkerCalls &operator=(const WorkerCalls &) = delete;

  void execute(const scheduling::Action &Requested);

private:
  void renew(const scheduling::RenewLease &Renewal);
  void start(const scheduling::StartTask &Start);
  void stop(const scheduling::StopTask &Stop);
  void pace(const scheduling::PaceTask &Pace);

  CounterRegistry &Counters_;
  scheduling::Scheduler &Scheduler_;
  std::uint64_t OwnerToken_;
  std::function<void()> OutcomeReported_;
  /// Renewals wait at the worker and must not block orders.
  AsyncHttpClient RenewalClient_;
  AsyncHttpClient CommandClient_;
  std::shared_ptr<bool> IsAlive_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CALLS_H
