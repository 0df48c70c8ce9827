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
  std::vector<ContractName> Ended;
  for (const auto &[Name, State] : Contracts_)
    if (!InForce.contains(Name))
      Ended.push_back(Name);
  for (const ContractName &Name : Ended) {
    retire(Name, {}, NotRunReason::UnknownContract);
    Contracts_[Name]->InForce_ = false;
    Contracts_.erase(Name);
  }
  for (const Contract &Terms : Event.Contracts_)
    adopt(Terms);
  dispatchAll();
}

void Router::Impl::on(const ShareChanged &Event) {
  Shares_[Event.Contract_] = std::clamp(Event.Permille_, 0, 1000);
  auto Found = Contracts_.find(Event.Contract_);
  if (Found == Contracts_.end())
    return;
  Found->second->Permille_ = Shares_[Event.Contract_];
  for (const ServiceTerms &Terms : Found->second->Terms_.Services_) {
    applyLimits(*Flows_[{Event.Contract_, Terms.Name_}]);
    dispatch(Terms.Name_);
  }
}

void Router::Impl::adopt(const Contract &Terms) {
  std::shared_ptr<ContractState> &State = Contracts_[Terms.Name_];
  if (!State) {
    State = std::make_shared<ContractState>(
        ContractState{{}, 0, RetryBudget(Config_.Retry_), true});
    State->Permille_ = Shares_[Terms.Name_];
  }
  State->Terms_ = Terms;
  std::set<ServiceName> Kept;
  for (const ServiceTerms &Service : Terms.Services_) {
    Kept.insert(Service.Name_);
    adoptService(State, Service);
  }
  retire(Terms.Name_, Kept, NotRunReason::UnknownService);
}

void Router::Impl::adoptService(const std::shared_ptr<ContractState> &State,
                                const ServiceTerms &Terms) {
  std::shared_ptr<Flow> &Member = Flows_[{State->Terms_.Name_, Terms.Name_}];
  if (!Member) {
    Member = std::make_shared<Flow>(
        Flow{State, Terms, routing::RateLimiter(Config_.BurstTime_)});
    Queues_[Terms.Name_].add(Member);
  }
  Member->Terms_ = Terms;
  applyLimits(*Member);
}

void Router::Impl::retire(const ContractName &Name,
                          const std::set<ServiceName> &Kept,
                          NotRunReason Reason) {
  auto Next = Flows_.lower_bound({Name, ServiceName()});
  while (Next != Flows_.end() && Next->first.first == Name) {
    if (Kept.contains(Next->first.second)) {
      ++Next;
      continue;
    }
    std::shared_ptr<Flow> Member = Next->second;
    Next = Flows_.erase(Next);
    Queues_[Member->Terms_.Name_].remove(Member.get());
    std::vector<std::uint64_t> Tickets;
    for (const auto &[Deadline, Ticket] : Member->Waiting_)
      Tickets.push_back(Ticket);
    for (const auto &[Deadline, Ticket] : Member->Retrying_)
      Tickets.push_back(Ticket);
    for (std::uint64_t Ticket : Tickets)
      giveUp(*find(Ticket), Reason);
  }
}

void Router::Impl::applyLimits(Flow &Member) {
  std::int32_t Permille = Member.Contract_->Permille_;
  Member.Rate_.configure(Member.Terms_.RatePerSecond_, Permille, Now_);
  Member.Limit_ = routing::scaleDown(Member.Terms_.Concurrency_, Permille);
}

} // namespace filbertspring::routing
