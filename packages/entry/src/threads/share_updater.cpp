#include "share_updater.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>

namespace filbertspring {
namespace {

constexpr Duration DemandSampleInterval = std::chrono::seconds(1);
constexpr Duration HeartbeatScanInterval = std::chrono::seconds(2);

HeartbeatRecord makeHeartbeatRecord(const MembershipContext &Context) {
  HeartbeatRecord Record;
  Record.Instance_ = Context.Self_;
  Record.Zone_ = Context.Settings_.Zone_;
  Record.Http_ = Context.Settings_.Listen_.Http_;
  Record.Peer_ = Context.Settings_.Listen_.Peer_;
  return Record;
}

membership::ShareSettings shareSettings(const Settings &Values) {
  membership::ShareSettings Result;
  Result.WriteInterval_ =
      std::max(Result.WriteInterval_, Values.Shares_.RebalanceInterval_);
  return Result;
}

/// Returns the smallest share, in permille, that admits one request of each
/// service.
std::int32_t smallestUsableShare(const Contract &Terms) {
  std::int64_t Smallest = WholeLimitPermille;
  for (const ServiceTerms &Service : Terms.Services_)
    Smallest =
        std::min({Smallest, Service.Concurrency_, Service.RatePerSecond_});
  return static_cast<std::int32_t>((WholeLimitPermille + Smallest - 1) /
                                   std::max<std::int64_t>(Smallest, 1));
}

} // namespace

ShareUpdater::ShareUpdater(MembershipContext &Context,
                           membership::DigestBuilder &Digests)
    : Context_(Context), Digests_(Digests),
      Heartbeat_(makeHeartbeatRecord(Context), Context.BootId_, Context.Lease_),
      Liveness_(Context.Lease_), Shares_(Context.Self_, Context.BootId_,
                                         shareSettings(Context.Settings_)) {}

std::vector<membership::Member> ShareUpdater::members() const {
  return Liveness_.members(SchedulerClock::now());
}

void ShareUpdater::tick(TimePoint Now) {
  handleHeartbeat(membership::HeartbeatTick{});
  if (Now - LastHeartbeatScan_ >= HeartbeatScanInterval) {
    LastHeartbeatScan_ = Now;
    scanHeartbeats();
    deleteLapsedRows(Now);
  }
  if (Now - LastDemandSample_ >= DemandSampleInterval)
    sampleDemand(Now);
  handleShare(membership::ShareTick{&Liveness_});
  continueRelease();
  publishGrants(Now);
}

void ShareUpdater::setContracts(const std::vector<Contract> &Contracts) {
  Contracts_ = Contracts;
  membership::ContractsInForce Event;
  for (const Contract &Terms : Contracts)
    if (!Terms.Services_.empty())
      Event.Contracts_.push_back({Terms.Name_, smallestUsableShare(Terms)});
  handleShare(Event);
}

void ShareUpdater::handlePeerDemands(
    const std::vector<membership::DemandEntry> &Demands) {
  for (const membership::DemandEntry &Demand : Demands)
    handleShare(membership::DemandObserved{
        Demand.Contract_, {Demand.Instance_, Demand.Permille_}});
}

void ShareUpdater::leave() { handleHeartbeat(membership::LeaveRequested{}); }

void ShareUpdater::release() {
  IsReleasing_ = true;
  handleShare(membership::ShareStopRequested{});
}

/// Deletes the heartbeat row once the shares are released: the release is
/// written under the lease, which ends with the row.
void ShareUpdater::continueRelease() {
  if (!IsReleasing_ || !Shares_.isReleased())
    return;
  IsReleasing_ = false;
  handleHeartbeat(membership::StopRequested{});
}

void ShareUpdater::handleHeartbeat(const membership::HeartbeatEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::HeartbeatAction &Action :
       Heartbeat_.handle(Event, Now))
    std::visit(Overloaded{[this](const membership::ReadOwnHeartbeat &) {
                            readOwnHeartbeat();
                          },
                          [this](const membership::CommitHeartbeat &Commit) {
                            commitHeartbeat(Commit.Request_);
                          }},
               Action);
  handleShare(membership::LeaseChanged{Heartbeat_.lease()});
}

void ShareUpdater::commitHeartbeat(const Transaction &Request) {
  auto Handle = [this, Id = Request.Id_](const CommitResult &Result) {
    handleHeartbeat(membership::HeartbeatCommitEnded{Id, Result});
    IsReleased_ = Heartbeat_.isReleased();
  };
  Context_.Dependencies_.Table_.post(
      TableCommit{Request, [this, Handle](const CommitResult &Result) {
                    Context_.post([Handle, Result] { Handle(Result); });
                  }});
}

