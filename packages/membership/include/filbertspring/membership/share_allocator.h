#ifndef FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H
#define FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H

/// \file
/// Determines the share of each contract's request limits that one instance may
/// use.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"
#include "filbertspring/membership/liveness_tracker.h"
#include "filbertspring/membership/share_targets.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::membership {

/// Parameters of the adaptation of shares to demand.
struct ShareSettings {
  /// A share is moved only when it deviates from its target by at least this.
  std::int32_t HysteresisPermille_ = 40;
  /// The minimum time between two writes of one ledger by one instance.
  Duration WriteInterval_ = std::chrono::seconds(2);
  /// The maximum time between two reads of a ledger.
  Duration ReadInterval_ = std::chrono::seconds(4);
  /// After this time an unanswered read counts as failed and the outcome of an
  /// unanswered commit as unknown.
  Duration AnswerTimeout_ = std::chrono::seconds(3);
  /// Each write is delayed by a part of this, so that instances that observe
  /// the same demand do not all write at the same time.
  Duration WriteSpread_ = std::chrono::seconds(2);
  /// Maximum number of commits per second of one instance, over all contracts.
  std::int32_t MaxWritesPerSecond_ = 10;
};

/// A contract whose limits are divided between the instances.
struct SharedContract {
  ContractName Name_;
  /// The smallest share that admits a request, in permille: 1000 divided by the
  /// smallest limit, rounded up.
  std::int32_t StepPermille_ = 1;
};

/// The current demand of an instance. It is valid until the next such event.
struct DemandObserved {
  ContractName Contract_;
  InstanceDemand Demand_;
};
/// The share occupied by requests in flight at this instance. The instance does
/// not reduce its share below this value.
struct UsageObserved {
  ContractName Contract_;
  std::int32_t Permille_ = 0;
};
/// The set of contracts in force changed to exactly these.
struct ContractsInForce {
  std::vector<SharedContract> Contracts_;
};
/// The lease of this instance changed.
struct LeaseChanged {
  HolderLease Lease_;
};
/// Ledger rows were read; a requested row that is not in \c Rows_ does not
/// exist.
struct LedgersRead {
  TimePoint SentAt_;
  std::vector<ContractName> RequestedContracts_;
  std::vector<StoredRow> Rows_;
};
/// The transaction of a ledger write ended.
struct LedgerCommitEnded {
  TransactionId Id_;
  CommitResult Result_;
};
/// Periodic event that lets timeouts and due operations be handled. The tracker
/// must outlive the call.
struct ShareTick {
  const LivenessTracker *Tracker_ = nullptr;
};
/// Draining has ended; all shares of this instance are to be released.
struct ShareStopRequested {};

using ShareEvent =
    std::variant<DemandObserved, UsageObserved, ContractsInForce, LeaseChanged,
                 LedgersRead, LedgerCommitEnded, ShareTick, ShareStopRequested>;

/// Read the ledgers of these contracts.
struct ReadLedgers {
  std::vector<ContractName> Contracts_;
};
/// Commit this transaction; its key is the ledger of one contract.
struct CommitLedger {
  Transaction Request_;
};
using ShareAction = std::variant<ReadLedgers, CommitLedger>;

/// A share of the limits that may be used until a given time.
struct ShareGrant {
  std::int32_t Permille_ = 0;
  /// The end of the lease, exclusive; the share must not be used after it.
  TimePoint Until_ = TimePoint::min();
};

/// Divides the limits of all contracts between the instances through the share
/// ledgers in the table, on behalf of one instance. At any time the usable
/// shares of all instances add up to at most the whole limit. The caller must
/// stop using a share at the end of its grant without further notification. Not
/// thread-safe.
class ShareAllocator {
public:
  /// \p BootId is unique to this process.
  ShareAllocator(InstanceName Self, std::string BootId,
                 ShareSettings Settings = {});
  ~ShareAllocator();
  ShareAllocator(ShareAllocator &&) noexcept;
  ShareAllocator &operator=(ShareAllocator &&) noexcept;

  /// Returns the actions to perform next. Must be called with ShareTick about
  /// once a second and immediately after each LedgersRead, because a row is
  /// written only directly after it was read.
  std::vector<ShareAction> handle(const ShareEvent &Event, TimePoint Now);

  /// Returns the share that may be used now. Logarithmic in the number of
  /// contracts.
  ShareGrant grant(const ContractName &Contract, TimePoint Now) const;

  /// Returns true after ShareStopRequested once no ledger that is known holds a
  /// share of this instance and no write is outstanding. The lease must be held
  /// until then, since the release is written under it.
  bool isReleased() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H
