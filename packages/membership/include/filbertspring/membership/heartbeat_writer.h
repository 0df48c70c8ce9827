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

/// Time has passed.
struct HeartbeatTick {};
/// The own heartbeat row was read; nothing when it does not exist.
struct OwnHeartbeatRead {
  std::optional<StoredRow> Row_;
};
/// A heartbeat's transaction ended.
struct HeartbeatCommitEnded {
  TransactionId Id_;
  CommitResult Result_;
};
/// Draining begins; later heartbeats say so.
struct LeaveRequested {};
/// The instance uses nothing any more; its row is to be deleted.
struct StopRequested {};

using HeartbeatEvent =
    std::variant<HeartbeatTick, OwnHeartbeatRead, HeartbeatCommitEnded,
                 LeaveRequested, StopRequested>;

/// Read the own heartbeat row.
struct ReadOwnHeartbeat {};
/// Commit this transaction.
struct CommitHeartbeat {
  Transaction Request_;
};
using HeartbeatAction = std::variant<ReadOwnHeartbeat, CommitHeartbeat>;

/// Keeps one instance's heartbeat. A process that finds a row of an earlier
/// process under its name waits until that one's lease must have ended. A
/// process whose row was taken over by another stops for good. Not
/// thread-safe.
class HeartbeatWriter {
public:
  /// \p Boot is unique to this process; it makes its transactions
  /// recognisable.
  HeartbeatWriter(HeartbeatRecord Self, const std::string &Boot,
                  LeaseSettings Settings = {});
  ~HeartbeatWriter();
  HeartbeatWriter(HeartbeatWriter &&) noexcept;
  HeartbeatWriter &operator=(HeartbeatWriter &&) noexcept;

  /// Returns what to do next. Call with HeartbeatTick several times a second.
  std::vector<HeartbeatAction> handle(const HeartbeatEvent &Event,
                                      TimePoint Now);

  /// Returns the lease, which may have ended or not begun.
  const HolderLease &lease() const;
  /// Returns true once another process has taken over the name.
  bool superseded() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_HEARTBEAT_WRITER_H
