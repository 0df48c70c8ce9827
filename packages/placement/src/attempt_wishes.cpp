#include "attempt_wishes.h"

namespace filbertspring::placement {

void evictAttempt(SchedulerCore &Core, const EvictRequested &Event) {
  HeldAttempt *Held = Core.findHeld(Event.Attempt_);
  if (Held == nullptr || Held->Stop_ != StopWish::None)
    return;
  Held->Stop_ = StopWish::WithCheckpoint;
  Held->StopReason_ = Event.Reason_;
  if (WorkerState *Worker = Core.findWorker(Held->Worker_))
    Core.hurry(*Worker);
}

void throttleAttempt(SchedulerCore &Core, const ThrottleRequested &Event) {
  HeldAttempt *Held = Core.findHeld(Event.Attempt_);
  if (Held == nullptr)
    return;
  Held->Throttle_ = Event.Fraction_;
  if (WorkerState *Worker = Core.findWorker(Held->Worker_))
    Core.hurry(*Worker);
}

} // namespace filbertspring::placement
