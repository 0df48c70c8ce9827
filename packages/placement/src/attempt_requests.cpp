#include "attempt_requests.h"

namespace filbertspring::placement {

void requestEviction(SchedulerCore &Core, const EvictRequested &Event) {
  TrackedAttempt *Held = Core.findAttempt(Event.Attempt_);
  if (Held == nullptr || Held->Stop_ != StopMode::None)
    return;
  Held->Stop_ = StopMode::WithCheckpoint;
  Held->StopReason_ = Event.Reason_;
  if (WorkerState *Worker = Core.findWorker(Held->Worker_))
    Core.scheduleExchangeNow(*Worker);
}

void requestThrottle(SchedulerCore &Core, const ThrottleRequested &Event) {
  TrackedAttempt *Held = Core.findAttempt(Event.Attempt_);
  if (Held == nullptr)
    return;
  Held->Throttle_ = Event.Fraction_;
  if (WorkerState *Worker = Core.findWorker(Held->Worker_))
    Core.scheduleExchangeNow(*Worker);
}

} // namespace filbertspring::placement
