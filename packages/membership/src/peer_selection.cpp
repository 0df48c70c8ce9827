#include "filbertspring/membership/peer_selection.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace filbertspring::membership {

namespace {

/// A possible link between two zones. The zone with the lower name is first,
/// so that both ends make the same list.
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

bool goesBefore(const ZoneLink &Left, const ZoneLink &Right) {
  return std::tie(Right.Score_, Left.Low_->Name_, Left.High_->Name_) <
         std::tie(Left.Score_, Right.Low_->Name_, Right.High_->Name_);
}

/// Returns the best links between two zones. No instance has two of them
/// unless its zone has no other.
std::vector<ZoneLink> linksBetween(const ZoneInstances &One,
                                   const ZoneInstances &Other) {
  std::vector<ZoneLink> All;
  for (const InstancePlace *Left : One)
    for (const InstancePlace *Right : Other)
      All.push_back(makeLink(Left, Right));
  std::ranges::sort(All, goesBefore);
  std::vector<ZoneLink> Chosen;
  for (const ZoneLink &Link : All) {
    if (Chosen.size() == LinksPerZonePair)
      break;
    const bool Shares = std::ranges::any_of(Chosen, [&](const ZoneLink &Each) {
      return Each.Low_ == Link.Low_ || Each.High_ == Link.High_;
    });
    const bool Scarce = One.size() == 1 || Other.size() == 1;
    if (!Shares || Scarce)
      Chosen.push_back(Link);
  }
  return Chosen;
}

} // namespace

std::vector<InstancePlace> selectPeers(const InstancePlace &Self,
                                       const std::vector<InstancePlace> &Live) {
  std::map<ZoneName, ZoneInstances> Zones;
  for (const InstancePlace &Each : Live)
    if (Each.Name_ != Self.Name_)
      Zones[Each.Zone_].push_back(&Each);
  ZoneInstances Own = Zones[Self.Zone_];
  Zones.erase(Self.Zone_);

  std::vector<InstancePlace> Peers;
  for (const InstancePlace *Each : Own)
    Peers.push_back(*Each);
  Own.push_back(&Self);
  for (const auto &[Zone, Instances] : Zones)
    for (const ZoneLink &Link : linksBetween(Own, Instances)) {
      if (Link.Low_ == &Self)
        Peers.push_back(*Link.High_);
      if (Link.High_ == &Self)
        Peers.push_back(*Link.Low_);
    }
  std::ranges::sort(Peers, {}, &InstancePlace::Name_);
  return Peers;
}

} // namespace filbertspring::membership
