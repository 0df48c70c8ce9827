#ifndef FILBERTSPRING_NODE_WORKER_CALLS_H
#define FILBERTSPRING_NODE_WORKER_CALLS_H

/// \file
/// Sends the scheduler's actions to the workers.

#include "filbertspring/base/counters.h"
#include "filbertspring/scheduling/scheduler.h"
#include "worker_channel.h"

#include <functional>
#include <memory>

namespace filbertspring::node {

/// Calls workers on behalf of one tenure and reports the outcomes to its
/// scheduler. Outcomes that arrive after the destruction of this object are
/// dropped.
class WorkerCalls {
public:
  /// \p OutcomeReported is called after each outcome that was
  /// reported to the scheduler.
  /// \p OwnAddress is the address of this instance for the others.
  WorkerCalls(EventLoop &Loop, CounterRegistry &Counters,
              scheduling::Scheduler &Scheduler, std::string OwnAddress,
              std::uint64_t OwnerToken, std::function<void()> OutcomeReported);
  ~WorkerCalls();
  WorkerCalls(const WorkerCalls &) = delete;
  WorkerCalls &operator=(const WorkerCalls &) = delete;

  /// Makes the call that \p Requested describes, unless its sending limit has
  /// passed when it is to be written to a connection.
  void execute(const scheduling::Action &Requested,
               const scheduling::CommandLimits &Limits);
  WorkerChannel &channel() { return Channel_; }

private:
  void renew(const scheduling::RenewLease &Renewal, TimePoint SendBefore);
  void start(const scheduling::StartTask &Start, TimePoint SendBefore);
  void stop(const scheduling::StopTask &Stop, TimePoint SendBefore);
  void pace(const scheduling::PaceTask &Pace, TimePoint SendBefore);

  CounterRegistry &Counters_;
  scheduling::Scheduler &Scheduler_;
  std::function<void()> OutcomeReported_;
  WorkerChannel Channel_;
  /// Set to false by the destructor; callbacks check it before they use this
  /// object.
  std::shared_ptr<bool> IsAlive_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CALLS_H
