#ifndef FILBERTSPRING_DOMAIN_LEDGER_H
#define FILBERTSPRING_DOMAIN_LEDGER_H

/// \file
/// How the limits of a contract are divided: its batch quota between racks,
/// and its request limits between entry instances.

#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/result.h"

#include <cstdint>
#include <vector>

namespace filbertspring {

/// The part of a quota that one rack holds.
struct RackGrant {
  RackName Rack_;
  Resources Amount_;
};

/// The stored fields of a quota ledger. One row for each contract.
struct QuotaLedgerRecord {
  ContractName Contract_;
  std::vector<RackGrant> Grants_;
};

/// The quota of one contract and the racks that hold parts of it. A grant
/// changes here and in the rack's row by one transaction.
class QuotaLedger {
public:
  explicit QuotaLedger(QuotaLedgerRecord Record) : Record_(std::move(Record)) {}

  const QuotaLedgerRecord &record() const { return Record_; }
  /// Returns the sum of all grants. Linear in the racks.
  Resources granted() const;
  /// Returns the grant of \p Rack, zero when it has none.
  Resources grantOf(const RackName &Rack) const;

  /// Sets the grant of \p Rack. Errors: QuotaExceeded when a growing grant
  /// would take the sum above \p Quota; InvalidInput for a negative amount.
  /// A grant may always shrink, also while the sum is above a lowered quota.
  Status setGrant(const RackName &Rack, const Resources &Amount,
                  const Resources &Quota);

private:
  QuotaLedgerRecord Record_;
};

/// The whole of a limit, in the unit that ShareLedger divides.
inline constexpr std::int32_t WholeLimitPermille = 1000;

/// The part of a contract's request limits that one instance holds.
struct InstanceShare {
  InstanceName Instance_;
  std::int32_t Permille_ = 0;
};

/// The stored fields of a share ledger. One row for each contract.
struct ShareLedgerRecord {
  ContractName Contract_;
  std::vector<InstanceShare> Shares_;
};

/// How the request limits of one contract are divided between instances. The
/// shares never add up to more than the whole.
class ShareLedger {
public:
  /// Takes over \p Record. Errors: InvalidInput when the shares add up to more
  /// than the whole, one is negative, or an instance is named twice.
  static Result<ShareLedger> restore(ShareLedgerRecord Record);

  const ShareLedgerRecord &record() const { return Record_; }
  /// Returns the part that no instance holds, in permille.
  std::int32_t unassigned() const;
  /// Returns the share of \p Instance in permille, zero when it has none.
  std::int32_t shareOf(const InstanceName &Instance) const;

  /// Sets the share of \p Instance; zero removes it. Errors: LimitExceeded
  /// when the sum would exceed the whole; InvalidInput when negative.
  Status setShare(const InstanceName &Instance, std::int32_t Permille);

private:
  explicit ShareLedger(ShareLedgerRecord Record) : Record_(std::move(Record)) {}

  ShareLedgerRecord Record_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_LEDGER_H
