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
struct SentChanges {
  ChangeNumber Demands_ = 0;
  ChangeNumber Loads_ = 0;
};

bool isSentWithinZone(Origin From) {
  return From == Origin::Own || From == Origin::OtherZone;
}

bool isSentToOtherZones(Origin From) {
  return From == Origin::Own || From == Origin::ZonePeer;
}

/// Returns true when a value changed by at least \p Threshold, or from or to
/// zero.
bool hasChangedBy(std::int32_t Threshold, std::int32_t Before,
                  std::int32_t After) {
  const bool ZeroChanged = (Before == 0) != (After == 0);
  return ZeroChanged || std::abs(After - Before) >= Threshold;
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
  std::map<InstanceName, SentChanges> SentChanges_;

  void storeDemand(const DemandEntry &Entry, Origin From);
  void storeLoad(const EndpointLoad &Load, Origin From);
  void appendDemands(bool SameZone, SentChanges &Sent,
                     PeerDigest &Digest) const;
  void appendLoads(bool SameZone, SentChanges &Sent, PeerDigest &Digest) const;
  bool includesLoad(const LoadState &Load, bool SameZone) const;
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

void DigestBuilder::Impl::appendDemands(bool SameZone, SentChanges &Sent,
                                        PeerDigest &Digest) const {
  for (auto Change = DemandChanges_.upper_bound(Sent.Demands_);
       Change != DemandChanges_.end(); ++Change) {
    if (Digest.Demands_.size() == MaxDigestDemands)
      return;
    Sent.Demands_ = Change->first;
    const DemandState &State = Demands_.at(Change->second);
    const bool IsIncluded = SameZone ? isSentWithinZone(State.Origin_)
                                     : isSentToOtherZones(State.Origin_);
    if (!IsIncluded)
      continue;
    const auto &[Instance, Contract] = Change->second;
    Digest.Demands_.push_back(
        {Instance, Contract, State.Permille_, State.Sequence_});
  }
}

bool DigestBuilder::Impl::includesLoad(const LoadState &Load,
                                       bool SameZone) const {
  if (SameZone)
    return isSentWithinZone(Load.Origin_);
  return Load.Load_.Leaving_ && isSentToOtherZones(Load.Origin_);
}

void DigestBuilder::Impl::appendLoads(bool SameZone, SentChanges &Sent,
                                      PeerDigest &Digest) const {
  for (auto Change = LoadChanges_.upper_bound(Sent.Loads_);
       Change != LoadChanges_.end(); ++Change) {
    if (Digest.Endpoints_.size() == MaxDigestEndpoints)
      return;
    Sent.Loads_ = Change->first;
    const LoadState &State = Loads_.at(Change->second);
    if (includesLoad(State, SameZone))
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
  auto It = Impl_->Demands_.find({Impl_->Self_.Name_, Contract});
  const bool IsKnown = It != Impl_->Demands_.end();
  const std::int32_t Before = IsKnown ? It->second.Permille_ : 0;
  if (IsKnown && !hasChangedBy(Impl_->Settings_.DemandThresholdPermille_,
                               Before, Permille))
    return;
  Impl_->storeDemand(
      {Impl_->Self_.Name_, Contract, Permille, ++Impl_->Sequence_},
      Origin::Own);
}

void DigestBuilder::setLoad(const EndpointLoad &Load) {
  auto It = Impl_->Loads_.find(Load.Endpoint_);
  if (It != Impl_->Loads_.end()) {
    const EndpointLoad &Before = It->second.Load_;
    const bool HasChanged = hasChangedBy(Impl_->Settings_.LoadThreshold_,
                                         Before.InFlight_, Load.InFlight_);
    if (!HasChanged && Before.Leaving_ == Load.Leaving_)
      return;
  }
  Impl_->storeLoad(Load, Origin::Own);
}

std::vector<DemandEntry> DigestBuilder::merge(const InstancePlace &From,
                                              const PeerDigest &Digest) {
  const bool SameZone = From.Zone_ == Impl_->Self_.Zone_;
  std::vector<DemandEntry> NewDemands;
  for (const DemandEntry &Entry : Digest.Demands_) {
    if (Entry.Instance_ == Impl_->Self_.Name_)
      continue;
    auto It = Impl_->Demands_.find({Entry.Instance_, Entry.Contract_});
    const bool IsKnown = It != Impl_->Demands_.end();
    if (IsKnown && Entry.Sequence_ <= It->second.Sequence_)
      continue;
    const Origin ZoneOrigin =
        Entry.Instance_ == From.Name_ ? Origin::ZonePeer : Origin::Relayed;
    Impl_->storeDemand(Entry, SameZone ? ZoneOrigin : Origin::OtherZone);
    NewDemands.push_back(Entry);
  }
  for (const EndpointLoad &Load : Digest.Endpoints_) {
    auto It = Impl_->Loads_.find(Load.Endpoint_);
    const bool KnownLeaving =
        It != Impl_->Loads_.end() && It->second.Load_.Leaving_;
    if (Load.Leaving_ && !KnownLeaving)
      Impl_->storeLoad(Load, SameZone ? Origin::ZonePeer : Origin::OtherZone);
  }
  return NewDemands;
}

PeerDigest DigestBuilder::digestFor(const InstancePlace &To,
                                    RowVersion CompleteTo) {
  PeerDigest Digest;
  Digest.CompleteTo_ = CompleteTo;
  SentChanges &Sent = Impl_->SentChanges_[To.Name_];
  const bool SameZone = To.Zone_ == Impl_->Self_.Zone_;
  Impl_->appendDemands(SameZone, Sent, Digest);
  Impl_->appendLoads(SameZone, Sent, Digest);
  return Digest;
}

void DigestBuilder::resend(const InstanceName &Peer) {
  Impl_->SentChanges_.erase(Peer);
}

void DigestBuilder::retain(const std::vector<InstancePlace> &Live,
                           const std::vector<EndpointName> &Registered) {
  std::set<InstanceName> Instances{Impl_->Self_.Name_};
  for (const InstancePlace &Instance : Live)
    Instances.insert(Instance.Name_);
  const std::set<EndpointName> Endpoints(Registered.begin(), Registered.end());

  std::erase_if(Impl_->SentChanges_, [&](const auto &Item) {
    return !Instances.contains(Item.first);
  });
  std::erase_if(Impl_->DemandChanges_, [&](const auto &Item) {
    return !Instances.contains(Item.second.first);
  });
  std::erase_if(Impl_->Demands_, [&](const auto &Item) {
    return !Instances.contains(Item.first.first);
  });
  std::erase_if(Impl_->LoadChanges_, [&](const auto &Item) {
    return !Endpoints.contains(Item.second);
  });
  std::erase_if(Impl_->Loads_, [&](const auto &Item) {
    return !Endpoints.contains(Item.first);
  });
}

} // namespace filbertspring::membership
