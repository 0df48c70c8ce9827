#ifndef FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H
#define FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H

/// \file
/// The state of a router and the steps of its decisions.

#include "endpoint_choice.h"
#include "endpoint_table.h"
#include "filbertspring/routing/router.h"
#include "flow.h"
#include "request.h"
#include "timers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertspring::routing {

struct Router::Impl {
  Impl(RouterConfig Config, std::uint64_t Seed);

  void handle(const RoutingEvent &Event);
  void runTimers();

  // Contracts and limits (router_contracts.cpp).
  void on(const ContractsChanged &Event);
  void on(const ShareChanged &Event);
  void adopt(const Contract &Terms);
  void adoptService(const std::shared_ptr<routing::ContractState> &State,
                    const ServiceTerms &Terms);
  std::vector<routing::Flow *> retireFlows();
  void giveUpQueued(routing::Flow &Member);
  void forgetIdleFlows();
  void applyLimits(routing::Flow &Member);

  // Admission (router_admission.cpp).
  void on(const RequestArrived &Event);
  std::optional<NotRunReason> refusal(const RequestArrived &Event,
                                      TimePoint Deadline);
  std::optional<NotRunReason> overload(routing::Flow &Member,
                                       TimePoint Deadline);
  Duration retryAfter(NotRunReason Reason, routing::Flow *Member);
  routing::Flow *findFlow(const ContractName &Contract,
                          const ServiceName &Service);

  // Sending (router_dispatch.cpp).
  void enqueue(routing::Request &Item);
  void dequeue(routing::Request &Item);
  void watchQueued(std::uint64_t Ticket);
  void dispatch(const ServiceName &Service);
  void shedLate(const routing::FairQueue &Queue);
  void dispatchAll();
  bool trySend(routing::Request &Item, Duration Patience);
  void send(routing::Request &Item, routing::EndpointId Id);
  Duration patience(const routing::Request &Item) const;
  Duration timeoutFor(const routing::Request &Item) const;
  void armHedge(const routing::Request &Item, AttemptNumber Number);
  void overdue(routing::Request &Item, AttemptNumber Number);
  void hedge(routing::Request &Item, AttemptNumber Number, bool Late);

  // Ends of attempts and answers (router_outcomes.cpp).
  void on(const AttemptEnded &Event);
  void on(const CallerDisconnected &Event);
  void settle(routing::Request &Item);
  bool mayRetry(routing::Request &Item);
  void giveUp(routing::Request &Item, NotRunReason Reason);
  void answer(routing::Request &Item, const AnswerCaller &Answer);
  void cancelOthers(routing::Request &Item);
  void finishIfOver(routing::Request &Item);
  void release(routing::Request &Item);
  void deadlineDue(routing::Request &Item);
  void answerDue(routing::Request &Item);

  // Endpoints.
  void on(const EndpointsListed &Event);
  void on(const PeerEndpointReports &Event);
  void on(const ZoneChanged &Event);
  void on(const DrainStarted &Event);
  void on(const Tick &Event);

  routing::Request *find(std::uint64_t Ticket);

  RouterConfig Config_;
  routing::TimerQueue Timers_;
  routing::EndpointTable Endpoints_;
  routing::EndpointChooser Chooser_;
  std::unordered_map<std::uint64_t, routing::Request> Requests_;
  std::map<ContractName, std::shared_ptr<routing::ContractState>> Contracts_;
  std::map<ContractName, std::int32_t> Shares_;
  std::map<std::pair<ContractName, ServiceName>, std::shared_ptr<routing::Flow>>
      Flows_;
  std::map<ServiceName, routing::FairQueue> Queues_;
  std::size_t Queued_ = 0;
  std::size_t InFlight_ = 0;
  bool Draining_ = false;

  /// The present event's time and output.
  TimePoint Now_;
  std::vector<RoutingAction> *Out_ = nullptr;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H
