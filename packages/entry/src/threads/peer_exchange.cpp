#include "peer_exchange.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"
#include "filbertspring/membership/peer_selection.h"

#include <algorithm>
#include <xxhash.h>

namespace filbertspring {
namespace {

constexpr Duration PeerSelectionInterval = std::chrono::seconds(1);

std::uint64_t seedOf(const InstanceName &Self) {
  return XXH3_64bits(Self.str().data(), Self.str().size());
}

bool isReachable(const membership::Member &Member) {
  return Member.State_ == membership::Liveness::Alive ||
         Member.State_ == membership::Liveness::Leaving;
}

} // namespace

PeerExchange::PeerExchange(MembershipContext &Context,
                           membership::DigestBuilder &Digests,
                           PeerHandlers Handlers)
    : Context_(Context), Digests_(Digests), Handlers_(std::move(Handlers)),
      Received_(RingCapacity) {}

Status PeerExchange::start() {
  Result<std::unique_ptr<PeerServer>> Server =
      PeerServer::start(Context_.Settings_.Listen_.Peer_, Received_);
  if (!Server)
    return fail(Server.error());
  Server_ = std::move(*Server);
  PeerLinksSettings Links;
  Links.Seed_ = seedOf(Context_.Self_);
  Links_ = std::make_unique<PeerLinks>(Context_.Self_, Links);
  return {};
}

void PeerExchange::stop() {
  Links_.reset();
  Server_.reset();
}

void PeerExchange::tick(const std::vector<membership::Member> &Members,
                        RowVersion CompleteTo, TimePoint Now) {
  while (std::optional<PeerMessage> Message = Received_.tryPop())
    receive(*Message);
  if (Now - LastSelection_ < PeerSelectionInterval)
    return;
  LastSelection_ = Now;
  updatePeers(Members);
  sendDigests(CompleteTo, Now);
  updatePeerViews();
}

/// Selects the peers to connect to. Keeps the previous peers when no member is
/// reachable, as in an outage of the table.
void PeerExchange::updatePeers(const std::vector<membership::Member> &Members) {
  std::vector<membership::InstancePlace> Live;
  std::map<InstanceName, Address> Addresses;
  for (const membership::Member &Member : Members) {
    const HeartbeatRecord &Heartbeat = Member.Heartbeat_;
    bool WasPeer = Peers_.contains(Heartbeat.Instance_);
    if (!isReachable(Member) &&
        !(WasPeer && !Context_.Snapshot_.PlatformReachable_))
      continue;
    Live.push_back({Heartbeat.Instance_, Heartbeat.Zone_});
    Addresses[Heartbeat.Instance_] = Heartbeat.Peer_;
  }
  if (Live.empty())
    return;
  std::vector<EndpointName> Endpoints;
  for (const ListedInstance &Instance : Context_.Snapshot_.Listed_)
    if (Instance.Role_ == InstanceRole::Executor)
      Endpoints.emplace_back(Instance.Name_.str());
  Digests_.retain(Live, Endpoints);
  Peers_.clear();
  std::vector<PeerAddress> Links;
  for (const membership::InstancePlace &Peer :
       membership::selectPeers(Context_.Place_, Live)) {
    Peers_[Peer.Name_] = Peer;
    Links.push_back({Peer.Name_, Addresses[Peer.Name_]});
  }
  Links_->setPeers(std::move(Links));
}

void PeerExchange::sendDigests(RowVersion CompleteTo, TimePoint Now) {
  for (const PeerLinkStatus &Link : Links_->status()) {
    if (Connects_[Link.Name_] != Link.Connects_)
      Digests_.resend(Link.Name_);
    Connects_[Link.Name_] = Link.Connects_;
    auto Found = Peers_.find(Link.Name_);
    if (!Link.Connected_ || Found == Peers_.end())
      continue;
    bool SameZone = Found->second.Zone_ == Context_.Settings_.Zone_;
    Duration Interval = SameZone ? membership::OwnZoneDigestInterval
                                 : membership::OtherZoneDigestInterval;
    TimePoint &LastSent = LastSent_[Link.Name_];
    if (Now - LastSent < Interval)
      continue;
    LastSent = Now;
    send(Link.Name_, Digests_.digestFor(Found->second, CompleteTo));
  }
}

void PeerExchange::sendDigestsSoon() {
  LastSent_.clear();
  LastSelection_ = TimePoint();
}

void PeerExchange::send(const InstanceName &Peer,
                        const membership::PeerPayload &Payload) {
  Links_->send(Peer, membership::encodePeerPayload(Payload));
}

void PeerExchange::receive(const PeerMessage &Message) {
  Result<membership::PeerPayload> Payload =
      membership::decodePeerPayload(Message.Bytes_);
  if (!Payload)
    return;
  std::visit(Overloaded{[&](const membership::PeerDigest &Digest) {
                          auto Found = Peers_.find(Message.From_);
                          if (Found != Peers_.end())
                            receiveDigest(Found->second, Digest);
                        },
                        [&](const membership::DeltaRequest &Request) {
                          Handlers_.OnDeltaRequested_(Message.From_, Request);
                        },
                        [&](const membership::EncodedDelta &Delta) {
                          Handlers_.OnDeltaReceived_(Message.From_, Delta);
                        }},
             *Payload);
}

void PeerExchange::receiveDigest(const membership::InstancePlace &From,
                                 const membership::PeerDigest &Digest) {
  PeerHeads_[From.Name_] = Digest.CompleteTo_;
  Handlers_.OnCompleteTo_(From.Name_, Digest.CompleteTo_);
  Handlers_.OnDemands_(Digests_.merge(From, Digest));
  routing::PeerEndpointReports Reports;
  for (const membership::EndpointLoad &Load : Digest.Endpoints_) {
    // Other zones may receive this only through this instance.
    if (Load.Leaving_)
      sendDigestsSoon();
    Reports.Reports_.push_back(
        {Load.Endpoint_, Load.InFlight_, Load.Leaving_, Duration::zero()});
  }
  if (!Reports.Reports_.empty())
    Context_.Dependencies_.Routing_.post(std::move(Reports));
}

void PeerExchange::updatePeerViews() {
  std::vector<PeerView> Views;
  for (const PeerLinkStatus &Link : Links_->status()) {
    auto Found = Peers_.find(Link.Name_);
    ZoneName Zone = Found == Peers_.end() ? ZoneName() : Found->second.Zone_;
    Views.push_back(
        {Link.Name_, Zone, Link.Connected_, PeerHeads_[Link.Name_]});
  }
  Context_.Snapshot_.Peers_ = std::move(Views);
}

} // namespace filbertspring
