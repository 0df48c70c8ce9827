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
    adopt(Terms);
  // Every flow has its new terms before the first action, so that nothing is
  // sent under old ones.
  std::vector<Flow *> Ended = retireFlows();
  for (Flow *Member : Ended)
    giveUpQueued(*Member);
  forgetIdleFlows();
  dispatchAll();
}

void Router::Impl::on(const ShareChanged &Event) {
  Shares_[Event.Contract_] = std::clamp(Event.Permille_, 0, 1000);
  auto Found = Contracts_.find(Event.Contract_);
  if (Found != Contracts_.end())
    Found->second->Permille_ = Shares_[Event.Contract_];
  // Flows that are no longer in force are kept for their units; a share that
  // was given up takes their tokens away as well.
  auto Next = Flows_.lower_bound({Event.Contract_, ServiceName()});
  for (; Next != Flows_.end() && Next->first.first == Event.Contract_; ++Next) {
    Next->second->Contract_->Permille_ = Shares_[Event.Contract_];
    applyLimits(*Next->second);
  }
  dispatchAll();
}

void Router::Impl::adopt(const Contract &Terms) {
  std::shared_ptr<ContractState> &State = Contracts_[Terms.Name_];
  if (!State) {
    State = std::make_shared<ContractState>(
        ContractState{{}, 0, RetryBudget(Config_.Retry_)});
    State->Permille_ = Shares_[Terms.Name_];
  }
  State->Terms_ = Terms;
  for (const ServiceTerms &Service : Terms.Services_)
    adoptService(State, Service);
}

void Router::Impl::adoptService(const std::shared_ptr<ContractState> &State,
                                const ServiceTerms &Terms) {
  std::shared_ptr<Flow> &Member = Flows_[{State->Terms_.Name_, Terms.Name_}];
  if (!Member) {
    Member = std::make_shared<Flow>(
        Flow{State, Terms, routing::RateLimiter(Config_.BurstTime_)});
    Queues_[Terms.Name_].add(Member);
  }
  Member->Contract_ = State;
  Member->Terms_ = Terms;
  Member->InForce_ = true;
  applyLimits(*Member);
}

std::vector<Flow *> Router::Impl::retireFlows() {
  std::vector<Flow *> Ended;
  for (const auto &[Key, Member] : Flows_) {
    auto State = Contracts_.find(Key.first);
    bool InForce = State != Contracts_.end() &&
                   State->second->Terms_.findService(Key.second);
    if (Member->InForce_ && !InForce)
      Ended.push_back(Member.get());
    Member->InForce_ = InForce;
  }
  return Ended;
}

void Router::Impl::giveUpQueued(Flow &Member) {
  NotRunReason Reason = Contracts_.contains(Member.Contract_->Terms_.Name_)
                            ? NotRunReason::UnknownService
                            : NotRunReason::UnknownContract;
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Deadline, Ticket] : Member.Waiting_)
    Tickets.push_back(Ticket);
  for (const auto &[Deadline, Ticket] : Member.Retrying_)
    Tickets.push_back(Ticket);
  for (std::uint64_t Ticket : Tickets)
    giveUp(*find(Ticket), Reason);
}

void Router::Impl::forgetIdleFlows() {
  std::erase_if(Flows_, [&](const auto &Entry) {
    Flow &Member = *Entry.second;
    bool Idle = Member.InUse_ == 0 && Member.queued() == 0;
    if (Member.InForce_ || !Idle)
      return false;
    Queues_[Member.Terms_.Name_].remove(&Member);
    return true;
  });
}

void Router::Impl::applyLimits(Flow &Member) {
  std::int32_t Permille = Member.Contract_->Permille_;
  Member.Rate_.configure(Member.Terms_.RatePerSecond_, Permille, Now_);
  Member.Limit_ = routing::scaleDown(Member.Terms_.Concurrency_, Permille);
}

} // namespace filbertspring::routing
