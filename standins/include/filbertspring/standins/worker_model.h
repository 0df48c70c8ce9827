#ifndef FILBERTSPRING_STANDINS_WORKER_MODEL_H
#define FILBERTSPRING_STANDINS_WORKER_MODEL_H

/// \file
/// A worker in virtual time: it accepts commands, runs attempts under leases
/// and records when each of them ran.

#include "filbertspring/domain/worker_protocol.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// Settings of a modelled worker.
struct WorkerModelSettings {
  WorkerName Name_;
  Resources Capacity_;
  /// Age of the measurements in its reports.
  Duration ReportLag_{};
};

/// The interval in which an attempt ran, on the worker's clock.
struct RunInterval {
  AttemptRef Attempt_;
  /// The boot of the worker at that time.
  std::string Boot_;
  WorkerTime From_ = 0;
  /// Absent while it runs.
  std::optional<WorkerTime> Until_;
};

/// A deterministic model of a worker. The clock readings passed in must not
/// decrease within a boot; a lower reading is treated as the latest one. Not
/// thread-safe.
///
/// An attempt runs for its declared run time. The payload "slow:F" multiplies
/// this time by F, and the payload "fail" makes the attempt fail after half of
/// it. A checkpoint holds the progress made, and a start resumes from there.
class WorkerModel {
public:
  explicit WorkerModel(WorkerModelSettings Settings);

  /// Executes \p Commands at \p Now. Rejects all of them when their epoch is
  /// lower than the highest accepted one, or when they are meant for another
  /// boot. Linear in the attempts.
  WorkerAnswer obey(const WorkerCommands &Commands, WorkerTime Now);
  /// Returns the report at \p Now.
  WorkerReport report(WorkerTime Now);
  /// Ends the attempts whose work or lease is over by \p Now, each at the time
  /// when it ended.
  void advance(WorkerTime Now);

  /// Ends all attempts at \p Now, clears the state and starts a new boot, whose
  /// clock may start from any reading.
  void restart(WorkerTime Now);
  /// Sets whether attempts that start from now on fail immediately.
  void setFailAll(bool FailAll) { FailAll_ = FailAll; }
  /// Stores a measurement; reports include it once it is ReportLag_ old.
  void recordService(const ServiceReport &Measurement);

  const std::string &boot() const { return Boot_; }
  const WorkerModelSettings &settings() const { return Settings_; }
  /// Returns every run since the model was made, in order of their starts.
  const std::vector<RunInterval> &runs() const { return Runs_; }

private:
  struct Attempt {
    AttemptState State_ = AttemptState::Running;
    Resources Size_;
    /// Microseconds of unthrottled work, and the part that is done.
    double WorkTotal_ = 0.0;
    double WorkDone_ = 0.0;
    /// The amount of work at which the attempt ends.
    double WorkEnd_ = 0.0;
    double Fraction_ = 1.0;
    bool Fails_ = false;
    WorkerTime StartedAt_ = 0;
    /// Time up to which WorkDone_ is computed.
    WorkerTime CountedAt_ = 0;
    WorkerTime LeaseUntil_ = 0;
    CheckpointRef Checkpoint_;
    std::string Reason_;
    /// Index of its interval in Runs_; empty when it never ran.
    std::optional<std::size_t> Run_;
    bool Acknowledged_ = false;
  };

  void acknowledge(const AttemptRef &Ref);
  void stop(const StopCommand &Command);
  void renew(const RenewCommand &Command);
  void throttle(const ThrottleCommand &Command);
  std::optional<StartRefusal> start(const StartCommand &Command);
  std::optional<StartRefusal> refusalOf(const StartCommand &Command) const;
  void run(const StartCommand &Command);
  void advanceAttempt(Attempt &Target);
  void end(Attempt &Target, AttemptState State, WorkerTime At,
           std::string_view Reason);
  Resources inUse() const;
  WorkerReport makeReport() const;
  AttemptReport reportOf(const AttemptRef &Ref, const Attempt &Target) const;

  WorkerModelSettings Settings_;
  std::int64_t BootCount_ = 1;
  std::string Boot_;
  WorkerTime Now_ = 0;
  std::int64_t Epoch_ = 0;
  bool FailAll_ = false;
  /// Every attempt seen in this boot, so that a repeated start command never
  /// runs it again.
  std::map<AttemptRef, Attempt> Attempts_;
  std::map<AttemptRef, StartRefusal> Refused_;
  std::vector<ServiceReport> Measurements_;
  std::vector<RunInterval> Runs_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_WORKER_MODEL_H
