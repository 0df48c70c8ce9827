#include "filbertspring/membership/digest_builder.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <variant>

namespace filbertspring::membership {

namespace {

/// The source of a value; it determines to which peers the value is sent.
enum class Origin {
  /// Observed by this instance.
  Own,
  /// Received from the peer in the same zone that observed it.
  ZonePeer,
  /// Received from a peer in another zone.
  OtherZone,
  /// Forwarded by a peer in the same zone.
  Relayed
};

/// Numbers the changes in the order in which they are stored.
using ChangeNumber = std::uint64_t;

using DemandKey = std::pair<InstanceName, ContractName>;

struct DemandState {
  std::int32_t Permille_ = 0;
  std::uint64_t Sequence_ = 0;
  Origin Origin_ = Origin::Own;
  ChangeNumber Change_ = 0;
};

struct LoadState {
  EndpointLoad Load_;
  Origin Origin_ = Origin::Own;
  ChangeNumber Change_ = 0;
};

/// The last changes that were considered for a peer.
struct Told {
  ChangeNumber Demands_ = 0;
  ChangeNumber Loads_ = 0;
};

bool toldInZone(Origin From) {
  return From == Origin::Own || From == Origin::OtherZone;
}

bool toldToOtherZones(Origin From) {
  return From == Origin::Own || From == Origin::ZonePeer;
}

/// Returns true when a value changed by at least \p Threshold, or from or to
/// zero.
bool movedBy(std::int32_t Step, std::int32_t Before, std::int32_t After) {
  const bool ZeroChanged = (Before == 0) != (After == 0);
  return ZeroChanged || std::abs(After - Before) >= Step;
}

} // namespace

struct DigestBuilder::Impl {
  InstancePlace Self_;
  std::uint64_t Sequence_ = 0;
  DigestSettings Settings_;
  ChangeNumber LastChange_ = 0;
  std::map<DemandKey, DemandState> Demands_;
  std::map<ChangeNumber, DemandKey> DemandChanges_;
  std::map<EndpointName, LoadState> Loads_;
  std::map<ChangeNumber, EndpointName> LoadChanges_;
  std::map<InstanceName, Told> Told_;

