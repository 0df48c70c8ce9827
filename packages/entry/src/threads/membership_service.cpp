#include "membership_service.h"

#include "configuration_updater.h"
#include "membership_context.h"
#include "peer_exchange.h"
#include "share_updater.h"

#include "filbertspring/base/log.h"
#include "filbertspring/membership/rack_assignment.h"
#include "filbertspring/platform/instance_list_client.h"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace filbertspring {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ListPollInterval = std::chrono::seconds(1);
constexpr Duration RackAssignmentInterval = std::chrono::seconds(1);
/// How long release() waits at most for the table to commit the release of the
/// shares and the heartbeat row. Instances that stop at the same time write the
/// same ledgers, so some of the writes are repeated.
constexpr Duration MaxReleaseWait = std::chrono::seconds(5);

} // namespace

struct MembershipService::Impl {
  Impl(const Settings &Values, const MembershipDependencies &Dependencies);

  void run();
  void tick(TimePoint Now);
  void publishEndpointLoads();
  void updateContracts();
  void assignRacks(TimePoint Now);
  void pollInstanceList();
  void applyInstanceList(const InstanceList &List);

  MembershipContext Context_;
  membership::DigestBuilder Digests_;
  ShareUpdater Shares_;
  PeerExchange Peers_;
  ConfigurationUpdater Configuration_;
  membership::TakeoverPacer Pacer_;
  std::set<RackName> OwnedRacks_;
  std::set<EndpointName> LeavingEndpoints_;
  RowVersion ContractsVersion_ = -1;
  TimePoint LastAssignment_{};
  std::atomic<bool> Stopping_{false};
  std::thread EventThread_;
  std::thread ListThread_;
};

MembershipService::Impl::Impl(const Settings &Values,
                              const MembershipDependencies &Dependencies)
    : Context_(Values, Dependencies),
      Digests_(Context_.Place_, static_cast<std::uint64_t>(wallMilliseconds())),
      Shares_(Context_, Digests_),
      Peers_(Context_, Digests_,
             {[this](const InstanceName &Peer, RowVersion Version) {
                Configuration_.handlePeerCompleteTo(Peer, Version);
              },
              [this](const InstanceName &Peer,
                     const membership::DeltaRequest &Request) {
                Configuration_.handleDeltaRequest(Peer, Request);
              },
              [this](const InstanceName &Peer,
                     const membership::EncodedDelta &Delta) {
                Configuration_.handleDelta(Peer, Delta);
              },
              [this](const std::vector<membership::DemandEntry> &Demands) {
                Shares_.handlePeerDemands(Demands);
              }}),
      Configuration_(Context_,
                     [this](const InstanceName &Peer,
                            const membership::PeerPayload &Payload) {
                       Peers_.send(Peer, Payload);
                     }),
      Pacer_({}, std::hash<InstanceName>()(Context_.Self_)) {}

void MembershipService::Impl::run() {
  TimePoint NextTick{};
  while (!Stopping_) {
    std::optional<MembershipTask> Task = Context_.Tasks_.popFor(TickInterval);
    if (Task)
      (*Task)();
    TimePoint Now = SchedulerClock::now();
    if (Now < NextTick)
      continue;
    NextTick = Now + TickInterval;
    tick(Now);
  }
}

void MembershipService::Impl::tick(TimePoint Now) {
  Configuration_.tick(Now);
  updateContracts();
  Shares_.tick(Now);
  Peers_.tick(Shares_.members(), Configuration_.view().completeTo(), Now);
  publishEndpointLoads();
  if (Now - LastAssignment_ >= RackAssignmentInterval) {
    LastAssignment_ = Now;
    assignRacks(Now);
    Context_.Dependencies_.Snapshots_.publish(Context_.Snapshot_);
  }
}

/// Adds the loads reported by endpoints to the digests for peers. A newly
/// leaving endpoint is announced at once, so that other instances stop sending
/// to it even while the instance list of the platform is out of date.
void MembershipService::Impl::publishEndpointLoads() {
  for (const auto &[Endpoint, Load] :
       Context_.Dependencies_.Routing_.takeLoads()) {
    Digests_.setLoad(
        {Endpoint, static_cast<std::int32_t>(Load.InFlight_), Load.Leaving_});
    if (!Load.Leaving_) {
      LeavingEndpoints_.erase(Endpoint);
    } else if (LeavingEndpoints_.insert(Endpoint).second) {
      logEvent(LogEvent::EndpointLeft, {{"endpoint", Endpoint.str()}});
      Peers_.sendDigestsSoon();
    }
  }
}

