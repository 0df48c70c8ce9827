#include "endpoint_choice.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::routing {
namespace {

/// Number of random draws that may hit endpoints already tried before the
/// selection gives up.
constexpr int MaxDraws = 8;
/// Latency below this multiple of the mean over all endpoints is treated as
/// noise.
constexpr double OutlierFactor = 1.5;
/// Half-life of the excess latency attributed to an endpoint, counted from its
/// last answer.
constexpr Duration LatencyHalfLife = std::chrono::seconds(2);

bool wasTried(const EndpointQuery &Query, EndpointId Id) {
  return std::ranges::find(Query.TriedEndpoints_, Id) !=
         Query.TriedEndpoints_.end();
}

} // namespace

EndpointChooser::EndpointChooser(const RouterConfig &Config,
                                 const EndpointTable &Table, std::uint64_t Seed)
    : Config_(Config), Table_(Table), Random_(Seed) {}

std::optional<EndpointId> EndpointChooser::choose(const EndpointQuery &Query,
                                                  TimePoint Now) {
  const ServicePool *Pool = Table_.findPool(Query.Service_);
  if (!Pool)
    return std::nullopt;
  if (Query.PreferProbation_)
    if (std::optional<EndpointId> Id = findOnProbation(*Pool, Query))
      return Id;
  std::optional<Candidate> Best = bestLocal(*Pool, Query, Now);
  double BaselineUs = baselineExtraUs(*Pool, Query);
  if (!Best || Best->ExtraUs_ > BaselineUs) {
    std::optional<Candidate> Remote = bestRemote(*Pool, Query, Now);
    if (Remote && (!Best || Remote->ExtraUs_ < Best->ExtraUs_))
      Best = Remote;
  }
  if (!Best && Pool->HealthyCount_ == 0)
    return findOnProbation(*Pool, Query);
  if (!Best)
    return std::nullopt;
  auto MaxExtraUs = static_cast<double>(Query.MaxExtraLatency_.count());
  if (Best->ExtraUs_ > BaselineUs + MaxExtraUs)
    return std::nullopt;
  return Best->Id_;
}

std::optional<EndpointId>
EndpointChooser::findOnProbation(const ServicePool &Pool,
                                 const EndpointQuery &Query) const {
  for (EndpointId Id : Pool.OnProbation_)
    if (Query.Terms_.allowsZone(Table_.at(Id).Zone_) && !wasTried(Query, Id))
      return Id;
  return std::nullopt;
}

