#include "router_impl.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing {

using routing::ContractState;
using routing::Flow;
using routing::RetryBudget;

void Router::Impl::on(const ContractsChanged &Event) {
  std::set<ContractName> InForce;
  for (const Contract &Terms : Event.Contracts_)
    InForce.insert(Terms.Name_);
  std::erase_if(Contracts_, [&](const auto &Entry) {
    return !InForce.contains(Entry.first);
  });
  for (const Contract &Terms : Event.Contracts_)
    applyContract(Terms);
  // All flows receive their new terms before the first action, so that nothing
  // is sent under old terms.
  std::vector<Flow *> Deactivated = deactivateFlows();
  for (Flow *ServiceFlow : Deactivated)
    failQueued(*ServiceFlow);
  eraseIdleFlows();
  dispatchAll();
}

void Router::Impl::on(const ShareChanged &Event) {
  Shares_[Event.Contract_] = std::clamp(Event.Permille_, 0, 1000);
  auto State = Contracts_.find(Event.Contract_);
  if (State != Contracts_.end())
    State->second->Permille_ = Shares_[Event.Contract_];
  // Includes flows that are no longer in force but still hold permits: when the
  // instance gives up a share, their saved tokens must be discarded as well.
  auto It = Flows_.lower_bound({Event.Contract_, ServiceName()});
  for (; It != Flows_.end() && It->first.first == Event.Contract_; ++It) {
    It->second->Contract_->Permille_ = Shares_[Event.Contract_];
    applyLimits(*It->second);
  }
  dispatchAll();
}

void Router::Impl::applyContract(const Contract &Terms) {
  std::shared_ptr<ContractState> &State = Contracts_[Terms.Name_];
  if (!State) {
    State = std::make_shared<ContractState>(
        ContractState{{}, 0, RetryBudget(Config_.Retry_)});
    State->Permille_ = Shares_[Terms.Name_];
  }
  State->Terms_ = Terms;
  for (const ServiceTerms &Service : Terms.Services_)
    applyServiceTerms(State, Service);
}

void Router::Impl::applyServiceTerms(
    const std::shared_ptr<ContractState> &State, const ServiceTerms &Terms) {
  std::shared_ptr<Flow> &ServiceFlow =
      Flows_[{State->Terms_.Name_, Terms.Name_}];
  if (!ServiceFlow) {
    ServiceFlow = std::make_shared<Flow>(
        Flow{State, Terms, routing::RateLimiter(Config_.BurstTime_)});
    Queues_[Terms.Name_].add(ServiceFlow);
  }
  ServiceFlow->Contract_ = State;
  ServiceFlow->Terms_ = Terms;
  ServiceFlow->InForce_ = true;
  applyLimits(*ServiceFlow);
}

std::vector<Flow *> Router::Impl::deactivateFlows() {
  std::vector<Flow *> Deactivated;
  for (const auto &[Key, ServiceFlow] : Flows_) {
    auto State = Contracts_.find(Key.first);
    bool InForce = State != Contracts_.end() &&
                   State->second->Terms_.findService(Key.second);
    if (ServiceFlow->InForce_ && !InForce)
      Deactivated.push_back(ServiceFlow.get());
    ServiceFlow->InForce_ = InForce;
  }
  return Deactivated;
}

void Router::Impl::failQueued(Flow &ServiceFlow) {
  NotRunReason Reason = Contracts_.contains(ServiceFlow.Contract_->Terms_.Name_)
                            ? NotRunReason::UnknownService
                            : NotRunReason::UnknownContract;
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Deadline, Ticket] : ServiceFlow.Waiting_)
    Tickets.push_back(Ticket);
  for (const auto &[Deadline, Ticket] : ServiceFlow.Retrying_)
    Tickets.push_back(Ticket);
  for (std::uint64_t Ticket : Tickets)
    failRequest(*find(Ticket), Reason);
}

void Router::Impl::eraseIdleFlows() {
  std::erase_if(Flows_, [&](const auto &Entry) {
    Flow &ServiceFlow = *Entry.second;
    bool Idle = ServiceFlow.PermitsInUse_ == 0 && ServiceFlow.queued() == 0;
    if (ServiceFlow.InForce_ || !Idle)
      return false;
    Queues_[ServiceFlow.Terms_.Name_].remove(&ServiceFlow);
    return true;
  });
}

void Router::Impl::applyLimits(Flow &ServiceFlow) {
  std::int32_t Permille = ServiceFlow.Contract_->Permille_;
  ServiceFlow.RateLimiter_.configure(ServiceFlow.Terms_.RatePerSecond_,
                                     Permille, Now_);
  ServiceFlow.ConcurrencyLimit_ =
      routing::scaleDown(ServiceFlow.Terms_.Concurrency_, Permille);
}

} // namespace filbertspring::routing
