#ifndef FILBERTSPRING_ENTRY_API_API_H
#define FILBERTSPRING_ENTRY_API_API_H

/// \file
/// The HTTP interface of an entry instance.

#include "../process_name.h"
#include "../snapshot.h"
#include "../threads/burn_recorder.h"
#include "../threads/demand_meter.h"
#include "../threads/pending_request_table.h"
#include "../threads/router_thread.h"
#include "../threads/scheduler_thread.h"
#include "../threads/table_client_pool.h"

#include "filbertspring/base/counters.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/transport/http_message.h"

#include <atomic>

namespace filbertspring {

/// The components that the handlers of calls use. Every member is thread-safe.
struct ApiContext {
  const Settings &Settings_;
  UniqueNameGenerator &Names_;
  TableClientPool &Table_;
  RouterThread &Routing_;
  PendingRequestTable &PendingRequests_;
  SchedulerThread &Placement_;
  BurnRecorder &BurnRecorder_;
  DemandMeter &Demand_;
  SnapshotPublisher &Snapshots_;
  CounterRegistry &Counters_;
  /// Set at the start of a drain, when readiness is withdrawn.
  std::atomic<bool> &DrainStarted_;
  /// Set when a drain begins to refuse new work. Calls that wait then end.
  std::atomic<bool> &RefusesNewWork_;
};

/// Answers one HTTP call.
HttpAnswer answerCall(ApiContext &Context, const HttpRequest &Request);

/// Returns true if the instance should receive calls from the load balancer.
bool isReady(const ApiContext &Context);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_API_H
