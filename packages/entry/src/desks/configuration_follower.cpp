#include "configuration_follower.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"
#include "filbertspring/platform/row_codec.h"

namespace filbertspring {
namespace {

membership::ConfigurationSyncSettings syncSettings(const Settings &Values) {
  membership::ConfigurationSyncSettings Result;
  Result.PollInterval_ = Values.Configuration_.PollInterval_;
  return Result;
}

const RowKey HeadKey{RowKind::Head, ""};

} // namespace

ConfigurationFollower::ConfigurationFollower(MembershipThread &Thread,
                                             SendToPeer Send)
    : Thread_(Thread), Send_(std::move(Send)),
      Sync_(syncSettings(Thread.Values_)) {}

void ConfigurationFollower::tick(TimePoint Now) {
  (void)Now;
  handle(membership::SyncTick{});
}

void ConfigurationFollower::handle(
    const membership::ConfigurationEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::ConfigurationAction &Action : Sync_.handle(Event, Now))
    perform(Action, Now);
}

void ConfigurationFollower::perform(
    const membership::ConfigurationAction &Action, TimePoint Now) {
  std::visit(
      Overloaded{[&](const membership::ReadHead &) { readHead(Now); },
                 [&](const membership::ScanConfiguration &) { scan(Now); },
                 [this](const membership::RequestDelta &Each) {
                   Send_(Each.Peer_, membership::DeltaRequest{Each.Since_});
                 },
                 [this](const membership::ConfigurationChanged &Each) {
                   publish(Each.Change_);
                 }},
      Action);
}

void ConfigurationFollower::platformAnswered(bool Reachable) {
  if (Thread_.Shown_.PlatformReachable_ == Reachable)
    return;
  Thread_.Shown_.PlatformReachable_ = Reachable;
  logEvent(Reachable ? LogEvent::PlatformRecovered
                     : LogEvent::PlatformUnavailable);
  Thread_.Partners_.Placement_.post(placement::PlatformState{Reachable});
}

void ConfigurationFollower::readHead(TimePoint SentAt) {
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    platformAnswered(Answer.has_value());
    if (!Answer)
      return handle(membership::TableReadFailed{});
    RowVersion Head =
        Answer->Rows_.empty() ? AbsentVersion : Answer->Rows_.front().Version_;
    handle(membership::HeadReadCompleted{Head, SentAt});
    if (Head == AbsentVersion)
      createMissingZones();
  };
  Thread_.Partners_.Table_.post(
      TableRead{{HeadKey}, [this, Handle](const Result<RowBatch> &Answer) {
                  Thread_.post([Handle, Answer] { Handle(Answer); });
                }});
}

