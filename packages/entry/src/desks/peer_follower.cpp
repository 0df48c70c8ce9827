#include "peer_follower.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"
#include "filbertspring/membership/peer_selection.h"

#include <algorithm>
#include <xxhash.h>

namespace filbertspring {
namespace {

constexpr Duration ChooseInterval = std::chrono::seconds(1);

std::uint64_t seedOf(const InstanceName &Self) {
  return XXH3_64bits(Self.str().data(), Self.str().size());
}

bool isReachable(const membership::Member &Each) {
  return Each.State_ == membership::Liveness::Alive ||
         Each.State_ == membership::Liveness::Leaving;
}

} // namespace

PeerFollower::PeerFollower(MembershipThread &Thread,
                           membership::DigestBuilder &Digests,
                           PeerHandlers Handlers)
    : Thread_(Thread), Digests_(Digests), Handlers_(std::move(Handlers)),
      Received_(RingCapacity) {}

Status PeerFollower::start() {
  Result<std::unique_ptr<PeerServer>> Server =
      PeerServer::start(Thread_.Values_.Listen_.Peer_, Received_);
  if (!Server)
    return fail(Server.error());
  Server_ = std::move(*Server);
  PeerLinksSettings Links;
  Links.Seed_ = seedOf(Thread_.Self_);
  Links_ = std::make_unique<PeerLinks>(Thread_.Self_, Links);
  return {};
}

void PeerFollower::stop() {
  Links_.reset();
  Server_.reset();
}

void PeerFollower::tick(const std::vector<membership::Member> &Members,
                        RowVersion CompleteTo, TimePoint Now) {
  while (std::optional<PeerMessage> Message = Received_.tryPop())
    receive(*Message);
  if (Now - LastChoice_ < ChooseInterval)
    return;
  LastChoice_ = Now;
  choosePeers(Members);
  tellPeers(CompleteTo, Now);
  showPeers();
}

/// Keeps the peers of before when the table shows nobody, as in an outage.
void PeerFollower::choosePeers(const std::vector<membership::Member> &Members) {
  std::vector<membership::InstancePlace> Live;
  std::map<InstanceName, Address> Addresses;
  for (const membership::Member &Each : Members) {
    const HeartbeatRecord &Heartbeat = Each.Heartbeat_;
    bool Known = Peers_.contains(Heartbeat.Instance_);
    if (!isReachable(Each) && !(Known && !Thread_.Shown_.PlatformReachable_))
      continue;
    Live.push_back({Heartbeat.Instance_, Heartbeat.Zone_});
    Addresses[Heartbeat.Instance_] = Heartbeat.Peer_;
  }
  if (Live.empty())
    return;
  std::vector<EndpointName> Endpoints;
  for (const ListedInstance &Each : Thread_.Shown_.Listed_)
    if (Each.Role_ == InstanceRole::Executor)
      Endpoints.emplace_back(Each.Name_.str());
  Digests_.retain(Live, Endpoints);
  Peers_.clear();
  std::vector<PeerAddress> Links;
  for (const membership::InstancePlace &Each :
       membership::selectPeers(Thread_.Place_, Live)) {
    Peers_[Each.Name_] = Each;
    Links.push_back({Each.Name_, Addresses[Each.Name_]});
  }
  Links_->setPeers(std::move(Links));
}

void PeerFollower::tellPeers(RowVersion CompleteTo, TimePoint Now) {
  for (const PeerLinkStatus &Link : Links_->status()) {
    if (Connects_[Link.Name_] != Link.Connects_)
      Digests_.resend(Link.Name_);
    Connects_[Link.Name_] = Link.Connects_;
    auto Found = Peers_.find(Link.Name_);
    if (!Link.Connected_ || Found == Peers_.end())
      continue;
    bool SameZone = Found->second.Zone_ == Thread_.Values_.Zone_;
    Duration Interval = SameZone ? membership::OwnZoneDigestInterval
                                 : membership::OtherZoneDigestInterval;
    TimePoint &Told = LastTold_[Link.Name_];
    if (Now - Told < Interval)
      continue;
    Told = Now;
    send(Link.Name_, Digests_.digestFor(Found->second, CompleteTo));
  }
}

void PeerFollower::tellSoon() {
  LastTold_.clear();
  LastChoice_ = TimePoint();
}

void PeerFollower::send(const InstanceName &Peer,
                        const membership::PeerPayload &Payload) {
  Links_->send(Peer, membership::encodePeerPayload(Payload));
}

void PeerFollower::receive(const PeerMessage &Message) {
  Result<membership::PeerPayload> Payload =
      membership::decodePeerPayload(Message.Bytes_);
  if (!Payload)
    return;
  std::visit(Overloaded{[&](const membership::PeerDigest &Each) {
                          auto Found = Peers_.find(Message.From_);
                          if (Found != Peers_.end())
                            receiveDigest(Found->second, Each);
                        },
                        [&](const membership::DeltaRequest &Each) {
                          Handlers_.DeltaRequested_(Message.From_, Each);
                        },
                        [&](const membership::EncodedDelta &Each) {
                          Handlers_.DeltaReceived_(Message.From_, Each);
                        }},
             *Payload);
}

void PeerFollower::receiveDigest(const membership::InstancePlace &From,
                                 const membership::PeerDigest &Digest) {
  Heads_[From.Name_] = Digest.CompleteTo_;
  Handlers_.CompleteTo_(From.Name_, Digest.CompleteTo_);
  Handlers_.Demands_(Digests_.merge(From, Digest));
  routing::PeerEndpointReports Reports;
  for (const membership::EndpointLoad &Each : Digest.Endpoints_) {
    if (Each.Leaving_)
      tellSoon(); // Other zones may know it only through this instance.
    Reports.Reports_.push_back(
        {Each.Endpoint_, Each.InFlight_, Each.Leaving_, Duration::zero()});
  }
  if (!Reports.Reports_.empty())
    Thread_.Partners_.Routes_.post(std::move(Reports));
}

void PeerFollower::showPeers() {
  std::vector<PeerView> Views;
  for (const PeerLinkStatus &Link : Links_->status()) {
    auto Found = Peers_.find(Link.Name_);
    ZoneName Zone = Found == Peers_.end() ? ZoneName() : Found->second.Zone_;
    Views.push_back({Link.Name_, Zone, Link.Connected_, Heads_[Link.Name_]});
  }
  Thread_.Shown_.Peers_ = std::move(Views);
}

} // namespace filbertspring
