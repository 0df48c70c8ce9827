#include "grant_planner.h"

#include "table_reads.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

using LedgerRow = Versioned<QuotaLedgerRecord>;

Resources quotaOf(const SchedulerCore &Core, const ContractName &Contract) {
  const auto *Row = findRow(Core.Table_.Contracts_, Contract);
  if (Row == nullptr || Row->Value_.Removed_ || !Row->Value_.Terms_.Batch_)
    return {};
  return Row->Value_.Terms_.Batch_->Quota_;
}

/// Returns the ledger of \p Contract, or null when it is unknown or another
/// transaction writes it. Requests a read of an unknown ledger.
const LedgerRow *usableLedger(SchedulerCore &Core,
                              const ContractName &Contract) {
  const LedgerRow *Row = findRow(Core.Table_.Ledgers_, Contract);
  if (Row == nullptr)
    requestRow(Core, {RowKind::QuotaLedger, Contract.str()});
  bool Locked = Core.LockedLedgers_.contains(Contract);
  return Locked ? nullptr : Row;
}

/// Returns the new amount of one resource of a grant: at least \p Need. A grant
/// that grows does so by at least a chunk of the quota if enough is left.
template <typename Unit>
Unit grownAmount(Unit Granted, Unit Need, Unit Left, Unit Quota,
                 std::int64_t ChunkDivisor) {
  if (Need <= Granted)
    return Granted;
  Unit Chunk(Quota.count() / ChunkDivisor);
  Unit Available = Granted + Left;
  return std::min(std::max(Need, Granted + Chunk), std::max(Available, Need));
}

Resources grownGrant(const Resources &Granted, const Resources &Need,
                     const Resources &Left, const Resources &Quota,
                     std::int64_t Divisor) {
  return {grownAmount(Granted.Cpu_, Need.Cpu_, Left.Cpu_, Quota.Cpu_, Divisor),
          grownAmount(Granted.Memory_, Need.Memory_, Left.Memory_,
                      Quota.Memory_, Divisor),
          grownAmount(Granted.Accelerators_, Need.Accelerators_,
                      Left.Accelerators_, Quota.Accelerators_, Divisor)};
}

void guardContract(const SchedulerCore &Core, const ContractName &Contract,
                   RackDraft &Draft) {
  if (const auto *Row = findRow(Core.Table_.Contracts_, Contract))
    Draft.guard({RowKind::Contract, Contract.str()}, Row->Version_);
}

/// Returns true when the sum of the ledger's grants exceeds the quota.
bool isOverdrawn(const SchedulerCore &Core, const ContractName &Contract) {
  const LedgerRow *Row = findRow(Core.Table_.Ledgers_, Contract);
  if (Row == nullptr)
    return false;
  Resources Granted = QuotaLedger(Row->Value_).granted();
  return !Granted.fitsIn(quotaOf(Core, Contract));
}

/// Returns true when the contract has claimed no capacity in the rack for
/// QuotaSettings::IdleGrant_.
bool isIdle(const SchedulerCore &Core, const RackState &Rack,
            const ContractName &Contract) {
  auto Last = Rack.LastClaim_.find(Contract);
  return Last == Rack.LastClaim_.end() ||
         Core.Now_ - Last->second >= Core.Settings_.Quota_.IdleGrantTimeout_;
}

Resources usedBy(const RackRecord &Row, const ContractName &Contract) {
  Resources Sum;
  for (const RackWorker &Worker : Row.Workers_)
    for (const Assignment &Assigned : Worker.Assignments_)
      if (Assigned.Contract_ == Contract)
        Sum += Assigned.Size_;
  return Sum;
}

bool shouldReturn(const SchedulerCore &Core, const RackState &Rack,
                  const QuotaGrant &Grant) {
  bool ReturnDue =
      isIdle(Core, Rack, Grant.Contract_) || isOverdrawn(Core, Grant.Contract_);
  return ReturnDue && usedBy(Rack.Row_, Grant.Contract_) != Grant.Amount_;
}

} // namespace

std::optional<WaitReason> ensureGrant(SchedulerCore &Core,
                                      const ContractName &Contract,
                                      const Resources &Size, RackDraft &Draft) {
  Resources Need = Draft.rack().usedBy(Contract) + Size;
  Resources Granted = Draft.rack().grantOf(Contract);
  if (Need.fitsIn(Granted))
    return std::nullopt;
  const LedgerRow *Row = usableLedger(Core, Contract);
  if (Row == nullptr)
    return WaitReason::CommitUnderWay;
  Resources Quota = quotaOf(Core, Contract);
  QuotaLedger Ledger = Draft.hasLedger(Contract)
                           ? Draft.ledger(Row->Value_, Row->Version_)
                           : QuotaLedger(Row->Value_);
  Resources Left = Quota - Ledger.granted();
  Resources NewGrant = grownGrant(Granted, Need, Left, Quota,
                                  Core.Settings_.Quota_.MinGrantDivisor_);
  const RackName &Rack = Draft.rack().record().Name_;
  if (!Ledger.setGrant(Rack, NewGrant, Quota))
    return WaitReason::QuotaUsed;
  if (!Draft.rack().setGrant(Contract, NewGrant))
    return WaitReason::QuotaUsed;
  Draft.ledger(Row->Value_, Row->Version_) = std::move(Ledger);
  guardContract(Core, Contract, Draft);
  Draft.touch();
  return std::nullopt;
}

bool grantReturnsDue(const SchedulerCore &Core, const RackState &Rack) {
  return std::ranges::any_of(Rack.Row_.Grants_, [&](const QuotaGrant &Grant) {
    return shouldReturn(Core, Rack, Grant);
  });
}

void planGrantReturns(SchedulerCore &Core, RackState &Rack, RackDraft &Draft) {
  for (const QuotaGrant &Grant : Rack.Row_.Grants_) {
    if (!shouldReturn(Core, Rack, Grant))
      continue;
    const ContractName &Contract = Grant.Contract_;
    const LedgerRow *Row = usableLedger(Core, Contract);
    if (Row == nullptr)
      continue;
    Resources Used = Draft.rack().usedBy(Contract);
    if (!Draft.rack().setGrant(Contract, Used))
      continue;
    // Reducing a grant cannot fail.
    (void)Draft.ledger(Row->Value_, Row->Version_)
        .setGrant(Rack.Name_, Used, quotaOf(Core, Contract));
    Draft.touch();
  }
}

} // namespace filbertspring::placement
