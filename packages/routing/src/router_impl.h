#ifndef FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H
#define FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H

/// \file
/// The private implementation of Router.

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
  void applyContract(const Contract &Terms);
  void applyServiceTerms(const std::shared_ptr<routing::ContractState> &State,
                         const ServiceTerms &Terms);
  std::vector<routing::Flow *> deactivateFlows();
  void failQueued(routing::Flow &ServiceFlow);
  void eraseIdleFlows();
  void applyLimits(routing::Flow &ServiceFlow);

  // Admission (router_admission.cpp).
  void on(const RequestArrived &Event);
  std::optional<NotRunReason> refusalReason(const RequestArrived &Event,
                                            TimePoint Deadline);
  std::optional<NotRunReason> overloadReason(routing::Flow &ServiceFlow,
                                             TimePoint Deadline);
  Duration retryAfter(NotRunReason Reason, routing::Flow *ServiceFlow);
  routing::Flow *findFlow(const ContractName &Contract,
                          const ServiceName &Service);

  // Queueing and sending (router_dispatch.cpp).
  void enqueue(routing::Request &Req);
  void dequeue(routing::Request &Req);
  void scheduleSpill(std::uint64_t Ticket);
  void dispatch(const ServiceName &Service);
  void shedLateRequests(const routing::FairQueue &Queue);
  void dispatchAll();
  bool trySend(routing::Request &Req, Duration Patience);
  void send(routing::Request &Req, routing::EndpointId Id);
  Duration maxExtraLatency(const routing::Request &Req) const;
  Duration timeoutFor(const routing::Request &Req) const;
  void scheduleHedge(const routing::Request &Req, AttemptNumber Number);
  void handleOverdue(routing::Request &Req, AttemptNumber Number);
  void sendHedge(routing::Request &Req, AttemptNumber Number, bool Overdue);

  // Results of attempts, and answers to callers (router_outcomes.cpp).
  void on(const AttemptEnded &Event);
  void on(const CallerDisconnected &Event);
  void retryOrAnswer(routing::Request &Req);
  bool mayRetry(routing::Request &Req);
  void failRequest(routing::Request &Req, NotRunReason Reason);
  void answer(routing::Request &Req, const AnswerCaller &Answer);
  void cancelActiveAttempts(routing::Request &Req);
  void releaseIfFinished(routing::Request &Req);
  void release(routing::Request &Req);
  void handleDeadline(routing::Request &Req);
  void handleAnswerTimeout(routing::Request &Req);

  // Endpoints, draining and timers (router.cpp).
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

  /// Time and output of the event that is being handled.
  TimePoint Now_;
  std::vector<RoutingAction> *Out_ = nullptr;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ROUTER_IMPL_H
