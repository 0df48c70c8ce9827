#ifndef FILBERTSPRING_MEMBERSHIP_HEARTBEAT_WRITER_H
#define FILBERTSPRING_MEMBERSHIP_HEARTBEAT_WRITER_H

/// \file
/// Writes the heartbeat row of one instance and derives its lease.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::membership {

/// Periodic event that lets timeouts and due heartbeats be handled.
struct HeartbeatTick {};
/// A read of the instance's own heartbeat row completed; std::nullopt when the
/// row does not exist.
struct OwnHeartbeatRead {
  std::optional<StoredRow> Row_;
};
/// The transaction of a heartbeat ended.
struct HeartbeatCommitEnded {
  TransactionId Id_;
  CommitResult Result_;
};
/// Draining begins; later heartbeats mark the instance as leaving.
struct LeaveRequested {};
/// The instance no longer uses any shares; its row is to be deleted.
struct StopRequested {};

using HeartbeatEvent =
    std::variant<HeartbeatTick, OwnHeartbeatRead, HeartbeatCommitEnded,
                 LeaveRequested, StopRequested>;

/// Read the instance's own heartbeat row.
struct ReadOwnHeartbeat {};
/// Commit this transaction.
struct CommitHeartbeat {
  Transaction Request_;
};
using HeartbeatAction = std::variant<ReadOwnHeartbeat, CommitHeartbeat>;

/// Writes the heartbeats of one instance and maintains its lease. When the row
/// of an earlier process with the same name exists, the lease begins only after
/// the lease of that process must have ended. A process whose row was taken
/// over by another process never writes again. Not thread-safe.
class HeartbeatWriter {
public:
  /// \p BootId is unique to this process and identifies its transactions.
  HeartbeatWriter(HeartbeatRecord Self, const std::string &BootId,
                  LeaseSettings Settings = {});
  ~HeartbeatWriter();
  HeartbeatWriter(HeartbeatWriter &&) noexcept;
  HeartbeatWriter &operator=(HeartbeatWriter &&) noexcept;

  /// Returns the actions to perform next. Must be called with HeartbeatTick
  /// several times a second.
  std::vector<HeartbeatAction> handle(const HeartbeatEvent &Event,
                                      TimePoint Now);

  /// Returns the lease, which may have ended or not yet begun.
  const HolderLease &lease() const;
  /// Returns true once the row was deleted after StopRequested.
  bool isReleased() const;
  /// Returns true once another process has taken over the name.
  bool superseded() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_HEARTBEAT_WRITER_H