void ShareUpdater::readOwnHeartbeat() {
  auto Handle = [this](const Result<RowBatch> &Answer) {
    if (!Answer)
      return;
    std::optional<StoredRow> Row;
    if (!Answer->Rows_.empty())
      Row = Answer->Rows_.front();
    handleHeartbeat(membership::OwnHeartbeatRead{std::move(Row)});
  };
  RowKey Key{RowKind::Heartbeat, Context_.Self_.str()};
  Context_.Dependencies_.Table_.post(
      TableRead{{Key}, [this, Handle](const Result<RowBatch> &Answer) {
                  Context_.post([Handle, Answer] { Handle(Answer); });
                }});
}

void ShareUpdater::scanHeartbeats() {
  TimePoint SentAt = SchedulerClock::now();
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    if (Answer && Answer->Findings_.empty())
      Liveness_.handle({SentAt, Answer->Rows_}, SchedulerClock::now());
  };
  Context_.Dependencies_.Table_.post(TableScan{
      RowKind::Heartbeat, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Context_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ShareUpdater::handleShare(const membership::ShareEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::ShareAction &Action : Shares_.handle(Event, Now))
    std::visit(Overloaded{[&](const membership::ReadLedgers &Read) {
                            readLedgers(Read.Contracts_, Now);
                          },
                          [this](const membership::CommitLedger &Commit) {
                            commitLedger(Commit.Request_);
                          }},
               Action);
}

void ShareUpdater::readLedgers(const std::vector<ContractName> &Contracts,
                               TimePoint SentAt) {
  std::vector<RowKey> Keys;
  Keys.reserve(Contracts.size());
  for (const ContractName &Contract : Contracts)
    Keys.push_back({RowKind::ShareLedger, Contract.str()});
  auto Handle = [this, SentAt, Contracts](const Result<RowBatch> &Answer) {
    if (Answer && Answer->Findings_.empty())
      handleShare(membership::LedgersRead{SentAt, Contracts, Answer->Rows_});
  };
  Context_.Dependencies_.Table_.post(TableRead{
      std::move(Keys), [this, Handle](const Result<RowBatch> &Answer) {
        Context_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ShareUpdater::commitLedger(const Transaction &Request) {
  auto Handle = [this, Id = Request.Id_](const CommitResult &Result) {
    handleShare(membership::LedgerCommitEnded{Id, Result});
  };
  Context_.Dependencies_.Table_.post(
      TableCommit{Request, [this, Handle](const CommitResult &Result) {
                    Context_.post([Handle, Result] { Handle(Result); });
                  }});
}

void ShareUpdater::sampleDemand(TimePoint Now) {
  double Seconds =
      std::chrono::duration<double>(Now - LastDemandSample_).count();
  LastDemandSample_ = Now;
  for (const Contract &Terms : Contracts_) {
    DemandSample Sample = Context_.Dependencies_.Demand_.sample(Terms, Seconds);
    Digests_.setDemand(Terms.Name_, Sample.Demand_);
    handleShare(membership::DemandObserved{Terms.Name_,
                                           {Context_.Self_, Sample.Demand_}});
    handleShare(membership::UsageObserved{Terms.Name_, Sample.InUse_});
  }
}

void ShareUpdater::publishGrants(TimePoint Now) {
  for (const Contract &Terms : Contracts_) {
    membership::ShareGrant Grant = Shares_.grant(Terms.Name_, Now);
    membership::ShareGrant &Published = PublishedGrants_[Terms.Name_];
    bool Unchanged = Grant.Permille_ == Published.Permille_ &&
                     Grant.Until_ == Published.Until_;
    if (Unchanged)
      continue;
    Published = Grant;
    Context_.Dependencies_.Routing_.postShare(Terms.Name_, Grant.Permille_,
                                              Grant.Until_);
  }
}

/// Deletes the heartbeat rows of processes whose lease has certainly expired,
/// so that rows of ended processes do not accumulate.
void ShareUpdater::deleteLapsedRows(TimePoint Now) {
  for (const membership::Member &Member : Liveness_.members(Now)) {
    if (Member.State_ != membership::Liveness::Lapsed)
      continue;
    RowKey Key{RowKind::Heartbeat, Member.Heartbeat_.Instance_.str()};
    TransactionId Id("heartbeat-delete-" + Key.Name_);
    Context_.Dependencies_.Table_.post(
        TableCommit{{Id, {}, {{Key, Member.Version_, std::nullopt}}},
                    [](const CommitResult &) {}});
  }
}

} // namespace filbertspring