void ConfigurationFollower::scan(TimePoint SentAt) {
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    if (!Answer || !Answer->Findings_.empty())
      return handle(membership::TableReadFailed{});
    scanZones(SentAt, Answer->Rows_);
  };
  Thread_.Partners_.Table_.post(TableScan{
      RowKind::Contract, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Thread_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ConfigurationFollower::scanZones(TimePoint SentAt,
                                      const std::vector<StoredRow> &Rows) {
  auto Handle = [this, SentAt, Rows](const Result<RowBatch> &Answer) {
    if (!Answer || !Answer->Findings_.empty())
      return handle(membership::TableReadFailed{});
    std::vector<StoredRow> All = Rows;
    All.insert(All.end(), Answer->Rows_.begin(), Answer->Rows_.end());
    handle(membership::ScanCompleted{std::move(All), SentAt});
    createMissingZones();
  };
  Thread_.Partners_.Table_.post(TableScan{
      RowKind::Zone, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Thread_.post([Handle, Answer] { Handle(Answer); });
      }});
}

/// Stores the zones of the settings that the table does not know, in service.
/// Instances that do so at the same time conflict; one of them wins.
void ConfigurationFollower::createMissingZones() {
  std::vector<ZoneSettings> Missing;
  for (const ZoneSettings &Zone : Thread_.Values_.Zones_)
    if (view().zone(Zone.Name_) == nullptr)
      Missing.push_back(Zone);
  if (Missing.empty() || CreatingZones_)
    return;
  CreatingZones_ = true;
  auto Ended = [this] { Thread_.post([this] { CreatingZones_ = false; }); };
  auto Create = [this, Missing, Ended](const Result<RowBatch> &Head) {
    if (!Head)
      return Ended();
    Thread_.Partners_.Table_.post(
        TableCommit{zoneCreation(Missing, Head->Rows_),
                    [Ended](const CommitResult &) { Ended(); }});
  };
  Thread_.Partners_.Table_.post(TableRead{{HeadKey}, std::move(Create)});
}

Transaction
ConfigurationFollower::zoneCreation(const std::vector<ZoneSettings> &Missing,
                                    const std::vector<StoredRow> &Head) const {
  Transaction Request;
  Request.Id_ = TransactionId("zones-" + Thread_.Boot_);
  RowVersion Version = AbsentVersion;
  HeadRecord Next;
  if (!Head.empty()) {
    Version = Head.front().Version_;
    Next = std::get<HeadRecord>(Head.front().Value_);
  }
  ++Next.Changes_;
  Next.ChangedBy_ = Thread_.Self_.str();
  Request.Changes_.push_back({HeadKey, Version, Next});
  for (const ZoneSettings &Zone : Missing) {
    AvailabilityZone Row{Zone.Name_, Zone.Region_, ZoneState::InService,
                         Thread_.Self_.str(), "first seen in the settings"};
    Request.Changes_.push_back(
        {{RowKind::Zone, Zone.Name_.str()}, AbsentVersion, Row});
  }
  return Request;
}

void ConfigurationFollower::publish(
    const membership::ConfigurationChange &Change) {
  std::vector<AvailabilityZone> Zones = view().zones();
  std::vector<Contract> Contracts = view().contracts();
  Thread_.Shown_.Configured_ = view().ready();
  Thread_.Shown_.Head_ = view().completeTo();
  Thread_.Shown_.Contracts_ = Contracts;
  Thread_.Shown_.Zones_ = Zones;
  Thread_.Partners_.Board_.publish(Thread_.Shown_);
  for (const AvailabilityZone &Zone : Zones)
    Thread_.Partners_.Routes_.post(
        routing::ZoneChanged{Zone.Name_, Zone.inService()});
  Thread_.Partners_.Routes_.post(
      routing::ContractsChanged{std::move(Contracts)});
  logEvent(LogEvent::ConfigurationAdopted,
           {{"head", view().completeTo()},
            {"rows", static_cast<std::int64_t>(Change.ChangedKeys_.size())}});
}

void ConfigurationFollower::peerCompleteTo(const InstanceName &Peer,
                                           RowVersion Version) {
  handle(membership::PeerVersionReported{Peer, Version});
}

void ConfigurationFollower::deltaRequested(
    const InstanceName &Peer, const membership::DeltaRequest &Request) {
  Result<membership::ConfigurationDelta> Delta = view().delta(Request.Since_);
  if (!Delta)
    return;
  membership::EncodedDelta Encoded{Delta->Since_, Delta->CompleteTo_, {}};
  for (const StoredRow &Row : Delta->Rows_) {
    Result<std::string> Value = encodeRowValue(Row.Value_);
    if (!Value)
      return; // Without this row the delta would not be complete.
    Encoded.Rows_.push_back({Row.Key_, Row.Version_, std::move(*Value)});
  }
  Send_(Peer, Encoded);
}

void ConfigurationFollower::deltaReceived(
    const InstanceName &Peer, const membership::EncodedDelta &Encoded) {
  membership::ConfigurationDelta Delta{Encoded.Since_, Encoded.CompleteTo_, {}};
  for (const membership::EncodedRow &Row : Encoded.Rows_) {
    Result<RowValue> Value = decodeRowValue(Row.Key_.Kind_, Row.Value_);
    if (!Value)
      return;
    Delta.Rows_.push_back(
        {Row.Key_, Row.Version_, TransactionId(), std::move(*Value)});
  }
  handle(membership::DeltaReceived{Peer, std::move(Delta)});
}

} // namespace filbertspring
