#ifndef FILBERTSPRING_STANDINS_TESTS_WORKER_MODEL_FIXTURE_H
#define FILBERTSPRING_STANDINS_TESTS_WORKER_MODEL_FIXTURE_H

/// \file
/// A modelled worker of four cores and commands for it.

#include "filbertspring/standins/worker_model.h"

namespace filbertspring::worker_model_test {

inline constexpr WorkerTime RunTime = 1000;
inline constexpr WorkerTime LongLease = 1'000'000;

inline AttemptRef attempt(std::int32_t Number, const char *Job = "j") {
  return {{JobId(Job), 0}, Number};
}

inline StartCommand startOf(const AttemptRef &Ref, std::int64_t Cores = 1) {
  StartCommand Command;
  Command.Attempt_ = Ref;
  Command.Size_ = {Millicores(1000 * Cores), Mebibytes(1), Accelerators(0)};
  Command.DeclaredRunTime_ = Duration(RunTime);
  Command.StartBefore_ = LongLease;
  Command.LeaseUntil_ = LongLease;
  return Command;
}

/// A worker and helpers that send it commands.
struct Fixture {
  WorkerModel Worker_{{WorkerName("w"),
                       {Millicores(4000), Mebibytes(100), Accelerators(0)},
                       Duration(100)}};

  WorkerCommands commands(std::int64_t Epoch = 1) const {
    WorkerCommands Commands;
    Commands.Epoch_ = Epoch;
    Commands.Boot_ = Worker_.boot();
    return Commands;
  }
  WorkerAnswer start(const StartCommand &Command, WorkerTime Now) {
    WorkerCommands Commands = commands();
    Commands.Starts_ = {Command};
    return Worker_.obey(Commands, Now);
  }
  WorkerAnswer stop(const AttemptRef &Ref, bool Checkpoint, WorkerTime Now) {
    WorkerCommands Commands = commands();
    Commands.Stops_ = {{Ref, Checkpoint}};
    return Worker_.obey(Commands, Now);
  }
};

} // namespace filbertspring::worker_model_test

#endif // FILBERTSPRING_STANDINS_TESTS_WORKER_MODEL_FIXTURE_H