double EndpointChooser::baselineExtraUs(const ServicePool &Pool,
                                        const EndpointQuery &Query) const {
  auto Local = Pool.AvailableByZone_.find(Config_.Zone_);
  bool LocalAvailable = Local != Pool.AvailableByZone_.end() &&
                        Local->second > 0 &&
                        Query.Terms_.allowsZone(Config_.Zone_);
  if (LocalAvailable)
    return 0.0;
  return static_cast<double>(Config_.InterZoneRoundTrip_.count());
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::bestLocal(const ServicePool &Pool, const EndpointQuery &Query,
                           TimePoint Now) {
  auto List = Pool.UsableByZone_.find(Config_.Zone_);
  if (List == Pool.UsableByZone_.end() ||
      !Query.Terms_.allowsZone(Config_.Zone_))
    return std::nullopt;
  return pick(List->second, Pool, Query, Now);
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::bestRemote(const ServicePool &Pool, const EndpointQuery &Query,
                            TimePoint Now) {
  auto IsCandidate = [&](const auto &Entry) {
    return Entry.first != Config_.Zone_ && Query.Terms_.allowsZone(Entry.first);
  };
  std::size_t Total = 0;
  for (const auto &Entry : Pool.UsableByZone_)
    if (IsCandidate(Entry))
      Total += Entry.second.size();
  if (Total == 0)
    return std::nullopt;
  // The probability of a zone is proportional to its number of usable
  // endpoints.
  std::size_t Drawn = randomBelow(Total);
  for (const auto &Entry : Pool.UsableByZone_) {
    if (!IsCandidate(Entry))
      continue;
    if (Drawn < Entry.second.size())
      return pick(Entry.second, Pool, Query, Now);
    Drawn -= Entry.second.size();
  }
  return std::nullopt;
}

std::optional<EndpointChooser::Candidate>
EndpointChooser::pick(const std::vector<EndpointId> &List,
                      const ServicePool &Pool, const EndpointQuery &Query,
                      TimePoint Now) {
  if (List.empty())
    return std::nullopt;
  auto BestSample =
      [&](const SampledPolicy &Policy) -> std::optional<Candidate> {
    std::optional<Candidate> Best;
    for (std::int32_t Count = 0; Count < Policy.Samples_; ++Count) {
      std::optional<EndpointId> Id = drawRandom(List, Query);
      if (!Id)
        continue;
      Candidate Drawn = evaluate(*Id, Pool, Now);
      if (!Best || Drawn.Score_ < Best->Score_)
        Best = Drawn;
    }
    return Best;
  };
  auto Unscored =
      [&](std::optional<EndpointId> Id) -> std::optional<Candidate> {
    if (!Id)
      return std::nullopt;
    bool Remote = Table_.at(*Id).Zone_ != Config_.Zone_;
    auto ZoneDelayUs = static_cast<double>(Config_.InterZoneRoundTrip_.count());
    return Candidate{*Id, Remote ? ZoneDelayUs : 0.0, 0.0};
  };
  return std::visit(Overloaded{BestSample,
                               [&](const RandomPolicy &) {
                                 return Unscored(drawRandom(List, Query));
                               },
                               [&](const RoundRobinPolicy &) {
                                 return Unscored(nextRoundRobin(List, Query));
                               },
                               [&](const LeastInFlightPolicy &) {
                                 return Unscored(leastInFlight(List, Query));
                               }},
                    Config_.Policy_);
}

EndpointChooser::Candidate EndpointChooser::evaluate(EndpointId Id,
                                                     const ServicePool &Pool,
                                                     TimePoint Now) const {
  const Endpoint &Target = Table_.at(Id);
  bool Remote = Target.Zone_ != Config_.Zone_;
  double ZoneDelayUs = 0.0;
  if (Remote)
    ZoneDelayUs = static_cast<double>(Config_.InterZoneRoundTrip_.count());
  double TypicalUs = std::max(Pool.Latency_.microseconds(), 1.0);
  double SlowdownUs = 0.0;
  if (Target.Latency_.hasValue() && Target.LastAnswerAt_) {
    double AgeInHalfLives =
        std::chrono::duration<double>(Now - *Target.LastAnswerAt_) /
        std::chrono::duration<double>(LatencyHalfLife);
    double ObservedExcessUs =
        Target.Latency_.microseconds() - ZoneDelayUs - TypicalUs;
    double DecayedExcessUs = ObservedExcessUs * std::exp2(-AgeInHalfLives);
    if (DecayedExcessUs > TypicalUs * (OutlierFactor - 1.0))
      SlowdownUs = DecayedExcessUs;
  }
  auto Slots = static_cast<double>(std::max<std::int64_t>(Target.Slots_, 1));
  double Load = static_cast<double>(Target.load()) / Slots;
  double ServiceTimeUs = TypicalUs + SlowdownUs;
  // A request beyond the slots of the endpoint waits for those queued before
  // it.
  double QueueingUs = ServiceTimeUs * std::max(Load - 1.0 + 1.0 / Slots, 0.0);
  return {Id, ZoneDelayUs + SlowdownUs + QueueingUs,
          ServiceTimeUs * (1.0 + Load) + QueueingUs};
}

std::optional<EndpointId>
EndpointChooser::drawRandom(const std::vector<EndpointId> &List,
                            const EndpointQuery &Query) {
  for (int Draw = 0; Draw < MaxDraws; ++Draw) {
    EndpointId Id = List[randomBelow(List.size())];
    if (!wasTried(Query, Id))
      return Id;
  }
  return std::nullopt;
}

std::optional<EndpointId>
EndpointChooser::nextRoundRobin(const std::vector<EndpointId> &List,
                                const EndpointQuery &Query) {
  const Endpoint &First = Table_.at(List.front());
  auto [Last, New] =
      LastRoundRobin_.try_emplace({First.Service_, First.Zone_}, 0);
  std::optional<EndpointId> Successor;
  std::optional<EndpointId> Lowest;
  for (EndpointId Id : List) {
    if (wasTried(Query, Id))
      continue;
    if (!Lowest || Id < *Lowest)
      Lowest = Id;
    if (Id > Last->second && (!Successor || Id < *Successor))
      Successor = Id;
  }
  std::optional<EndpointId> Next = Successor ? Successor : Lowest;
  if (Next)
    Last->second = *Next;
  return Next;
}

std::optional<EndpointId>
EndpointChooser::leastInFlight(const std::vector<EndpointId> &List,
                               const EndpointQuery &Query) {
  std::optional<EndpointId> Best;
  std::size_t Start = randomBelow(List.size());
  for (std::size_t Step = 0; Step < List.size(); ++Step) {
    EndpointId Id = List[(Start + Step) % List.size()];
    if (wasTried(Query, Id))
      continue;
    if (!Best || Table_.at(Id).OwnInFlight_ < Table_.at(*Best).OwnInFlight_)
      Best = Id;
  }
  return Best;
}

std::uint32_t EndpointChooser::randomBelow(std::size_t Bound) {
  return Random_(static_cast<std::uint32_t>(Bound));
}

} // namespace filbertspring::routing
