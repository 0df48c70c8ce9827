#include "membership_desk.h"

#include "configuration_follower.h"
#include "membership_thread.h"
#include "peer_follower.h"
#include "share_follower.h"

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
constexpr Duration ListInterval = std::chrono::seconds(1);
constexpr Duration AssignInterval = std::chrono::seconds(1);
/// How long release() waits for the table to take shares and heartbeat back.
constexpr Duration ReleaseTime = std::chrono::milliseconds(1500);

} // namespace

struct MembershipDesk::Impl {
  Impl(const Settings &Values, const MembershipPartners &Partners);

  void run();
  void tick(TimePoint Now);
  void takeLoads();
  void followContracts();
  void assignRacks(TimePoint Now);
  void readLists();
  void adoptList(const InstanceList &List);

  MembershipThread Thread_;
  membership::DigestBuilder Digests_;
  ShareFollower Shares_;
  PeerFollower Peers_;
  ConfigurationFollower Configuration_;
  membership::TakeoverPacer Pacer_;
  std::set<RackName> Granted_;
  std::set<EndpointName> Leaving_;
  RowVersion ContractsVersion_ = -1;
  TimePoint LastAssign_{};
  std::atomic<bool> Stopping_{false};
  std::thread Runner_;
  std::thread Lister_;
};

MembershipDesk::Impl::Impl(const Settings &Values,
                           const MembershipPartners &Partners)
    : Thread_(Values, Partners),
      Digests_(Thread_.Place_, static_cast<std::uint64_t>(wallMilliseconds())),
      Shares_(Thread_, Digests_),
      Peers_(Thread_, Digests_,
             {[this](const InstanceName &Peer, RowVersion Version) {
                Configuration_.peerCompleteTo(Peer, Version);
              },
              [this](const InstanceName &Peer,
                     const membership::DeltaRequest &Request) {
                Configuration_.deltaRequested(Peer, Request);
              },
              [this](const InstanceName &Peer,
                     const membership::EncodedDelta &Delta) {
                Configuration_.deltaReceived(Peer, Delta);
              },
              [this](const std::vector<membership::DemandEntry> &Demands) {
                Shares_.demandsObserved(Demands);
              }}),
      Configuration_(Thread_,
                     [this](const InstanceName &Peer,
                            const membership::PeerPayload &Payload) {
                       Peers_.send(Peer, Payload);
                     }),
      Pacer_({}, std::hash<InstanceName>()(Thread_.Self_)) {}

void MembershipDesk::Impl::run() {
  TimePoint NextTick{};
  while (!Stopping_) {
    std::optional<MembershipTask> Task = Thread_.Tasks_.popFor(TickInterval);
    if (Task)
      (*Task)();
    TimePoint Now = SchedulerClock::now();
    if (Now < NextTick)
      continue;
    NextTick = Now + TickInterval;
    tick(Now);
  }
}

void MembershipDesk::Impl::tick(TimePoint Now) {
  Configuration_.tick(Now);
  followContracts();
  Shares_.tick(Now);
  Peers_.tick(Shares_.members(), Configuration_.view().completeTo(), Now);
  takeLoads();
  if (Now - LastAssign_ >= AssignInterval) {
    LastAssign_ = Now;
    assignRacks(Now);
    Thread_.Partners_.Board_.publish(Thread_.Shown_);
  }
}

/// Passes on what the endpoints said. One that is leaving is told at once, so
/// that no instance goes on sending to it while the platform's list lags.
void MembershipDesk::Impl::takeLoads() {
  for (const auto &[Endpoint, Load] : Thread_.Partners_.Routes_.takeLoads()) {
    Digests_.setLoad(
        {Endpoint, static_cast<std::int32_t>(Load.InFlight_), Load.Leaving_});
    if (!Load.Leaving_) {
      Leaving_.erase(Endpoint);
    } else if (Leaving_.insert(Endpoint).second) {
      logEvent(LogEvent::EndpointLeft, {{"endpoint", Endpoint.str()}});
      Peers_.tellSoon();
    }
  }
}

