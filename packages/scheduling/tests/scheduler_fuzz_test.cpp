/// \file
/// Random histories of jobs, workers, owners and the store against the oracle.

#include "virtual_fleet.h"

#include <boost/test/unit_test.hpp>
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

AcceptedJob makeJob(VirtualFleet &Fleet, std::size_t Number) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Number);
  Job.Queue_ = Fleet.chance() < 0.5 ? "urgent" : "batch";
  Job.Service_ = "service";
  Job.Spec_.Payload_ = "payload of " + Job.Id_;
  std::size_t Steps = 1 + Fleet.random()() % 3;
  for (std::uint32_t Number = 0; Number < Steps; ++Number) {
    StepSpec Step;
    Step.Count_ = 1 + static_cast<std::uint32_t>(Fleet.random()() % 5);
    Step.Request_ = {500 + static_cast<std::int64_t>(Fleet.chance() * 3000),
                     1000, 0};
    Step.Estimate_ = std::chrono::milliseconds(800);
    Step.IsFiller_ = Fleet.chance() < 0.3;
    Step.Image_ = Step.IsFiller_ ? "filler" : "";
    if (Number > 0)
      Step.DependsOn_ = {Number - 1};
    Job.Spec_.Steps_.push_back(Step);
  }
  return Job;
}

/// Draws one disturbance.
void disturb(VirtualFleet &Fleet) {
  std::size_t Worker = Fleet.random()() % Fleet.workerCount();
  switch (Fleet.random()() % 9) {
  case 0:
    return Fleet.takeOver(false);
  case 1:
    return Fleet.takeOver(true);
  case 2:
    return Fleet.crashWorker(Worker, true);
  case 3:
    return Fleet.cutWorker(Worker);
  case 4:
    return Fleet.heal();
  case 5:
    return Fleet.setStoreDown(true);
  case 6:
    return Fleet.setStoreDown(false);
  case 7:
    return Fleet.splitOwners();
  default:
    return;
  }
}

/// Plays one history and returns the first broken promise.
std::string play(std::uint64_t Seed) {
  // Half of the histories have faults on calls, too.
  bool HasCallFaults = Seed % 2 == 0;
  FaultRates Rates{0.02, 0.02, 0.02, 0.02, 0.05};
  VirtualFleet Faulty(Seed, 6, HasCallFaults ? Rates : FaultRates());
  Faulty.configure(makeQueues());
  std::vector<std::string> Jobs;
  std::set<std::string> Cancelled;
  for (int Turn = 0; Turn < 60; ++Turn) {
    if (Faulty.chance() < 0.5) {
      AcceptedJob Job = makeJob(Faulty, Jobs.size());
      Jobs.push_back(Job.Id_);
      Faulty.submit(Job);
    }
    if (!Jobs.empty() && Faulty.chance() < 0.05) {
      const std::string &Job = Jobs[Faulty.random()() % Jobs.size()];
      if (Cancelled.insert(Job).second)
        Faulty.cancel(Job);
    }
    if (Faulty.chance() < 0.25)
      disturb(Faulty);
    Faulty.run(std::chrono::milliseconds(
        50 + static_cast<std::int64_t>(Faulty.chance() * 900)));
  }
  Faulty.heal();
  Faulty.setStoreDown(false);
  Faulty.run(std::chrono::seconds(60));
  if (!Faulty.oracle().violations().empty()) {
    const Violation &First = Faulty.oracle().violations().front();
    return fmt::format("seed {}: {}: {}", Seed, First.Rule_, First.Detail_);
  }
  for (const std::string &Job : Jobs) {
    JobState State = *Faulty.storedState(Job);
    if (!isFinal(State))
      return fmt::format("seed {}: lost: {} is {}", Seed, Job,
                         nameOf(JobStateNames, State));
    if (State == JobState::Completed && !Faulty.oracle().isDone(Job))
      return fmt::format("seed {}: {} is completed without its tasks", Seed,
                         Job);
    if (State == JobState::Cancelled && !Cancelled.contains(Job))
      return fmt::format("seed {}: {} is cancelled without cause", Seed, Job);
  }
  return {};
}

BOOST_AUTO_TEST_SUITE(scheduler_under_faults)

BOOST_AUTO_TEST_CASE(keeps_its_promises_in_random_histories) {
  constexpr std::uint64_t Histories = 100;
  std::vector<std::string> Broken;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::string Problem = play(Seed);
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
