#ifndef FILBERTSPRING_DOMAIN_WORKER_PROTOCOL_H
#define FILBERTSPRING_DOMAIN_WORKER_PROTOCOL_H

/// \file
/// The messages between an entry instance and a worker, as typed values.
///
/// Every time in them is a reading of the worker's own monotonic clock. A
/// command that is late, repeated or delayed in a paused process therefore
/// cannot extend a lease or start a task past its deadline.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring {

/// A reading of one worker's monotonic clock, in microseconds. Readings of
/// different boots of a worker cannot be compared.
using WorkerTime = std::int64_t;

/// The state of an attempt on its worker.
enum class AttemptState { Running, Finished, Failed, Stopped, Lapsed };

inline constexpr EnumTable<AttemptState, 5> AttemptStateNames{
    {{AttemptState::Running, "running"},
     {AttemptState::Finished, "finished"},
     {AttemptState::Failed, "failed"},
     {AttemptState::Stopped, "stopped"},
     {AttemptState::Lapsed, "lapsed"}}};

/// One attempt in a worker's report. Ended attempts stay in the reports until
/// the entry instance acknowledges them.
struct AttemptReport {
  AttemptRef Attempt_;
  AttemptState State_ = AttemptState::Running;
  /// Measured usage; lags by seconds or more.
  Resources Usage_;
  /// Fraction of the work done, 0 to 1, as reported by the task.
  double Progress_ = 0.0;
  /// The latest checkpoint; empty when there is none.
  CheckpointRef Checkpoint_;
  /// Human-readable reason why it ended.
  std::string Reason_;
};

/// Latency of one service on a worker; lags by seconds or more.
struct ServiceReport {
  ServiceName Service_;
  Duration P99_{};
  /// Requests per second.
  double Load_ = 0.0;
  /// Reading of the worker's clock at the end of the measurement.
  WorkerTime MeasuredAt_ = 0;
};

/// The state that a worker reports with each of its answers.
struct WorkerReport {
  WorkerName Worker_;
  /// Identifies the incarnation of the worker: it changes with each restart. A
  /// restart ends all attempts.
  std::string Boot_;
  WorkerTime Clock_ = 0;
  /// The highest epoch from which it has accepted commands.
  std::int64_t Epoch_ = 0;
  std::vector<AttemptReport> Attempts_;
  std::vector<ServiceReport> Services_;
};

/// Starts an attempt on a worker. Repeating the command has no further effect.
struct StartCommand {
  AttemptRef Attempt_;
  ContractName Contract_;
  BatchKindName Kind_;
  Resources Size_;
  Duration DeclaredRunTime_{};
  CheckpointRef Checkpoint_;
  std::string Payload_;
  /// The worker refuses the start once its clock is past this time.
  WorkerTime StartBefore_ = 0;
  /// The worker stops the attempt when its clock reaches this time.
  WorkerTime LeaseUntil_ = 0;
};

/// Extends the lease of a running attempt; an earlier time changes nothing.
struct RenewCommand {
  AttemptRef Attempt_;
  WorkerTime LeaseUntil_ = 0;
};

/// Stops an attempt on a worker. Repeating the command has no further effect.
/// The worker also refuses every later start of this attempt.
struct StopCommand {
  AttemptRef Attempt_;
  /// Whether to write a checkpoint first.
  bool Checkpoint_ = false;
};

/// Limits the CPU time of an attempt.
struct ThrottleCommand {
  AttemptRef Attempt_;
  /// Fraction of its declared CPU time that it may use, above 0 and at most 1.
  double Fraction_ = 1.0;
};

/// All commands for one worker, executed in the order of the members. The
/// answer contains a WorkerReport made after their execution.
struct WorkerCommands {
  /// The sender's epoch; a worker that has seen a higher one refuses all
  /// commands.
  std::int64_t Epoch_ = 0;
  /// The incarnation of the worker to which the clock readings belong; any
  /// other incarnation refuses all commands.
  std::string Boot_;
  std::vector<AttemptRef> Acknowledged_;
  std::vector<StopCommand> Stops_;
  std::vector<RenewCommand> Renewals_;
  std::vector<ThrottleCommand> Throttles_;
  std::vector<StartCommand> Starts_;
};

/// Why a worker refused a start.
enum class StartRefusal { Late, Stopped, NoCapacity };

inline constexpr EnumTable<StartRefusal, 3> StartRefusalNames{
    {{StartRefusal::Late, "late"},
     {StartRefusal::Stopped, "stopped"},
     {StartRefusal::NoCapacity, "no-capacity"}}};

/// A start that a worker refused; the attempt is known never to run.
struct RefusedStart {
  AttemptRef Attempt_;
  StartRefusal Reason_ = StartRefusal::Late;
};

/// A worker's answer to commands.
struct WorkerAnswer {
  /// False when the epoch or the boot was refused; then no command was
  /// executed.
  bool Accepted_ = false;
  std::vector<RefusedStart> Refused_;
  WorkerReport Report_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_WORKER_PROTOCOL_H
