#ifndef FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H
#define FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H

/// \file
/// The part of each contract's request limits that one instance may use.

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

/// How shares follow demand.
struct ShareSettings {
  /// A share moves only when it is off its target by at least this.
  std::int32_t HysteresisPermille_ = 40;
  /// The shortest time between two writes of one ledger by one instance.
  Duration WriteInterval_ = std::chrono::seconds(2);
  /// The longest time between two reads of a ledger.
  Duration ReadInterval_ = std::chrono::seconds(4);
  /// After this time a read counts as lost, and a commit as unknown.
  Duration AnswerTimeout_ = std::chrono::seconds(3);
  /// Each write waits a part of this, so that instances that see the same
  /// demand do not all write at once.
  Duration WriteSpread_ = std::chrono::seconds(2);
  /// Commits per second of one instance, over all contracts.
  std::int32_t MaxWritesPerSecond_ = 10;
};

/// A contract whose limits are divided.
struct SharedContract {
  ContractName Name_;
  /// The smallest share that lets a request through, in permille: 1000 divided
  /// by the smallest limit, rounded up.
  std::int32_t StepPermille_ = 1;
};

/// The present demand of an instance. The receiver keeps it until the next.
struct DemandObserved {
  ContractName Contract_;
  InstanceDemand Demand_;
};
/// What the own requests in flight occupy; a share is not given away below it.
struct UsageObserved {
  ContractName Contract_;
  std::int32_t Permille_ = 0;
};
/// These contracts, and no others, are in force.
struct ContractsInForce {
  std::vector<SharedContract> Contracts_;
};
/// The own lease changed.
struct LeaseChanged {
  HolderLease Lease_;
};
/// Ledger rows were read; a key asked for and not among the rows is absent.
struct LedgersRead {
  TimePoint SentAt_;
  std::vector<ContractName> RequestedContracts_;
  std::vector<StoredRow> Rows_;
};
/// A ledger's transaction ended.
struct LedgerCommitEnded {
  TransactionId Id_;
  CommitResult Result_;
};
/// Time has passed. The tracker must live as long as the call.
struct ShareTick {
  const LivenessTracker *Tracker_ = nullptr;
};
/// Draining has ended: give everything back.
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

/// The part of the limits that may be used until a time.
struct ShareGrant {
  std::int32_t Permille_ = 0;
  /// The end of the lease, exclusive; nothing may be used after it.
  TimePoint Until_ = TimePoint::min();
};

/// Divides the limits of all contracts, for one instance, over the table's
/// share ledgers. At any instant the sum of what all instances may use is at
/// most the whole. The owner stops to use a share at grant's end without being
/// told. Not thread-safe.
class ShareAllocator {
public:
  /// \p Boot is unique to this process.
  ShareAllocator(InstanceName Self, std::string Boot,
                 ShareSettings Settings = {});
  ~ShareAllocator();
  ShareAllocator(ShareAllocator &&) noexcept;
  ShareAllocator &operator=(ShareAllocator &&) noexcept;

  /// Returns what to do next. Call with ShareTick about once a second,
  /// and right after each LedgersRead: rows are written on a fresh read only.
  std::vector<ShareAction> handle(const ShareEvent &Event, TimePoint Now);

  /// Returns what may be used now. Logarithmic in the contracts.
  ShareGrant grant(const ContractName &Contract, TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SHARE_ALLOCATOR_H
