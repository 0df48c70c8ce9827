#include "endpoint_choice.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::routing {
namespace {

/// Draws before a list is taken to hold only endpoints that were tried.
constexpr int MaxDraws = 8;
/// Latency within this factor of the usual one is taken for noise.
constexpr double OutlierFactor = 1.5;
/// Half of what is known of an endpoint's latency is forgotten in this time.
constexpr Duration LatencyHalfLife = std::chrono::seconds(2);

bool wasTried(const ChoiceRequest &Wanted, EndpointId Id) {
  return std::ranges::find(Wanted.Tried_, Id) != Wanted.Tried_.end();
}

} // namespace

EndpointChooser::EndpointChooser(const RouterConfig &Config,
                                 const EndpointTable &Table, std::uint64_t Seed)
    : Config_(Config), Table_(Table), Random_(Seed) {}

std::optional<EndpointId> EndpointChooser::choose(const ChoiceRequest &Wanted,
                                                  TimePoint Now) {
  const ServicePool *Pool = Table_.findPool(Wanted.Service_);
  if (!Pool)
    return std::nullopt;
  if (Wanted.Probe_)
    if (std::optional<EndpointId> Id = onProbation(*Pool, Wanted))
      return Id;
  std::optional<Candidate> Best = bestLocal(*Pool, Wanted, Now);
  double Base = baseExtra(*Pool, Wanted);
  if (!Best || Best->Extra_ > Base) {
    std::optional<Candidate> Remote = bestRemote(*Pool, Wanted, Now);
    if (Remote && (!Best || Remote->Extra_ < Best->Extra_))
      Best = Remote;
  }
  if (!Best && Pool->Healthy_ == 0)
    return onProbation(*Pool, Wanted);
  if (!Best)
    return std::nullopt;
  auto Patience = static_cast<double>(Wanted.Patience_.count());
  if (Best->Extra_ > Base + Patience)
    return std::nullopt;
  return Best->Id_;
}

std::optional<EndpointId>
EndpointChooser::onProbation(const ServicePool &Pool,
                             const ChoiceRequest &Wanted) const {
  for (EndpointId Id : Pool.OnProbation_)
    if (Wanted.Terms_.allowsZone(Table_.at(Id).Zone_) && !wasTried(Wanted, Id))
      return Id;
  return std::nullopt;
}