void MembershipService::Impl::updateContracts() {
  RowVersion Version = Configuration_.view().completeTo();
  if (Version == ContractsVersion_)
    return;
  ContractsVersion_ = Version;
  Shares_.setContracts(Configuration_.view().contracts());
}

void MembershipService::Impl::assignRacks(TimePoint Now) {
  std::vector<membership::InstancePlace> Live;
  placement::RacksAssigned Event;
  for (const membership::Member &Member : Shares_.members()) {
    if (Member.State_ != membership::Liveness::Alive)
      continue;
    Live.push_back({Member.Heartbeat_.Instance_, Member.Heartbeat_.Zone_});
    Event.LiveInstances_.push_back(Member.Heartbeat_.Instance_);
  }
  std::map<RackName, ZoneName> Racks;
  for (const ListedInstance &Instance : Context_.Snapshot_.Listed_)
    if (Instance.Role_ == InstanceRole::Worker)
      Racks[Instance.Rack_] = Instance.Zone_;
  std::set<RackName> AssignedRacks;
  for (const auto &[Rack, Zone] : Racks)
    if (membership::schedulerOf(Rack, Zone, Live) == Context_.Self_)
      AssignedRacks.insert(Rack);

  std::erase_if(OwnedRacks_, [&AssignedRacks](const RackName &Rack) {
    return !AssignedRacks.contains(Rack);
  });
  std::set<RackName> NewRacks;
  std::ranges::set_difference(AssignedRacks, OwnedRacks_,
                              std::inserter(NewRacks, NewRacks.end()));
  for (RackName &Rack : Pacer_.due(NewRacks, Now))
    OwnedRacks_.insert(std::move(Rack));
  for (const RackName &Rack : OwnedRacks_)
    Event.Racks_.push_back({Rack, Racks[Rack]});
  Context_.Dependencies_.Placement_.post(std::move(Event));
}

/// Polls the instance list of the platform. Runs on a thread of its own, since
/// a call may block.
void MembershipService::Impl::pollInstanceList() {
  const Settings &Values = Context_.Settings_;
  InstanceListClient Client(Values.Platform_.Address_, Values.Zone_,
                            Values.Platform_.Timeout_);
  TimePoint NextPoll{};
  while (!Stopping_) {
    std::this_thread::sleep_for(TickInterval);
    if (SchedulerClock::now() < NextPoll)
      continue;
    NextPoll = SchedulerClock::now() + ListPollInterval;
    Result<InstanceList> List = Client.read();
    if (List)
      Context_.post(
          [this, List = std::move(*List)] { applyInstanceList(List); });
  }
}

/// Applies \p List. An empty list is treated as a fault of the platform and
/// ignored, since acting on it would stop every service.
void MembershipService::Impl::applyInstanceList(const InstanceList &List) {
  if (List.Instances_.empty())
    return;
  Context_.Snapshot_.Listed_ = List.Instances_;
  Context_.Dependencies_.Routing_.post(
      routing::EndpointsListed{List.Instances_});
  Context_.Dependencies_.Placement_.post(
      placement::WorkersListed{List.Instances_});
}

MembershipService::MembershipService(const Settings &Values,
                                     const MembershipDependencies &Dependencies)
    : Impl_(std::make_unique<Impl>(Values, Dependencies)) {}

MembershipService::~MembershipService() { stop(); }

Status MembershipService::start() {
  if (Status Bound = Impl_->Peers_.start(); !Bound)
    return Bound;
  Impl_->EventThread_ = std::thread([this] { Impl_->run(); });
  Impl_->ListThread_ = std::thread([this] { Impl_->pollInstanceList(); });
  return {};
}

void MembershipService::leave() {
  Impl_->Context_.post([this] { Impl_->Shares_.leave(); });
}

void MembershipService::release() {
  Impl_->Context_.post([this] { Impl_->Shares_.release(); });
  TimePoint Limit = SchedulerClock::now() + MaxReleaseWait;
  while (!Impl_->Shares_.isReleased() && SchedulerClock::now() < Limit)
    std::this_thread::sleep_for(TickInterval);
}

void MembershipService::stop() {
  if (!Impl_->EventThread_.joinable())
    return;
  Impl_->Stopping_ = true;
  Impl_->EventThread_.join();
  Impl_->ListThread_.join();
  Impl_->Peers_.stop();
}

} // namespace filbertspring