  void storeDemand(const DemandEntry &Entry, Origin From);
  void storeLoad(const EndpointLoad &Load, Origin From);
  void fillDemands(bool SameZone, Told &Upto, PeerDigest &Digest) const;
  void fillLoads(bool SameZone, Told &Upto, PeerDigest &Digest) const;
  bool tellsLoad(const LoadState &Load, bool SameZone) const;
};

void DigestBuilder::Impl::storeDemand(const DemandEntry &Entry, Origin From) {
  const DemandKey Key(Entry.Instance_, Entry.Contract_);
  DemandState &State = Demands_[Key];
  DemandChanges_.erase(State.Change_);
  State = {Entry.Permille_, Entry.Sequence_, From, ++LastChange_};
  DemandChanges_[State.Change_] = Key;
}

void DigestBuilder::Impl::storeLoad(const EndpointLoad &Load, Origin From) {
  LoadState &State = Loads_[Load.Endpoint_];
  LoadChanges_.erase(State.Change_);
  State = {Load, From, ++LastChange_};
  LoadChanges_[State.Change_] = Load.Endpoint_;
}

void DigestBuilder::Impl::fillDemands(bool SameZone, Told &Upto,
                                      PeerDigest &Digest) const {
  for (auto Each = DemandChanges_.upper_bound(Upto.Demands_);
       Each != DemandChanges_.end(); ++Each) {
    if (Digest.Demands_.size() == MaxDigestDemands)
      return;
    Upto.Demands_ = Each->first;
    const DemandState &State = Demands_.at(Each->second);
    const bool Tell =
        SameZone ? toldInZone(State.Origin_) : toldToOtherZones(State.Origin_);
    if (!Tell)
      continue;
    const auto &[Instance, Contract] = Each->second;
    Digest.Demands_.push_back(
        {Instance, Contract, State.Permille_, State.Sequence_});
  }
}

bool DigestBuilder::Impl::tellsLoad(const LoadState &Load,
                                    bool SameZone) const {
  if (SameZone)
    return toldInZone(Load.Origin_);
  return Load.Load_.Leaving_ && toldToOtherZones(Load.Origin_);
}

void DigestBuilder::Impl::fillLoads(bool SameZone, Told &Upto,
                                    PeerDigest &Digest) const {
  for (auto Each = LoadChanges_.upper_bound(Upto.Loads_);
       Each != LoadChanges_.end(); ++Each) {
    if (Digest.Endpoints_.size() == MaxDigestEndpoints)
      return;
    Upto.Loads_ = Each->first;
    const LoadState &State = Loads_.at(Each->second);
    if (tellsLoad(State, SameZone))
      Digest.Endpoints_.push_back(State.Load_);
  }
}

DigestBuilder::DigestBuilder(InstancePlace Self, std::uint64_t FirstSequence,
                             DigestSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->Sequence_ = FirstSequence;
  Impl_->Settings_ = Settings;
}
DigestBuilder::~DigestBuilder() = default;
DigestBuilder::DigestBuilder(DigestBuilder &&) noexcept = default;
DigestBuilder &DigestBuilder::operator=(DigestBuilder &&) noexcept = default;

void DigestBuilder::setDemand(const ContractName &Contract,
                              std::int32_t Permille) {
  auto Found = Impl_->Demands_.find({Impl_->Self_.Name_, Contract});
  const bool Known = Found != Impl_->Demands_.end();
  const std::int32_t Before = Known ? Found->second.Permille_ : 0;
  if (Known &&
      !movedBy(Impl_->Settings_.DemandThresholdPermille_, Before, Permille))
    return;
  Impl_->storeDemand(
      {Impl_->Self_.Name_, Contract, Permille, ++Impl_->Sequence_},
      Origin::Own);
}

void DigestBuilder::setLoad(const EndpointLoad &Load) {
  auto Found = Impl_->Loads_.find(Load.Endpoint_);
  if (Found != Impl_->Loads_.end()) {
    const EndpointLoad &Before = Found->second.Load_;
    const bool Moved = movedBy(Impl_->Settings_.LoadThreshold_,
                               Before.InFlight_, Load.InFlight_);
    if (!Moved && Before.Leaving_ == Load.Leaving_)
      return;
  }
  Impl_->storeLoad(Load, Origin::Own);
}

std::vector<DemandEntry> DigestBuilder::merge(const InstancePlace &From,
                                              const PeerDigest &Digest) {
  const bool SameZone = From.Zone_ == Impl_->Self_.Zone_;
  std::vector<DemandEntry> New;
  for (const DemandEntry &Entry : Digest.Demands_) {
    if (Entry.Instance_ == Impl_->Self_.Name_)
      continue;
    auto Found = Impl_->Demands_.find({Entry.Instance_, Entry.Contract_});
    const bool Known = Found != Impl_->Demands_.end();
    if (Known && Entry.Sequence_ <= Found->second.Sequence_)
      continue;
    const Origin InZone =
        Entry.Instance_ == From.Name_ ? Origin::ZonePeer : Origin::Relayed;
    Impl_->storeDemand(Entry, SameZone ? InZone : Origin::OtherZone);
    New.push_back(Entry);
  }
  for (const EndpointLoad &Load : Digest.Endpoints_) {
    auto Found = Impl_->Loads_.find(Load.Endpoint_);
    const bool KnownLeaving =
        Found != Impl_->Loads_.end() && Found->second.Load_.Leaving_;
    if (Load.Leaving_ && !KnownLeaving)
      Impl_->storeLoad(Load, SameZone ? Origin::ZonePeer : Origin::OtherZone);
  }
  return New;
}

PeerDigest DigestBuilder::digestFor(const InstancePlace &To,
                                    RowVersion CompleteTo) {
  PeerDigest Digest;
  Digest.CompleteTo_ = CompleteTo;
  Told &Upto = Impl_->Told_[To.Name_];
  const bool SameZone = To.Zone_ == Impl_->Self_.Zone_;
  Impl_->fillDemands(SameZone, Upto, Digest);
  Impl_->fillLoads(SameZone, Upto, Digest);
  return Digest;
}

void DigestBuilder::resend(const InstanceName &Peer) {
  Impl_->Told_.erase(Peer);
}

void DigestBuilder::retain(const std::vector<InstancePlace> &Live,
                           const std::vector<EndpointName> &Listed) {
  std::set<InstanceName> Instances{Impl_->Self_.Name_};
  for (const InstancePlace &Each : Live)
    Instances.insert(Each.Name_);
  const std::set<EndpointName> Endpoints(Listed.begin(), Listed.end());

  std::erase_if(Impl_->Told_, [&](const auto &Each) {
    return !Instances.contains(Each.first);
  });
  std::erase_if(Impl_->DemandChanges_, [&](const auto &Each) {
    return !Instances.contains(Each.second.first);
  });
  std::erase_if(Impl_->Demands_, [&](const auto &Each) {
    return !Instances.contains(Each.first.first);
  });
  std::erase_if(Impl_->LoadChanges_, [&](const auto &Each) {
    return !Endpoints.contains(Each.second);
  });
  std::erase_if(Impl_->Loads_, [&](const auto &Each) {
    return !Endpoints.contains(Each.first);
  });
}

} // namespace filbertspring::membership
