#include "filbertspring/routing/router.h"

#include "router_impl.h"

#include <utility>

namespace filbertspring::routing {

using routing::Timer;
using routing::TimerKind;

Router::Router(RouterConfig Config, std::uint64_t Seed)
    : Impl_(std::make_unique<Impl>(std::move(Config), Seed)) {}
Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

void Router::handle(const RoutingEvent &Event, TimePoint Now,
                    std::vector<RoutingAction> &Out) {
  Impl_->Now_ = Now;
  Impl_->Out_ = &Out;
  Impl_->handle(Event);
  Impl_->runTimers();
  Impl_->Out_ = nullptr;
}

std::optional<TimePoint> Router::nextWake() const {
  return Impl_->Timers_.nextDue();
}

std::vector<PeerEndpointReport> Router::endpointReports(TimePoint Now,
                                                        Duration MaxAge) const {
  return Impl_->Endpoints_.reports(Now, MaxAge);
}

RouterCounts Router::counts() const {
  return {Impl_->Queued_, Impl_->InFlight_, Impl_->Endpoints_.openCount()};
}

Router::Impl::Impl(RouterConfig Config, std::uint64_t Seed)
    : Config_(std::move(Config)), Endpoints_(Config_, Timers_),
      Chooser_(Config_, Endpoints_, Seed) {}

void Router::Impl::handle(const RoutingEvent &Event) {
  std::visit([&](const auto &Known) { on(Known); }, Event);
}

void Router::Impl::runTimers() {
  while (std::optional<Timer> Due = Timers_.take(Now_)) {
    if (Due->Kind_ == TimerKind::Reopen || Due->Kind_ == TimerKind::Probation) {
      auto Id = static_cast<routing::EndpointId>(Due->Id_);
      Endpoints_.timerDue(*Due, Now_);
      dispatch(Endpoints_.at(Id).Service_);
      continue;
    }
    routing::Request *Item = find(Due->Id_);
    if (!Item)
      continue;
    switch (Due->Kind_) {
    case TimerKind::Hedge:
      hedge(*Item, Due->Attempt_, false);
      break;
    case TimerKind::Overdue:
      overdue(*Item, Due->Attempt_);
      break;
    case TimerKind::Spill:
      dispatch(Item->Flow_->Terms_.Name_);
      watchQueued(Due->Id_);
      break;
    case TimerKind::Deadline:
      deadlineDue(*Item);
      break;
    case TimerKind::Answer:
      answerDue(*Item);
      break;
    case TimerKind::Release:
      release(*Item);
      break;
    case TimerKind::Reopen:
    case TimerKind::Probation:
      break;
    }
  }
}

void Router::Impl::on(const EndpointsListed &Event) {
  Endpoints_.list(Event.Instances_, Now_);
  dispatchAll();
}

void Router::Impl::on(const PeerEndpointReports &Event) {
  for (const PeerEndpointReport &Report : Event.Reports_)
    Endpoints_.peerReport(Report, Now_);
  dispatchAll();
}

void Router::Impl::on(const ZoneChanged &Event) {
  Endpoints_.setZone(Event.Zone_, Event.InService_, Now_);
  dispatchAll();
}

void Router::Impl::on(const DrainStarted & /*Event*/) { Draining_ = true; }

void Router::Impl::on(const Tick & /*Event*/) {}

routing::Request *Router::Impl::find(std::uint64_t Ticket) {
  auto Found = Requests_.find(Ticket);
  return Found == Requests_.end() ? nullptr : &Found->second;
}

} // namespace filbertspring::routing
