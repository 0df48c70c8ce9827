/// \file
/// Checks random histories of workers that restart under their ids and
/// addresses, execute commands that were meant for their previous incarnations,
/// and lose contact soon after.

#include "simulated_cell.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

Duration between(SimulatedCell &Cell, Duration From, Duration To) {
  return From +
         std::chrono::duration_cast<Duration>((To - From) * Cell.chance());
}

AcceptedJob makeJob(SimulatedCell &Cell, std::uint32_t Number) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Number);
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  StepSpec Step;
  Step.Count_ = 12;
  Step.MaxPerWorker_ = 3;
  Step.Request_ = {1000, 500, 0};
  Step.Estimate_ = 800ms;
  // Most of the others have ended before contact is lost.
  Step.IsLongRunning_ = Cell.chance() < 0.7;
  Job.Spec_.Steps_ = {Step};
  return Job;
}

/// Lets workers restart up to \p MaxRestarts times in a row, with calls under
/// way to them, and be cut off at any time afterwards. Returns the first task
/// that ran twice at the same time, or an empty text. Ends that were
/// acknowledged unread are not checked.
std::string simulateRestarts(std::uint64_t Seed, int MaxRestarts) {
  FaultRates Faults;
  Faults.ExecutedAfterRestart_ = 0.5;
  // In half of the histories, workers also execute commands seconds late.
  Faults.DelayedExecution_ = Seed % 2 == 0 ? 0.03 : 0;
  SimulatedCell Cell(Seed, 6, Faults);
  Cell.setMaxLease(Seed % 4 == 0 ? 6s : 10s);
  Cell.takeOver(OwnerEnd::Killed);
  Cell.enablePowerLoss();
  Cell.enableReportWaits();
  Cell.delayRegistrations(Seed % 3 == 0 ? 1000ms : 300ms);
  QueueTable Queues;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Queues.Queues_ = {Batch};
  Cell.configure(Queues);
  Cell.run(2s);
  for (std::uint32_t Round = 0; Round < 6; ++Round) {
    AcceptedJob Submitted = makeJob(Cell, Round);
    Cell.submit(Submitted);
    Cell.run(between(Cell, 0ms, 300ms));
    std::size_t Worker = Cell.random()() % Cell.workerCount();
    for (int Restarts = Cell.chance() < 0.3 ? MaxRestarts : 1; Restarts > 0;
         --Restarts) {
      Cell.setRestartTime(between(Cell, 50ms, 1500ms));
      if (!Cell.isDown(Worker))
        Cell.crashWorker(Worker, true);
      Cell.run(between(Cell, 0ms, 2500ms));
    }
    if (Cell.chance() < 0.25)
      Cell.takeOver(Cell.chance() < 0.3 ? OwnerEnd::CutOff : OwnerEnd::Killed);
    Cell.run(between(Cell, 0ms, 1500ms));
    Cell.isolateWorker(Worker);
    Cell.run(between(Cell, 7s, 14s));
    Cell.restoreNetwork();
    Cell.run(4s);
    Cell.cancel(Submitted.Id_);
    Cell.run(1s);
  }
  for (const Violation &Broken : Cell.oracle().violations())
    if (Broken.Rule_ == "twice")
      return fmt::format("seed {}: {}: {}", Seed, Broken.Rule_, Broken.Detail_);
  return {};
}

/// Lets workers crash and restart as planned, up to three times in a row, while
/// commands without an answer are executed up to 12 s after they were sent, and
/// owners replace each other. Returns the first task that ran twice at the same
/// time, or that waited although every start of it was over or could go back to
/// its worker, or an empty text.
std::string simulateLateStarts(std::uint64_t Seed) {
  FaultRates Faults;
  Faults.ExecutedAfterRestart_ = 0.5;
  Faults.LatestAfterRestart_ = 11s;
  Faults.DelayedExecution_ = Seed % 2 == 0 ? 0.3 : 0.1;
  Faults.LatestExecution_ = 12s;
  SimulatedCell Cell(Seed, 6, Faults);
  Cell.takeOver(OwnerEnd::Killed);
  Cell.enablePowerLoss();
  Cell.enableReportWaits();
  Cell.delayRegistrations(Seed % 3 == 0 ? 1000ms : 300ms);
  QueueTable Queues;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Queues.Queues_ = {Batch};
  Cell.configure(Queues);
  Cell.run(2s);
  for (std::uint32_t Round = 0; Round < 5; ++Round) {
    AcceptedJob Submitted = makeJob(Cell, Round);
    Cell.submit(Submitted);
    Cell.run(between(Cell, 0ms, 900ms));
    for (std::uint64_t Restarts = 3 + Cell.random()() % 6; Restarts > 0;
         --Restarts) {
      std::size_t Worker = Cell.random()() % 3;
      Cell.setRestartTime(between(Cell, 50ms, 1500ms));
      if (!Cell.isDown(Worker) && Cell.chance() < 0.5)
        Cell.crashWorker(Worker, true);
      else if (!Cell.isDown(Worker))
        Cell.restartAsPlanned(Worker, between(Cell, 300ms, 2500ms));
      Cell.run(between(Cell, 0ms, 1500ms));
      if (Cell.chance() < 0.1)
        Cell.takeOver(OwnerEnd::Killed);
    }
    Cell.run(between(Cell, 2s, 12s));
    // Nothing that was sent before is executed afterwards.
    Cell.setCallFaults(false);
    Cell.run(22s);
    Cell.setCallFaults(true);
    Cell.cancel(Submitted.Id_);
    Cell.run(1s);
  }
  for (const Violation &Broken : Cell.oracle().violations())
    if (Broken.Rule_ == "twice" || Broken.Rule_ == "long-running task waits")
      return fmt::format("seed {}: {}: {}", Seed, Broken.Rule_, Broken.Detail_);
  return {};
}

void check(const std::function<std::string(std::uint64_t)> &Simulate) {
  // More histories are simulated by hand.
  const char *ByHand = std::getenv("FILBERTSPRING_RESTART_HISTORIES");
  std::uint64_t Histories = ByHand ? std::strtoull(ByHand, nullptr, 10) : 100;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::string Problem = Simulate(Seed);
    BOOST_TEST(Problem.empty(), Problem);
  }
}

// Guards against leases that last longer than the owner expects: their
// deadlines were meant for the clock of the previous incarnation.
BOOST_AUTO_TEST_SUITE(a_worker_that_restarts_and_is_cut_off)

BOOST_AUTO_TEST_CASE(runs_no_task_beside_another_worker) {
  check([](std::uint64_t Seed) { return simulateRestarts(Seed, 1); });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a start that the next incarnation rejects and the one after it
// executes, while its task runs elsewhere. Run by scheduling_two_restarts_test.
BOOST_AUTO_TEST_SUITE(a_worker_that_restarts_twice,
                      *boost::unit_test::disabled())

BOOST_AUTO_TEST_CASE(runs_no_task_beside_another_worker) {
  check([](std::uint64_t Seed) { return simulateRestarts(Seed, 2); });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against starts without an answer, of this owner or the previous one,
// that any later incarnation executes; and against doubts that do not end.
BOOST_AUTO_TEST_SUITE(a_worker_that_executes_starts_late)

BOOST_AUTO_TEST_CASE(runs_no_task_beside_another_worker) {
  check(simulateLateStarts);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
