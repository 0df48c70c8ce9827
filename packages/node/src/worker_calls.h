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
  /// \p Changed is called after each outcome.
  WorkerCalls(EventLoop &Loop, CounterRegistry &Counters,
              scheduling::Scheduler &Target, std::uint64_t OwnerToken,
              std::function<void()> Changed);
  ~WorkerCalls();
  WorkerCalls(const WorkerCalls &) = delete;
  WorkerCalls &operator=(const WorkerCalls &) = delete;

  void carryOut(const scheduling::Action &Decided);

private:
  void renew(const scheduling::RenewLease &Renewal);
  void start(const scheduling::StartTask &Start);
  void stop(const scheduling::StopTask &Stop);
  void pace(const scheduling::PaceTask &Pace);

  CounterRegistry &Counters_;
  scheduling::Scheduler &Target_;
  std::uint64_t OwnerToken_;
  std::function<void()> Changed_;
  /// Renewals wait at the worker and must not block orders.
  AsyncHttpClient Renewals_;
  AsyncHttpClient Orders_;
  std::shared_ptr<bool> IsAlive_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CALLS_H
