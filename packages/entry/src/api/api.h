#ifndef FILBERTSPRING_ENTRY_API_API_H
#define FILBERTSPRING_ENTRY_API_API_H

/// \file
/// The HTTP interface of an entry instance.

#include "../desks/burn_desk.h"
#include "../desks/demand_meter.h"
#include "../desks/placement_desk.h"
#include "../desks/route_desk.h"
#include "../desks/table_desk.h"
#include "../desks/ticket_desk.h"
#include "../process_name.h"
#include "../snapshot.h"

#include "filbertspring/base/counters.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/transport/http_message.h"

#include <atomic>

namespace filbertspring {

/// What the handlers of all calls use. Every member is thread-safe.
struct ApiContext {
  const Settings &Values_;
  NameMaker &Names_;
  TableDesk &Table_;
  RouteDesk &Routes_;
  TicketDesk &Tickets_;
  PlacementDesk &Placement_;
  BurnDesk &Burn_;
  DemandMeter &Demand_;
  SnapshotBoard &Board_;
  CounterRegistry &Counters_;
  /// Set from the start of a drain: readiness is gone.
  std::atomic<bool> &Leaving_;
  /// Set when new requests are refused: waiting calls end.
  std::atomic<bool> &Draining_;
};

/// Answers one call of any kind.
HttpAnswer answerCall(ApiContext &Context, const HttpRequest &Request);

/// Returns true when the instance should receive callers.
bool isReady(const ApiContext &Context);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_API_H