double EndpointChooser::baseExtra(const ServicePool &Pool,
                                  const ChoiceRequest &Wanted) const {
  auto Local = Pool.Available_.find(Config_.Zone_);
  bool LocalServes = Local != Pool.Available_.end() && Local->second > 0 &&
                     Wanted.Terms_.allowsZone(Config_.Zone_);
  if (LocalServes)
    return 0.0;
  return static_cast<double>(Config_.InterZoneRoundTrip_.count());
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::bestLocal(const ServicePool &Pool, const ChoiceRequest &Wanted,
                           TimePoint Now) {
  auto List = Pool.Open_.find(Config_.Zone_);
  if (List == Pool.Open_.end() || !Wanted.Terms_.allowsZone(Config_.Zone_))
    return std::nullopt;
  return pick(List->second, Pool, Wanted, Now);
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::bestRemote(const ServicePool &Pool,
                            const ChoiceRequest &Wanted, TimePoint Now) {
  auto IsCandidate = [&](const auto &Entry) {
    return Entry.first != Config_.Zone_ &&
           Wanted.Terms_.allowsZone(Entry.first);
  };
  std::size_t Total = 0;
  for (const auto &Entry : Pool.Open_)
    if (IsCandidate(Entry))
      Total += Entry.second.size();
  if (Total == 0)
    return std::nullopt;
  // A zone is drawn with a probability proportional to its open endpoints.
  std::size_t Drawn = below(Total);
  for (const auto &Entry : Pool.Open_) {
    if (!IsCandidate(Entry))
      continue;
    if (Drawn < Entry.second.size())
      return pick(Entry.second, Pool, Wanted, Now);
    Drawn -= Entry.second.size();
  }
  return std::nullopt;
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::pick(const std::vector<EndpointId> &List,
                      const ServicePool &Pool, const ChoiceRequest &Wanted,
                      TimePoint Now) {
  if (List.empty())
    return std::nullopt;
  auto Sampled = [&](const SampledPolicy &Policy) -> std::optional<Candidate> {
    std::optional<Candidate> Best;
    for (std::int32_t Count = 0; Count < Policy.Samples_; ++Count) {
      std::optional<EndpointId> Id = drawRandom(List, Wanted);
      if (!Id)
        continue;
      Candidate Drawn = evaluate(*Id, Pool, Now);
      if (!Best || Drawn.Score_ < Best->Score_)
        Best = Drawn;
    }
    return Best;
  };
  auto Plain = [&](std::optional<EndpointId> Id) -> std::optional<Candidate> {
    if (!Id)
      return std::nullopt;
    bool Remote = Table_.at(*Id).Zone_ != Config_.Zone_;
    auto Delay = static_cast<double>(Config_.InterZoneRoundTrip_.count());
    return Candidate{*Id, Remote ? Delay : 0.0, 0.0};
  };
  return std::visit(Overloaded{Sampled,
                               [&](const RandomPolicy &) {
                                 return Plain(drawRandom(List, Wanted));
                               },
                               [&](const RoundRobinPolicy &) {
                                 return Plain(nextInTurn(List, Wanted));
                               },
                               [&](const LeastInFlightPolicy &) {
                                 return Plain(leastInFlight(List, Wanted));
                               }},
                    Config_.Policy_);
}

EndpointChooser::Candidate EndpointChooser::evaluate(EndpointId Id,
                                                     const ServicePool &Pool,
                                                     TimePoint Now) const {
  const Endpoint &Node = Table_.at(Id);
  bool Remote = Node.Zone_ != Config_.Zone_;
  double Delay = 0.0;
  if (Remote)
    Delay = static_cast<double>(Config_.InterZoneRoundTrip_.count());
  double Usual = std::max(Pool.Latency_.microseconds(), 1.0);
  double Slower = 0.0;
  if (Node.Latency_.known() && Node.AnsweredAt_) {
    double Age = std::chrono::duration<double>(Now - *Node.AnsweredAt_) /
                 std::chrono::duration<double>(LatencyHalfLife);
    double Excess = Node.Latency_.microseconds() - Delay - Usual;
    double Remembered = Excess * std::exp2(-Age);
    if (Remembered > Usual * (OutlierFactor - 1.0))
      Slower = Remembered;
  }
  auto Slots = static_cast<double>(std::max<std::int64_t>(Node.Slots_, 1));
  double Load = static_cast<double>(Node.load()) / Slots;
  double Service = Usual + Slower;
  // Above its slots, each request waits for the ones before it.
  double Queueing = Service * std::max(Load - 1.0 + 1.0 / Slots, 0.0);
  return {Id, Delay + Slower + Queueing, Service * (1.0 + Load) + Queueing};
}

std::optional<EndpointId>
EndpointChooser::drawRandom(const std::vector<EndpointId> &List,
                            const ChoiceRequest &Wanted) {
  for (int Draw = 0; Draw < MaxDraws; ++Draw) {
    EndpointId Id = List[below(List.size())];
    if (!wasTried(Wanted, Id))
      return Id;
  }
  return std::nullopt;
}

std::optional<EndpointId>
EndpointChooser::nextInTurn(const std::vector<EndpointId> &List,
                            const ChoiceRequest &Wanted) {
  const Endpoint &First = Table_.at(List.front());
  auto [Last, New] = LastInTurn_.try_emplace({First.Service_, First.Zone_}, 0);
  std::optional<EndpointId> After;
  std::optional<EndpointId> Lowest;
  for (EndpointId Id : List) {
    if (wasTried(Wanted, Id))
      continue;
    if (!Lowest || Id < *Lowest)
      Lowest = Id;
    if (Id > Last->second && (!After || Id < *After))
      After = Id;
  }
  std::optional<EndpointId> Next = After ? After : Lowest;
  if (Next)
    Last->second = *Next;
  return Next;
}

std::optional<EndpointId>
EndpointChooser::leastInFlight(const std::vector<EndpointId> &List,
                               const ChoiceRequest &Wanted) {
  std::optional<EndpointId> Best;
  std::size_t Start = below(List.size());
  for (std::size_t Step = 0; Step < List.size(); ++Step) {
    EndpointId Id = List[(Start + Step) % List.size()];
    if (wasTried(Wanted, Id))
      continue;
    if (!Best || Table_.at(Id).Own_ < Table_.at(*Best).Own_)
      Best = Id;
  }
  return Best;
}

std::uint32_t EndpointChooser::below(std::size_t Bound) {
  return Random_(static_cast<std::uint32_t>(Bound));
}

} // namespace filbertspring::routing
