/// \file
/// Checks random histories of jobs, workers, owners and store faults with the
/// oracle.

#include "simulated_cell.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

QueueTable makeQueues() {
  QueueTable Table;
  Table.Version_ = 1;
  Queue Urgent;
  Urgent.Name_ = "urgent";
  Urgent.Service_ = "service";
  Urgent.Attempts_ = 4;
  Urgent.SlackFactor_ = 1.5;
  Queue Batch = Urgent;
  Batch.Name_ = "batch";
  Batch.Priority_ = 2;
  Batch.Attempts_ = 3;
  Table.Queues_ = {Urgent, Batch};
  return Table;
}

AcceptedJob makeJob(SimulatedCell &Cell, std::size_t Number) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Number);
  Job.Queue_ = Cell.chance() < 0.5 ? "urgent" : "batch";
  Job.Service_ = "service";
  Job.Spec_.Payload_ = "payload of " + Job.Id_;
  if (Cell.chance() < 0.08) {
    StepSpec LongRunning;
    LongRunning.Count_ = 2;
    LongRunning.Request_ = {1000, 1000, 0};
    LongRunning.IsLongRunning_ = true;
    LongRunning.SavesProgress_ = Cell.chance() < 0.5;
    Job.Spec_.Steps_ = {LongRunning};
    return Job;
  }
  std::size_t Steps = 1 + Cell.random()() % 3;
  for (std::uint32_t Number = 0; Number < Steps; ++Number) {
    StepSpec Step;
    Step.Count_ = 1 + static_cast<std::uint32_t>(Cell.random()() % 5);
    Step.Request_ = {500 + static_cast<std::int64_t>(Cell.chance() * 3000),
                     1000, Cell.chance() < 0.2 ? 1 : 0};
    Step.Estimate_ = std::chrono::milliseconds(800);
    Step.IsFiller_ = Cell.chance() < 0.3;
    Step.Image_ = Step.IsFiller_ ? "filler" : "";
    Step.SavesProgress_ = Cell.chance() < 0.4;
    if (Number > 0)
      Step.DependsOn_ = {Number - 1};
    Job.Spec_.Steps_.push_back(Step);
  }
  return Job;
}

/// Injects one random fault or repair, or none.
void injectFault(SimulatedCell &Cell) {
  std::size_t Worker = Cell.random()() % Cell.workerCount();
  switch (Cell.random()() % 12) {
  case 0:
    return Cell.takeOver(OwnerEnd::Killed);
  case 1:
    return Cell.takeOver(OwnerEnd::CutOff);
  case 2:
    return Cell.crashWorker(Worker, true);
  case 3:
    return Cell.isolateWorker(Worker);
  case 4:
    return Cell.restoreNetwork();
  case 5:
    return Cell.setStoreDown(true);
  case 6:
    return Cell.setStoreDown(false);
  case 7:
    return Cell.splitOwners();
  case 8:
  case 9:
    return Cell.resizeWorker(Worker,
                             0.25 * static_cast<double>(Cell.random()() % 5));
  default:
    return;
  }
}

/// Ends all faults and lets \p Time pass without one.
void runCalm(SimulatedCell &Cell, Duration Time) {
  Cell.restoreNetwork();
  Cell.setStoreDown(false);
  Cell.setCallFaults(false);
  Cell.run(Time);
  Cell.setCallFaults(true);
}

