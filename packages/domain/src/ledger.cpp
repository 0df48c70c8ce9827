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
  auto Found = std::ranges::find(Record_.Grants_, Rack, &RackGrant::Rack_);
  return Found == Record_.Grants_.end() ? Resources{} : Found->Amount_;
}

Status QuotaLedger::setGrant(const RackName &Rack, const Resources &Amount,
                             const Resources &Quota) {
  if (!Amount.isNonNegative())
    return fail(Errc::InvalidInput);
  Resources Before = grantOf(Rack);
  bool Shrinks = Amount.fitsIn(Before);
  if (!Shrinks && !(granted() - Before + Amount).fitsIn(Quota))
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
  std::int32_t Left = WholeLimitPermille;
  for (const InstanceShare &Share : Record_.Shares_)
    Left -= Share.Permille_;
  return Left;
}

std::int32_t ShareLedger::shareOf(const InstanceName &Instance) const {
  auto Found =
      std::ranges::find(Record_.Shares_, Instance, &InstanceShare::Instance_);
  return Found == Record_.Shares_.end() ? 0 : Found->Permille_;
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
