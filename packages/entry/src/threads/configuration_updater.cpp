#include "configuration_updater.h"

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

const RowKey ConfigurationHeadKey{RowKind::Head, ""};

} // namespace

ConfigurationUpdater::ConfigurationUpdater(MembershipContext &Context,
                                           SendToPeer Send)
    : Context_(Context), Send_(std::move(Send)),
      Sync_(syncSettings(Context.Settings_)) {}

void ConfigurationUpdater::tick(TimePoint Now) {
  (void)Now;
  handle(membership::SyncTick{});
}

void ConfigurationUpdater::handle(const membership::ConfigurationEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::ConfigurationAction &Action : Sync_.handle(Event, Now))
    perform(Action, Now);
}

void ConfigurationUpdater::perform(
    const membership::ConfigurationAction &Action, TimePoint Now) {
  std::visit(
      Overloaded{[&](const membership::ReadHead &) { readHead(Now); },
                 [&](const membership::ScanConfiguration &) { scan(Now); },
                 [this](const membership::RequestDelta &Request) {
                   Send_(Request.Peer_,
                         membership::DeltaRequest{Request.Since_});
                 },
                 [this](const membership::ConfigurationChanged &Changed) {
                   publish(Changed.Change_);
                 }},
      Action);
}

void ConfigurationUpdater::recordPlatformState(bool Reachable) {
  if (Context_.Snapshot_.PlatformReachable_ == Reachable)
    return;
  Context_.Snapshot_.PlatformReachable_ = Reachable;
  logEvent(Reachable ? LogEvent::PlatformRecovered
                     : LogEvent::PlatformUnavailable);
  Context_.Dependencies_.Placement_.post(placement::PlatformState{Reachable});
}

void ConfigurationUpdater::readHead(TimePoint SentAt) {
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    recordPlatformState(Answer.has_value());
    if (!Answer)
      return handle(membership::TableReadFailed{});
    RowVersion Head =
        Answer->Rows_.empty() ? AbsentVersion : Answer->Rows_.front().Version_;
    handle(membership::HeadReadCompleted{Head, SentAt});
    if (Head == AbsentVersion)
      createMissingZones();
  };
  Context_.Dependencies_.Table_.post(TableRead{
      {ConfigurationHeadKey}, [this, Handle](const Result<RowBatch> &Answer) {
        Context_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ConfigurationUpdater::scan(TimePoint SentAt) {
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    if (!Answer || !Answer->Findings_.empty())
      return handle(membership::TableReadFailed{});
    scanZones(SentAt, Answer->Rows_);
  };
  Context_.Dependencies_.Table_.post(TableScan{
      RowKind::Contract, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Context_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ConfigurationUpdater::scanZones(TimePoint SentAt,
                                     const std::vector<StoredRow> &Rows) {
  auto Handle = [this, SentAt, Rows](const Result<RowBatch> &Answer) {
    if (!Answer || !Answer->Findings_.empty())
      return handle(membership::TableReadFailed{});
    std::vector<StoredRow> ContractsAndZones = Rows;
    ContractsAndZones.insert(ContractsAndZones.end(), Answer->Rows_.begin(),
                             Answer->Rows_.end());
    handle(membership::ScanCompleted{std::move(ContractsAndZones), SentAt});
    createMissingZones();
  };
  Context_.Dependencies_.Table_.post(TableScan{
      RowKind::Zone, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Context_.post([Handle, Answer] { Handle(Answer); });
      }});
}

/// Stores the availability zones of the settings that are missing in the table,
/// with the state in-service. If several instances do so at the same time,
/// their transactions conflict and one of them commits.
void ConfigurationUpdater::createMissingZones() {
  std::vector<ZoneSettings> Missing;
  for (const ZoneSettings &Zone : Context_.Settings_.Zones_)
    if (view().zone(Zone.Name_) == nullptr)
      Missing.push_back(Zone);
  if (Missing.empty() || CreatingZones_)
    return;
  CreatingZones_ = true;
  auto FinishCreation = [this] {
    Context_.post([this] { CreatingZones_ = false; });
  };
  auto CreateZones = [this, Missing,
                      FinishCreation](const Result<RowBatch> &Head) {
    if (!Head)
      return FinishCreation();
    Context_.Dependencies_.Table_.post(TableCommit{
        zoneCreation(Missing, Head->Rows_),
        [FinishCreation](const CommitResult &) { FinishCreation(); }});
  };
  Context_.Dependencies_.Table_.post(
      TableRead{{ConfigurationHeadKey}, std::move(CreateZones)});
}

Transaction
ConfigurationUpdater::zoneCreation(const std::vector<ZoneSettings> &Missing,
                                   const std::vector<StoredRow> &Head) const {
  Transaction Request;
  Request.Id_ = TransactionId("zones-" + Context_.BootId_);
  RowVersion Version = AbsentVersion;
  HeadRecord HeadValue;
  if (!Head.empty()) {
    Version = Head.front().Version_;
    HeadValue = std::get<HeadRecord>(Head.front().Value_);
  }
  ++HeadValue.Changes_;
  HeadValue.ChangedBy_ = Context_.Self_.str();
  Request.Changes_.push_back({ConfigurationHeadKey, Version, HeadValue});
  for (const ZoneSettings &Zone : Missing) {
    AvailabilityZone Row{Zone.Name_, Zone.Region_, ZoneState::InService,
                         Context_.Self_.str(), "first seen in the settings"};
    Request.Changes_.push_back(
        {{RowKind::Zone, Zone.Name_.str()}, AbsentVersion, Row});
  }
  return Request;
}

void ConfigurationUpdater::publish(
    const membership::ConfigurationChange &Change) {
  std::vector<AvailabilityZone> Zones = view().zones();
  std::vector<Contract> Contracts = view().contracts();
  Context_.Snapshot_.Configured_ = view().ready();
  Context_.Snapshot_.Head_ = view().completeTo();
  Context_.Snapshot_.Contracts_ = Contracts;
  Context_.Snapshot_.Zones_ = Zones;
  Context_.Dependencies_.Snapshots_.publish(Context_.Snapshot_);
  for (const AvailabilityZone &Zone : Zones)
    Context_.Dependencies_.Routing_.post(
        routing::ZoneChanged{Zone.Name_, Zone.inService()});
  Context_.Dependencies_.Routing_.post(
      routing::ContractsChanged{std::move(Contracts)});
  logEvent(LogEvent::ConfigurationAdopted,
           {{"head", view().completeTo()},
            {"rows", static_cast<std::int64_t>(Change.ChangedKeys_.size())}});
}

void ConfigurationUpdater::handlePeerCompleteTo(const InstanceName &Peer,
                                                RowVersion Version) {
  handle(membership::PeerVersionReported{Peer, Version});
}

void ConfigurationUpdater::handleDeltaRequest(
    const InstanceName &Peer, const membership::DeltaRequest &Request) {
  Result<membership::ConfigurationDelta> Delta = view().delta(Request.Since_);
  if (!Delta)
    return;
  membership::EncodedDelta Encoded{Delta->Since_, Delta->CompleteTo_, {}};
  for (const StoredRow &Row : Delta->Rows_) {
    Result<std::string> Value = encodeRowValue(Row.Value_);
    if (!Value)
      return; // Without this row the delta would be incomplete.
    Encoded.Rows_.push_back({Row.Key_, Row.Version_, std::move(*Value)});
  }
  Send_(Peer, Encoded);
}

void ConfigurationUpdater::handleDelta(
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
