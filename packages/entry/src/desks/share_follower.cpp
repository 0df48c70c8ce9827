#include "share_follower.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>

namespace filbertspring {
namespace {

constexpr Duration SampleInterval = std::chrono::seconds(1);
constexpr Duration ScanInterval = std::chrono::seconds(2);

HeartbeatRecord ownRecord(const MembershipThread &Thread) {
  HeartbeatRecord Record;
  Record.Instance_ = Thread.Self_;
  Record.Zone_ = Thread.Values_.Zone_;
  Record.Http_ = Thread.Values_.Listen_.Http_;
  Record.Peer_ = Thread.Values_.Listen_.Peer_;
  return Record;
}

membership::ShareSettings shareSettings(const Settings &Values) {
  membership::ShareSettings Result;
  Result.WriteInterval_ =
      std::max(Result.WriteInterval_, Values.Shares_.RebalanceInterval_);
  return Result;
}

/// Returns the smallest share that lets one request of each service through.
std::int32_t stepOf(const Contract &Terms) {
  std::int64_t Smallest = WholeLimitPermille;
  for (const ServiceTerms &Service : Terms.Services_)
    Smallest =
        std::min({Smallest, Service.Concurrency_, Service.RatePerSecond_});
  return static_cast<std::int32_t>((WholeLimitPermille + Smallest - 1) /
                                   std::max<std::int64_t>(Smallest, 1));
}

} // namespace

ShareFollower::ShareFollower(MembershipThread &Thread,
                             membership::DigestBuilder &Digests)
    : Thread_(Thread), Digests_(Digests),
      Heartbeat_(ownRecord(Thread), Thread.Boot_, Thread.Lease_),
      Liveness_(Thread.Lease_),
      Shares_(Thread.Self_, Thread.Boot_, shareSettings(Thread.Values_)) {}

std::vector<membership::Member> ShareFollower::members() const {
  return Liveness_.members(SchedulerClock::now());
}

void ShareFollower::tick(TimePoint Now) {
  handleHeartbeat(membership::HeartbeatTick{});
  if (Now - LastScan_ >= ScanInterval) {
    LastScan_ = Now;
    scanHeartbeats();
    deleteLapsedRows(Now);
  }
  if (Now - LastSample_ >= SampleInterval)
    sampleDemand(Now);
  handleShare(membership::ShareTick{&Liveness_});
  publishGrants(Now);
}

void ShareFollower::contractsInForce(const std::vector<Contract> &Contracts) {
  Contracts_ = Contracts;
  membership::ContractsInForce Event;
  for (const Contract &Terms : Contracts)
    if (!Terms.Services_.empty())
      Event.Contracts_.push_back({Terms.Name_, stepOf(Terms)});
  handleShare(Event);
}

void ShareFollower::demandsObserved(
    const std::vector<membership::DemandEntry> &Demands) {
  for (const membership::DemandEntry &Each : Demands)
    handleShare(membership::DemandObserved{Each.Contract_,
                                           {Each.Instance_, Each.Permille_}});
}

void ShareFollower::leave() { handleHeartbeat(membership::LeaveRequested{}); }

void ShareFollower::release() {
  handleShare(membership::ShareStopRequested{});
  handleHeartbeat(membership::StopRequested{});
}

void ShareFollower::handleHeartbeat(const membership::HeartbeatEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::HeartbeatAction &Action :
       Heartbeat_.handle(Event, Now))
    std::visit(Overloaded{[this](const membership::ReadOwnHeartbeat &) {
                            readOwnHeartbeat();
                          },
                          [this](const membership::CommitHeartbeat &Each) {
                            commitHeartbeat(Each.Request_);
                          }},
               Action);
  handleShare(membership::LeaseChanged{Heartbeat_.lease()});
}

void ShareFollower::commitHeartbeat(const Transaction &Request) {
  auto Handle = [this, Id = Request.Id_](const CommitResult &Result) {
    handleHeartbeat(membership::HeartbeatCommitEnded{Id, Result});
  };
  Thread_.Partners_.Table_.post(
      TableCommit{Request, [this, Handle](const CommitResult &Result) {
                    Thread_.post([Handle, Result] { Handle(Result); });
                  }});
}

