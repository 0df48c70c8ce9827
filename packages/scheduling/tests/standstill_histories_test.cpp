/// \file
/// Checks random histories of owners that stand still and are replaced, while
/// workers restart or have more ends than one report lists.

#include "simulated_cell.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// Returns a random time between \p From and \p To.
Duration between(SimulatedCell &Cell, Duration From, Duration To) {
  return From +
         std::chrono::duration_cast<Duration>((To - From) * Cell.chance());
}

AcceptedJob makeWideJob(std::uint32_t Number) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Number);
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  StepSpec Step;
  Step.Count_ = 24;
  Step.MaxPerWorker_ = 4;
  Step.Request_ = {1500, 1000, 0};
  Step.Estimate_ = 800ms;
  Job.Spec_.Steps_ = {Step};
  return Job;
}

QueueTable makeOneQueue() {
  QueueTable Queues;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Queues.Queues_ = {Batch};
  return Queues;
}

/// Simulates some standstills of owners, each while jobs start and a worker
/// restarts. Returns the first violation, or an empty text.
std::string simulateStandstills(std::uint64_t Seed) {
  SimulatedCell Cell(Seed, 6, {});
  Cell.setSendingTime(5ms);
  Cell.enablePowerLoss();
  Cell.configure(makeOneQueue());
  Cell.run(2s);
  for (std::uint32_t Round = 0; Round < 4; ++Round) {
    Duration Standstill = between(Cell, 2600ms, 5500ms);
    std::size_t Lost = Cell.random()() % Cell.workerCount();
    // The worker is back about when the owner goes on.
    Cell.setRestartTime(Standstill + between(Cell, -300ms, 100ms));
    Cell.crashWorker(Lost, true);
    Cell.submit(makeWideJob(Round));
    Cell.run(between(Cell, 10ms, 200ms));
    Cell.freezeOwner(Standstill);
    Cell.run(2600ms);
    Cell.takeOver(OwnerEnd::CutOff);
    Cell.run(12s);
  }
  Cell.run(10s);
  if (Cell.oracle().violations().empty())
    return {};
  const Violation &First = Cell.oracle().violations().front();
  return fmt::format("seed {}: {}: {}", Seed, First.Rule_, First.Detail_);
}

/// Simulates workers that restart while tasks start. Returns the first
/// violation, or an empty text.
std::string simulateUnseenRestarts(std::uint64_t Seed) {
  SimulatedCell Cell(Seed, 6, {});
  Cell.enablePowerLoss();
  Cell.delayRegistrations(400ms);
  Cell.configure(makeOneQueue());
  Cell.run(2s);
  for (std::uint32_t Round = 0; Round < 8; ++Round) {
    Cell.submit(makeWideJob(Round));
    Cell.run(between(Cell, 0ms, 60ms));
    Cell.setRestartTime(between(Cell, 50ms, 1500ms));
    Cell.crashWorker(Cell.random()() % Cell.workerCount(), true);
    if (Cell.chance() < 0.3) {
      Cell.run(between(Cell, 0ms, 600ms));
      Cell.takeOver(OwnerEnd::Killed);
    }
    Cell.run(4s);
  }
  Cell.run(10s);
  if (Cell.oracle().violations().empty())
    return {};
  const Violation &First = Cell.oracle().violations().front();
  return fmt::format("seed {}: {}: {}", Seed, First.Rule_, First.Detail_);
}

/// Simulates owners that end while many tasks end. Returns the first violation,
/// or an empty text.
std::string simulateManyEnds(std::uint64_t Seed) {
  SimulatedCell Cell(Seed, 6, {});
  Cell.limitListedEnds(1 + Seed % 4);
  Cell.configure(makeOneQueue());
  Cell.run(2s);
  for (std::uint32_t Round = 0; Round < 4; ++Round) {
    Cell.submit(makeWideJob(Round));
    Cell.run(between(Cell, 100ms, 600ms));
    Cell.freezeOwner(between(Cell, 500ms, 2500ms));
    Cell.run(2500ms);
    Cell.takeOver(OwnerEnd::Killed);
    Cell.run(8s);
  }
  Cell.run(10s);
  if (Cell.oracle().violations().empty())
    return {};
  const Violation &First = Cell.oracle().violations().front();
  return fmt::format("seed {}: {}: {}", Seed, First.Rule_, First.Detail_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_owner_that_stands_still_and_is_replaced)

// A worker that has restarted knows no fencing token. The former owner repeated
// the starts that had no answer when it stood still.
BOOST_AUTO_TEST_CASE(starts_nothing_afterwards) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    std::string Problem = simulateStandstills(Seed);
    BOOST_TEST(Problem.empty(), Problem);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker_that_restarts_before_the_owner_knows)

// It may execute a start that was sent to its previous incarnation. The task
// was started elsewhere once the next incarnation was known.
BOOST_AUTO_TEST_CASE(runs_no_task_that_is_started_elsewhere) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::string Problem = simulateUnseenRestarts(Seed);
    BOOST_TEST(Problem.empty(), Problem);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker_with_more_ends_than_a_report_lists)

// The runs whose ends were left out counted as lost, and their tasks ran again.
BOOST_AUTO_TEST_CASE(keeps_its_runs_until_their_ends_are_listed) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    std::string Problem = simulateManyEnds(Seed);
    BOOST_TEST(Problem.empty(), Problem);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
