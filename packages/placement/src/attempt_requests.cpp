#include "attempt_requests.h"

namespace filbertspring::placement {

void requestEviction(SchedulerCore &Core, const EvictRequested &Event) {
  TrackedAttempt *Tracked = Core.findAttempt(Event.Attempt_);
  if (Tracked == nullptr || Tracked->Stop_ != StopMode::None)
    return;
  Tracked->Stop_ = StopMode::WithCheckpoint;
  Tracked->StopReason_ = Event.Reason_;
  if (WorkerState *Worker = Core.findWorker(Tracked->Worker_))
    Core.scheduleExchangeNow(*Worker);
}

void requestThrottle(SchedulerCore &Core, const ThrottleRequested &Event) {
  TrackedAttempt *Tracked = Core.findAttempt(Event.Attempt_);
  if (Tracked == nullptr)
    return;
  Tracked->Throttle_ = Event.Fraction_;
  if (WorkerState *Worker = Core.findWorker(Tracked->Worker_))
    Core.scheduleExchangeNow(*Worker);
}

} // namespace filbertspring::placement
