#include "filbertspring/membership/peer_selection.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace filbertspring::membership {

namespace {

/// A possible link between two zones. The instance of the zone with the lower
/// name comes first, so that both ends compute the same list.
struct ZoneLink {
  std::uint64_t Score_ = 0;
  const InstancePlace *Low_ = nullptr;
  const InstancePlace *High_ = nullptr;
};

using ZoneInstances = std::vector<const InstancePlace *>;

ZoneLink makeLink(const InstancePlace *One, const InstancePlace *Other) {
  if (Other->Zone_ < One->Zone_)
    std::swap(One, Other);
  return {rendezvousScore(One->Name_.str(), Other->Name_.str()), One, Other};
}

bool precedes(const ZoneLink &Left, const ZoneLink &Right) {
  return std::tie(Right.Score_, Left.Low_->Name_, Left.High_->Name_) <
         std::tie(Left.Score_, Right.Low_->Name_, Right.High_->Name_);
}

/// The number of links that each instance has so far.
using LinkCounts = std::map<InstanceName, std::size_t>;

bool sharesInstance(const ZoneLink &One, const ZoneLink &Other) {
  return One.Low_ == Other.Low_ || One.High_ == Other.High_;
}

/// Chooses the links between two zones. Instances with the fewest links so far
/// come first, ties are resolved by score. No instance gets two of these links
/// unless one of the zones has only one instance.
std::vector<ZoneLink> linksBetween(const ZoneInstances &One,
                                   const ZoneInstances &Other,
                                   LinkCounts &Counts) {
  std::vector<std::pair<std::size_t, ZoneLink>> Candidates;
  for (const InstancePlace *Left : One)
    for (const InstancePlace *Right : Other)
      Candidates.emplace_back(Counts[Left->Name_] + Counts[Right->Name_],
                              makeLink(Left, Right));
  std::ranges::sort(Candidates, [](const auto &Left, const auto &Right) {
    if (Left.first != Right.first)
      return Left.first < Right.first;
    return precedes(Left.second, Right.second);
  });
  const bool IsSingleInstance = One.size() == 1 || Other.size() == 1;
  std::vector<ZoneLink> Chosen;
  for (const auto &[Count, Link] : Candidates) {
    if (Chosen.size() == LinksPerZonePair)
      break;
    const bool HasSharedInstance =
        std::ranges::any_of(Chosen, [&Link = Link](const ZoneLink &ChosenLink) {
          return sharesInstance(ChosenLink, Link);
        });
    if (HasSharedInstance && !IsSingleInstance)
      continue;
    Chosen.push_back(Link);
    ++Counts[Link.Low_->Name_];
    ++Counts[Link.High_->Name_];
  }
  return Chosen;
}

/// Returns the links between all zones. The result is the same at all instances
/// that know the same instances.
std::vector<ZoneLink> allLinks(const std::map<ZoneName, ZoneInstances> &Zones) {
  std::vector<ZoneLink> Links;
  LinkCounts Counts;
  for (auto One = Zones.begin(); One != Zones.end(); ++One)
    for (auto Other = std::next(One); Other != Zones.end(); ++Other)
      for (const ZoneLink &Link :
           linksBetween(One->second, Other->second, Counts))
        Links.push_back(Link);
  return Links;
}

} // namespace

std::vector<InstancePlace> selectPeers(const InstancePlace &Self,
                                       const std::vector<InstancePlace> &Live) {
  std::map<ZoneName, ZoneInstances> Zones;
  Zones[Self.Zone_].push_back(&Self);
  for (const InstancePlace &Instance : Live)
    if (Instance.Name_ != Self.Name_)
      Zones[Instance.Zone_].push_back(&Instance);

  std::vector<InstancePlace> Peers;
  for (const InstancePlace *Instance : Zones[Self.Zone_])
    if (Instance != &Self)
      Peers.push_back(*Instance);
  for (const ZoneLink &Link : allLinks(Zones)) {
    if (Link.Low_ == &Self)
      Peers.push_back(*Link.High_);
    if (Link.High_ == &Self)
      Peers.push_back(*Link.Low_);
  }
  std::ranges::sort(Peers, {}, &InstancePlace::Name_);
  return Peers;
}

} // namespace filbertspring::membership