void ShareFollower::readOwnHeartbeat() {
  auto Handle = [this](const Result<RowBatch> &Answer) {
    if (!Answer)
      return;
    std::optional<StoredRow> Row;
    if (!Answer->Rows_.empty())
      Row = Answer->Rows_.front();
    handleHeartbeat(membership::OwnHeartbeatRead{std::move(Row)});
  };
  RowKey Key{RowKind::Heartbeat, Thread_.Self_.str()};
  Thread_.Partners_.Table_.post(
      TableRead{{Key}, [this, Handle](const Result<RowBatch> &Answer) {
                  Thread_.post([Handle, Answer] { Handle(Answer); });
                }});
}

void ShareFollower::scanHeartbeats() {
  TimePoint SentAt = SchedulerClock::now();
  auto Handle = [this, SentAt](const Result<RowBatch> &Answer) {
    if (Answer && Answer->Findings_.empty())
      Liveness_.handle({SentAt, Answer->Rows_}, SchedulerClock::now());
  };
  Thread_.Partners_.Table_.post(TableScan{
      RowKind::Heartbeat, {}, [this, Handle](const Result<RowBatch> &Answer) {
        Thread_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ShareFollower::handleShare(const membership::ShareEvent &Event) {
  TimePoint Now = SchedulerClock::now();
  for (const membership::ShareAction &Action : Shares_.handle(Event, Now))
    std::visit(Overloaded{[&](const membership::ReadLedgers &Each) {
                            readLedgers(Each.Contracts_, Now);
                          },
                          [this](const membership::CommitLedger &Each) {
                            commitLedger(Each.Request_);
                          }},
               Action);
}

void ShareFollower::readLedgers(const std::vector<ContractName> &Contracts,
                                TimePoint SentAt) {
  std::vector<RowKey> Keys;
  Keys.reserve(Contracts.size());
  for (const ContractName &Each : Contracts)
    Keys.push_back({RowKind::ShareLedger, Each.str()});
  auto Handle = [this, SentAt, Contracts](const Result<RowBatch> &Answer) {
    if (Answer && Answer->Findings_.empty())
      handleShare(membership::LedgersRead{SentAt, Contracts, Answer->Rows_});
  };
  Thread_.Partners_.Table_.post(TableRead{
      std::move(Keys), [this, Handle](const Result<RowBatch> &Answer) {
        Thread_.post([Handle, Answer] { Handle(Answer); });
      }});
}

void ShareFollower::commitLedger(const Transaction &Request) {
  auto Handle = [this, Id = Request.Id_](const CommitResult &Result) {
    handleShare(membership::LedgerCommitEnded{Id, Result});
  };
  Thread_.Partners_.Table_.post(
      TableCommit{Request, [this, Handle](const CommitResult &Result) {
                    Thread_.post([Handle, Result] { Handle(Result); });
                  }});
}

void ShareFollower::sampleDemand(TimePoint Now) {
  double Seconds = std::chrono::duration<double>(Now - LastSample_).count();
  LastSample_ = Now;
  for (const Contract &Terms : Contracts_) {
    DemandSample Sample = Thread_.Partners_.Demand_.sample(Terms, Seconds);
    Digests_.setDemand(Terms.Name_, Sample.Demand_);
    handleShare(membership::DemandObserved{Terms.Name_,
                                           {Thread_.Self_, Sample.Demand_}});
    handleShare(membership::UsageObserved{Terms.Name_, Sample.InUse_});
  }
}

void ShareFollower::publishGrants(TimePoint Now) {
  for (const Contract &Terms : Contracts_) {
    membership::ShareGrant Grant = Shares_.grant(Terms.Name_, Now);
    membership::ShareGrant &Last = Published_[Terms.Name_];
    bool Same =
        Grant.Permille_ == Last.Permille_ && Grant.Until_ == Last.Until_;
    if (Same)
      continue;
    Last = Grant;
    Thread_.Partners_.Routes_.postShare(Terms.Name_, Grant.Permille_,
                                        Grant.Until_);
  }
}

/// Removes the rows of processes whose lease has surely ended, so that they do
/// not add up.
void ShareFollower::deleteLapsedRows(TimePoint Now) {
  for (const membership::Member &Each : Liveness_.members(Now)) {
    if (Each.State_ != membership::Liveness::Lapsed)
      continue;
    RowKey Key{RowKind::Heartbeat, Each.Heartbeat_.Instance_.str()};
    TransactionId Id("heartbeat-delete-" + Key.Name_);
    Thread_.Partners_.Table_.post(
        TableCommit{{Id, {}, {{Key, Each.Version_, std::nullopt}}},
                    [](const CommitResult &) {}});
  }
}

} // namespace filbertspring
