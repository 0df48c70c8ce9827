#ifndef FILBERTSPRING_DOMAIN_LEDGER_H
#define FILBERTSPRING_DOMAIN_LEDGER_H

/// \file
/// Division of the limits of a contract: its batch quota between racks, and its
/// request limits between entry instances.

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

/// The stored fields of a quota ledger. One row per contract.
struct QuotaLedgerRecord {
  ContractName Contract_;
  std::vector<RackGrant> Grants_;
};

/// The quota of one contract and the racks that hold parts of it. One
/// transaction changes a grant both here and in the rack's row.
class QuotaLedger {
public:
  explicit QuotaLedger(QuotaLedgerRecord Record) : Record_(std::move(Record)) {}

  const QuotaLedgerRecord &record() const { return Record_; }
  /// Returns the sum of all grants. Linear in the number of racks.
  Resources granted() const;
  /// Returns the grant of \p Rack, zero when it has none.
  Resources grantOf(const RackName &Rack) const;

  /// Sets the grant of \p Rack. Errors: QuotaExceeded when an increased grant
  /// would take the sum above \p Quota; InvalidInput for a negative amount. A
  /// grant may always be reduced, even while the sum exceeds a lowered quota.
  Status setGrant(const RackName &Rack, const Resources &Amount,
                  const Resources &Quota);

private:
  QuotaLedgerRecord Record_;
};

/// The whole of a request limit in permille, the unit of its shares.
inline constexpr std::int32_t WholeLimitPermille = 1000;

/// The part of a contract's request limits that one instance holds.
struct InstanceShare {
  InstanceName Instance_;
  std::int32_t Permille_ = 0;
};

/// The stored fields of a share ledger. One row per contract.
struct ShareLedgerRecord {
  ContractName Contract_;
  std::vector<InstanceShare> Shares_;
};

/// Division of the request limits of one contract between instances. The sum of
/// the shares never exceeds WholeLimitPermille.
class ShareLedger {
public:
  /// Makes a ledger of a stored \p Record. Errors: InvalidInput when the sum of
  /// the shares exceeds the whole, one is negative, or an instance occurs
  /// twice.
  static Result<ShareLedger> restore(ShareLedgerRecord Record);

  const ShareLedgerRecord &record() const { return Record_; }
  /// Returns the part of the limit that no instance holds, in permille.
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