/// Simulates one random history and returns the first violation, or an empty
/// string.
std::string simulate(std::uint64_t Seed) {
  // Half of the histories also have faults on single calls.
  bool HasCallFaults = Seed % 2 == 0;
  FaultRates Rates{0.02, 0.02, 0.02, 0.02, 0.05, 0.2};
  SimulatedCell Cell(Seed, 6, HasCallFaults ? Rates : FaultRates());
  Cell.configure(makeQueues());
  std::vector<std::string> Jobs;
  std::vector<std::string> LongRunningJobs;
  std::set<std::string> Cancelled;
  auto Cancel = [&](const std::string &Job) {
    if (Cancelled.insert(Job).second)
      Cell.cancel(Job);
  };
  // The latest jobs are those with tasks that are about to start or run.
  auto CancelRecent = [&] {
    for (std::size_t Count = 0; Count < 3 && Count < Jobs.size(); ++Count)
      if (Cell.chance() < 0.5)
        Cancel(Jobs[Jobs.size() - 1 - Count]);
    if (!LongRunningJobs.empty())
      Cancel(LongRunningJobs[Cell.random()() % LongRunningJobs.size()]);
  };
  bool HasDeadlyTasks = Seed % 3 == 0;
  std::set<std::string> Deadly;
  for (int Turn = 0; Turn < 60; ++Turn) {
    if (Cell.chance() < 0.5) {
      AcceptedJob Job = makeJob(Cell, Jobs.size());
      Jobs.push_back(Job.Id_);
      if (Job.Spec_.isLongRunning())
        LongRunningJobs.push_back(Job.Id_);
      Cell.submit(Job);
      if (HasDeadlyTasks && Cell.chance() < 0.15) {
        Deadly.insert(Job.Id_);
        Cell.makeDeadly(Job.Id_ + ".0.0.0");
      }
    }
    if (!Jobs.empty() && Cell.chance() < 0.05)
      Cancel(Jobs[Cell.random()() % Jobs.size()]);
    if (Cell.chance() < 0.25) {
      bool HasCancels = Cell.chance() < 0.3;
      if (HasCancels && Cell.chance() < 0.5)
        CancelRecent();
      injectFault(Cell);
      if (HasCancels)
        CancelRecent();
    }
    if (Turn % 20 == 19)
      runCalm(Cell, std::chrono::seconds(8));
    Cell.run(std::chrono::milliseconds(
        50 + static_cast<std::int64_t>(Cell.chance() * 900)));
  }
  for (const std::string &Job : LongRunningJobs)
    Cancel(Job);
  Cell.restoreNetwork();
  Cell.setStoreDown(false);
  for (std::size_t Worker = 0; Worker < Cell.workerCount(); ++Worker)
    Cell.resizeWorker(Worker, 1);
  Cell.run(std::chrono::seconds(50));
  runCalm(Cell, std::chrono::seconds(10));
  if (!Cell.oracle().violations().empty()) {
    const Violation &First = Cell.oracle().violations().front();
    return fmt::format("seed {}: {}: {}", Seed, First.Rule_, First.Detail_);
  }
  for (const std::string &Job : Jobs) {
    JobState State = *Cell.storedState(Job);
    if (!isFinal(State))
      return fmt::format("seed {}: lost: {} is {}", Seed, Job,
                         nameOf(JobStateNames, State));
    if (State == JobState::Completed && !Cell.oracle().isDone(Job))
      return fmt::format("seed {}: {} is completed without its tasks", Seed,
                         Job);
    if (State == JobState::Cancelled && !Cancelled.contains(Job))
      return fmt::format("seed {}: {} is cancelled without cause", Seed, Job);
    if (!Cell.storedCause(Job).empty() && !Deadly.contains(Job))
      return fmt::format("seed {}: {} was given up: {}", Seed, Job,
                         Cell.storedCause(Job));
    if (State == JobState::Completed && Deadly.contains(Job))
      return fmt::format("seed {}: {} cannot be completed", Seed, Job);
  }
  return {};
}

BOOST_AUTO_TEST_SUITE(scheduler_under_faults)

BOOST_AUTO_TEST_CASE(keeps_its_guarantees_in_random_histories) {
  // More histories are simulated by hand.
  const char *ByHand = std::getenv("FILBERTSPRING_HISTORIES");
  std::uint64_t Histories = ByHand ? std::strtoull(ByHand, nullptr, 10) : 100;
  std::vector<std::string> Broken;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::string Problem = simulate(Seed);
    if (!Problem.empty())
      Broken.push_back(Problem);
  }
  for (const std::string &Problem : Broken)
    BOOST_TEST_MESSAGE(Problem);
  BOOST_TEST(Broken.empty(), (Broken.empty() ? "" : Broken.front())
                                 << " and " << Broken.size() << " in all");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