void MembershipDesk::Impl::followContracts() {
  RowVersion Version = Configuration_.view().completeTo();
  if (Version == ContractsVersion_)
    return;
  ContractsVersion_ = Version;
  Shares_.contractsInForce(Configuration_.view().contracts());
}

void MembershipDesk::Impl::assignRacks(TimePoint Now) {
  std::vector<membership::InstancePlace> Live;
  placement::RacksAssigned Event;
  for (const membership::Member &Each : Shares_.members()) {
    if (Each.State_ != membership::Liveness::Alive)
      continue;
    Live.push_back({Each.Heartbeat_.Instance_, Each.Heartbeat_.Zone_});
    Event.LiveInstances_.push_back(Each.Heartbeat_.Instance_);
  }
  std::map<RackName, ZoneName> Racks;
  for (const ListedInstance &Each : Thread_.Shown_.Listed_)
    if (Each.Role_ == InstanceRole::Worker)
      Racks[Each.Rack_] = Each.Zone_;
  std::set<RackName> Mine;
  for (const auto &[Rack, Zone] : Racks)
    if (membership::schedulerOf(Rack, Zone, Live) == Thread_.Self_)
      Mine.insert(Rack);

  std::erase_if(Granted_,
                [&Mine](const RackName &Rack) { return !Mine.contains(Rack); });
  std::set<RackName> Wanted;
  std::ranges::set_difference(Mine, Granted_,
                              std::inserter(Wanted, Wanted.end()));
  for (RackName &Rack : Pacer_.due(Wanted, Now))
    Granted_.insert(std::move(Rack));
  for (const RackName &Rack : Granted_)
    Event.Racks_.push_back({Rack, Racks[Rack]});
  Thread_.Partners_.Placement_.post(std::move(Event));
}

/// Reads the platform's list on a thread of its own, since a call may block.
void MembershipDesk::Impl::readLists() {
  const Settings &Values = Thread_.Values_;
  InstanceListClient Client(Values.Platform_.Address_, Values.Zone_,
                            Values.Platform_.Timeout_);
  TimePoint Next{};
  while (!Stopping_) {
    std::this_thread::sleep_for(TickInterval);
    if (SchedulerClock::now() < Next)
      continue;
    Next = SchedulerClock::now() + ListInterval;
    Result<InstanceList> List = Client.read();
    if (List)
      Thread_.post([this, List = std::move(*List)] { adoptList(List); });
  }
}

/// A list that shows nothing at all, after one that did, is taken for a fault
/// of the platform: acting on it would stop every service.
void MembershipDesk::Impl::adoptList(const InstanceList &List) {
  if (List.Instances_.empty())
    return;
  Thread_.Shown_.Listed_ = List.Instances_;
  Thread_.Partners_.Routes_.post(routing::EndpointsListed{List.Instances_});
  Thread_.Partners_.Placement_.post(placement::WorkersListed{List.Instances_});
}

MembershipDesk::MembershipDesk(const Settings &Values,
                               const MembershipPartners &Partners)
    : Impl_(std::make_unique<Impl>(Values, Partners)) {}

MembershipDesk::~MembershipDesk() { stop(); }

Status MembershipDesk::start() {
  if (Status Bound = Impl_->Peers_.start(); !Bound)
    return Bound;
  Impl_->Runner_ = std::thread([this] { Impl_->run(); });
  Impl_->Lister_ = std::thread([this] { Impl_->readLists(); });
  return {};
}

void MembershipDesk::leave() {
  Impl_->Thread_.post([this] { Impl_->Shares_.leave(); });
}

void MembershipDesk::release() {
  Impl_->Thread_.post([this] { Impl_->Shares_.release(); });
  std::this_thread::sleep_for(ReleaseTime);
}

void MembershipDesk::stop() {
  if (!Impl_->Runner_.joinable())
    return;
  Impl_->Stopping_ = true;
  Impl_->Runner_.join();
  Impl_->Lister_.join();
  Impl_->Peers_.stop();
}

} // namespace filbertspring
