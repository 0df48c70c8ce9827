#include "filbertspring/domain/ledger.h"

#include <algorithm>
#include <set>

namespace filbertspring {

Resources QuotaLedger::granted() const {
  Resources Sum;
  for (const RackGrant &Grant : Record_.Grants_)
    Sum += Grant.Amount_;
  return Sum;
}

Resources QuotaLedger::grantOf(const RackName &Rack) const {
  auto It = std::ranges::find(Record_.Grants_, Rack, &RackGrant::Rack_);
  return It == Record_.Grants_.end() ? Resources{} : It->Amount_;
}

Status QuotaLedger::setGrant(const RackName &Rack, const Resources &Amount,
                             const Resources &Quota) {
  if (!Amount.isNonNegative())
    return fail(Errc::InvalidInput);
  Resources Previous = grantOf(Rack);
  bool Shrinks = Amount.fitsIn(Previous);
  if (!Shrinks && !(granted() - Previous + Amount).fitsIn(Quota))
    return fail(Errc::QuotaExceeded);
  std::erase_if(Record_.Grants_, [&Rack](const RackGrant &Grant) {
    return Grant.Rack_ == Rack;
  });
  if (Amount != Resources{})
    Record_.Grants_.push_back({Rack, Amount});
  return {};
}

Result<ShareLedger> ShareLedger::restore(ShareLedgerRecord Record) {
  std::set<InstanceName> Names;
  std::int64_t Sum = 0;
  for (const InstanceShare &Share : Record.Shares_) {
    if (Share.Permille_ < 0 || !Names.insert(Share.Instance_).second)
      return fail(Errc::InvalidInput);
    Sum += Share.Permille_;
  }
  if (Sum > WholeLimitPermille)
    return fail(Errc::InvalidInput);
  return ShareLedger(std::move(Record));
}

std::int32_t ShareLedger::unassigned() const {
  std::int32_t Remaining = WholeLimitPermille;
  for (const InstanceShare &Share : Record_.Shares_)
    Remaining -= Share.Permille_;
  return Remaining;
}

std::int32_t ShareLedger::shareOf(const InstanceName &Instance) const {
  auto It =
      std::ranges::find(Record_.Shares_, Instance, &InstanceShare::Instance_);
  return It == Record_.Shares_.end() ? 0 : It->Permille_;
}

Status ShareLedger::setShare(const InstanceName &Instance,
                             std::int32_t Permille) {
  if (Permille < 0)
    return fail(Errc::InvalidInput);
  if (Permille > unassigned() + shareOf(Instance))
    return fail(Errc::LimitExceeded);
  std::erase_if(Record_.Shares_, [&Instance](const InstanceShare &Share) {
    return Share.Instance_ == Instance;
  });
  if (Permille > 0)
    Record_.Shares_.push_back({Instance, Permille});
  return {};
}

} // namespace filbertspring
