#ifndef FILBERTSPRING_DOMAIN_STORE_H
#define FILBERTSPRING_DOMAIN_STORE_H

/// \file
/// Rows and transactions of the platform's table service, as typed values. The
/// decision logic makes transactions; the platform package encodes and sends
/// them.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/heartbeat.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/domain/ledger.h"
#include "filbertspring/domain/rack.h"
#include "filbertspring/domain/request_key.h"
#include "filbertspring/domain/watch.h"
#include "filbertspring/domain/zone.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring {

/// The version of a row: the number of the transaction that wrote it. It only
/// increases. AbsentVersion stands for a row that does not exist.
using RowVersion = std::int64_t;

inline constexpr RowVersion AbsentVersion = 0;

/// The kinds of rows; each has a key prefix of its own.
enum class RowKind {
  Head,
  Contract,
  Zone,
  Rack,
  Job,
  QuotaLedger,
  ShareLedger,
  Heartbeat,
  RequestKey,
  Watch,
  Burn
};

/// The key prefixes, without the slash that follows them.
inline constexpr EnumTable<RowKind, 11> RowKindNames{
    {{RowKind::Head, "head"},
     {RowKind::Contract, "contract"},
     {RowKind::Zone, "zone"},
     {RowKind::Rack, "rack"},
     {RowKind::Job, "job"},
     {RowKind::QuotaLedger, "quota"},
     {RowKind::ShareLedger, "share"},
     {RowKind::Heartbeat, "heartbeat"},
     {RowKind::RequestKey, "key"},
     {RowKind::Watch, "watch"},
     {RowKind::Burn, "burn"}}};

/// The key of a row.
struct RowKey {
  RowKind Kind_ = RowKind::Head;
  /// The name within its kind, such as a job's identifier.
  std::string Name_;

  friend bool operator==(const RowKey &, const RowKey &) = default;
  friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// The row whose version advances with each accepted change of a contract or
/// zone.
struct HeadRecord {
  /// Number of accepted changes.
  std::int64_t Changes_ = 0;
  /// Who made the last change; informational.
  std::string ChangedBy_;
};

/// A stored contract.
struct ContractRecord {
  Contract Terms_;
  std::string ChangedBy_;
  /// Set when the contract has ended; the row stays, so that its version only
  /// increases.
  bool Removed_ = false;
};

/// The value of a row. The alternative matches the key's kind.
using RowValue = std::variant<HeadRecord, ContractRecord, AvailabilityZone,
                              RackRecord, JobRecord, QuotaLedgerRecord,
                              ShareLedgerRecord, HeartbeatRecord,
                              RequestKeyRecord, WatchRecord, BurnHourRecord>;

/// A row as read from the table.
struct StoredRow {
  RowKey Key_;
  RowVersion Version_ = AbsentVersion;
  /// The transaction that wrote it.
  TransactionId Writer_;
  RowValue Value_;
};

/// A precondition of a transaction: the expected version of a row that it does
/// not write.
struct Guard {
  RowKey Key_;
  RowVersion Expected_ = AbsentVersion;
};

/// A conditional write of one row.
struct Change {
  RowKey Key_;
  RowVersion Expected_ = AbsentVersion;
  /// The new value; std::nullopt deletes the row.
  std::optional<RowValue> Value_;
};

/// Writes that take effect atomically, or not at all when a row of a guard or
/// change does not have its expected version.
struct Transaction {
  TransactionId Id_;
  std::vector<Guard> Guards_;
  std::vector<Change> Changes_;
};

/// The outcome of a transaction.
enum class CommitOutcome {
  Committed,
  /// Known not to have taken effect: a row did not have its expected version.
  Conflict,
  /// Known not to have taken effect: the service refused it or was not reached.
  NotCommitted,
  /// May have taken effect, or may still do so, because the answer was lost.
  /// Only a later conditional write of one of its rows settles the outcome.
  Unknown
};

inline constexpr EnumTable<CommitOutcome, 4> CommitOutcomeNames{
    {{CommitOutcome::Committed, "committed"},
     {CommitOutcome::Conflict, "conflict"},
     {CommitOutcome::NotCommitted, "not-committed"},
     {CommitOutcome::Unknown, "unknown"}}};

/// The answer to a transaction.
struct CommitResult {
  CommitOutcome Outcome_ = CommitOutcome::Unknown;
  /// The version of all written rows, if committed.
  RowVersion Version_ = AbsentVersion;
  /// The keys of the rows without the expected version, if in conflict.
  std::vector<RowKey> Conflicts_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_STORE_H
