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
  return {Impl_->Queued_, Impl_->InFlight_, Impl_->Endpoints_.usableCount()};
}

Router::Impl::Impl(RouterConfig Config, std::uint64_t Seed)
    : Config_(std::move(Config)), Endpoints_(Config_, Timers_),
      Chooser_(Config_, Endpoints_, Seed) {}

void Router::Impl::handle(const RoutingEvent &Event) {
  std::visit([&](const auto &Alternative) { on(Alternative); }, Event);
}

void Router::Impl::runTimers() {
  while (std::optional<Timer> Due = Timers_.popDue(Now_)) {
    if (Due->Kind_ == TimerKind::CapacityCheck ||
        Due->Kind_ == TimerKind::Probation) {
      auto Id = static_cast<routing::EndpointId>(Due->Id_);
      Endpoints_.handleTimer(*Due, Now_);
      dispatch(Endpoints_.at(Id).Service_);
      continue;
    }
    routing::Request *Req = find(Due->Id_);
    if (!Req)
      continue;
    switch (Due->Kind_) {
    case TimerKind::Hedge:
      sendHedge(*Req, Due->Attempt_, false);
      break;
    case TimerKind::Overdue:
      handleOverdue(*Req, Due->Attempt_);
      break;
    case TimerKind::Spill:
      dispatch(Req->Flow_->Terms_.Name_);
      scheduleSpill(Due->Id_);
      break;
    case TimerKind::Deadline:
      handleDeadline(*Req);
      break;
    case TimerKind::AnswerTimeout:
      handleAnswerTimeout(*Req);
      break;
    case TimerKind::Release:
      release(*Req);
      break;
    case TimerKind::CapacityCheck:
    case TimerKind::Probation:
      break;
    }
  }
}

void Router::Impl::on(const EndpointsListed &Event) {
  Endpoints_.applyList(Event.Instances_, Now_);
  dispatchAll();
}

void Router::Impl::on(const PeerEndpointReports &Event) {
  for (const PeerEndpointReport &Report : Event.Reports_)
    Endpoints_.applyPeerReport(Report, Now_);
  dispatchAll();
}

void Router::Impl::on(const ZoneChanged &Event) {
  Endpoints_.setZone(Event.Zone_, Event.InService_, Now_);
  dispatchAll();
}

void Router::Impl::on(const DrainStarted & /*Event*/) { Draining_ = true; }

void Router::Impl::on(const Tick & /*Event*/) {}

routing::Request *Router::Impl::find(std::uint64_t Ticket) {
  auto It = Requests_.find(Ticket);
  return It == Requests_.end() ? nullptr : &It->second;
}

} // namespace filbertspring::routing
