/// \file
/// Checks in random histories that no ready task waits beside free capacity,
/// whatever has kept workers from it.

#include "simulated_cell.h"

#include "filbertspring/base/enum_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// The kind of a task that waits.
enum class TaskKind { Timed, Filler, LongRunning };

/// What may keep a task from workers.
enum class Trouble {
  /// All tasks that start on some workers fail.
  FailingWorkers,
  /// Workers crash and come back under the same id.
  WorkerCrashes,
  RackCrashes,
  /// Some tasks crash their workers.
  DeadlyTasks,
  /// Workers execute tasks of jobs that the owner does not know.
  UnknownRuns,
  /// Calls and transactions are lost or late.
  LostCalls,
  TakeOvers,
  /// Workers crash and do not come back.
  GoneWorkers,
  /// Workers drain and leave.
  DrainedWorkers,
  ClosedZones,
  /// Each worker has a serving task that is sensitive to fillers.
  HarmfulFillers,
  /// Many small tasks compete with large ones.
  SmallTasks,
  /// Steps have a limit of tasks per worker.
  StepLimits,
};

constexpr std::size_t TroubleCount = 13;
constexpr EnumTable<Trouble, TroubleCount> TroubleNames{{
    {Trouble::FailingWorkers, "failing workers"},
    {Trouble::WorkerCrashes, "crashes of workers"},
    {Trouble::RackCrashes, "crashes of racks"},
    {Trouble::DeadlyTasks, "deadly tasks"},
    {Trouble::UnknownRuns, "unknown runs"},
    {Trouble::LostCalls, "lost calls"},
    {Trouble::TakeOvers, "take-overs"},
    {Trouble::GoneWorkers, "gone workers"},
    {Trouble::DrainedWorkers, "drained workers"},
    {Trouble::ClosedZones, "closed zones"},
    {Trouble::HarmfulFillers, "harmful fillers"},
    {Trouble::SmallTasks, "small tasks"},
    {Trouble::StepLimits, "step limits"},
}};
constexpr std::size_t PairCount = TroubleCount * (TroubleCount - 1) / 2;

constexpr std::size_t Workers = 12;
constexpr std::size_t Racks = 3;
constexpr Duration Turn = 250ms;
constexpr int TurnsWithTrouble = 36;
/// Jobs are submitted for this long after the last fault.
constexpr int CalmTurns = 24;
constexpr Duration RestOfHistory = 22s;
constexpr FaultRates OwnFailures{0, 0, 0, 0, 0.03, 0};
constexpr FaultRates LostCalls{0.08, 0.08, 0.05, 0.05, 0.03, 0.2};

/// Tasks of one kind in a cell with some kinds of trouble.
class WaitingHistory {
public:
  WaitingHistory(std::uint64_t Seed, TaskKind Kind, std::set<Trouble> Troubles)
      : Cell_(Seed, Workers, OwnFailures, Racks), Kind_(Kind),
        Troubles_(std::move(Troubles)) {}

  /// Simulates the history and describes the first violation of each rule.
  std::vector<std::string> play();

private:
  bool has(Trouble Wanted) const { return Troubles_.contains(Wanted); }
  /// Returns a random number from \p From to \p To.
  std::int64_t draw(std::int64_t From, std::int64_t To) {
    return From + static_cast<std::int64_t>(Cell_.chance() *
                                            static_cast<double>(To - From + 1));
  }
  AcceptedJob makeJob(const StepSpec &Step);
  void submitServing();
  void submitSmall();
  void submitObserved();
  void submitInTurn();
  void cause(Trouble Next);
  void endTroubles();
  void crashRack();
  void leaveDue();

  SimulatedCell Cell_;
  TaskKind Kind_;
  std::set<Trouble> Troubles_;
  std::size_t Jobs_ = 0;
  std::size_t Lost_ = 0;
  std::size_t TakeOvers_ = 0;
  double FailingShare_ = Cell_.chance();
  std::map<std::size_t, TimePoint> LeaveAt_;
};

AcceptedJob WaitingHistory::makeJob(const StepSpec &Step) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", ++Jobs_);
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  Job.Spec_.Payload_ = "payload of " + Job.Id_;
  Job.Spec_.Steps_ = {Step};
  // Waits by choice take part in the histories. That they end in time is tested
  // in near_place_test.cpp: the runs here are too short for the oracle to
  // notice.
  if (Jobs_ % 2 == 0)
    Job.Spec_.Steps_.front().DataRack_ = "rack-0";
  return Job;
}

void WaitingHistory::submitServing() {
  StepSpec Serving;
  Serving.Count_ = has(Trouble::HarmfulFillers) ? Workers : Workers / 2;
  Serving.Request_ = {2000, 2000, 0};
  Serving.MaxPerWorker_ = 1;
  Serving.IsLongRunning_ = true;
  Serving.Image_ = "serving";
  Serving.TailLatencyTarget_ = 30ms;
  Cell_.submit(makeJob(Serving));
  // The wait of a long-running task counts in a full cell, too.
  std::int64_t MaxResidents =
      Kind_ == TaskKind::LongRunning ? 3 * Workers : Workers / 2;
  StepSpec Resident = Serving;
  Resident.Count_ = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, draw(-MaxResidents, MaxResidents)));
  Resident.Request_ = {2500, 4000, 0};
  Resident.MaxPerWorker_ = 0;
  Resident.Image_ = "resident";
  Resident.TailLatencyTarget_ = {};
  if (Resident.Count_ > 0)
    Cell_.submit(makeJob(Resident));
}

void WaitingHistory::submitSmall() {
  StepSpec Small;
  Small.Count_ = static_cast<std::uint32_t>(draw(1, 4));
  Small.Request_ = {draw(400, 1200), draw(300, 1500), 0};
  Small.Estimate_ = 800ms;
  Cell_.submit(makeJob(Small));
}

void WaitingHistory::submitObserved() {
  bool IsLarge = has(Trouble::SmallTasks) || Cell_.chance() < 0.3;
  StepSpec Step;
  Step.Count_ = static_cast<std::uint32_t>(draw(1, 3));
  Step.Request_ = {IsLarge ? draw(2500, 4000) : draw(500, 2000),
                   IsLarge ? draw(3000, 7000) : draw(500, 2000), 0};
  Step.Estimate_ = 800ms;
  Step.MaxPerWorker_ = has(Trouble::StepLimits) ? 1 : 0;
  Step.SavesProgress_ = Cell_.chance() < 0.3;
  Step.IsLongRunning_ = Kind_ == TaskKind::LongRunning;
  Step.IsFiller_ = Kind_ == TaskKind::Filler;
  if (Step.IsFiller_)
    Step.Image_ = fmt::format("filler-{}", draw(1, 3));
  if (Step.IsLongRunning_) {
    Step.Image_ = fmt::format("lasting-{}", draw(1, 3));
    Step.TailLatencyTarget_ = 30ms;
  }
  AcceptedJob Job = makeJob(Step);
  if (Cell_.chance() < 0.3) {
    Step.DependsOn_ = {0};
    if (!Step.IsLongRunning_)
      Job.Spec_.Steps_.push_back(Step);
  }
  Cell_.submit(Job);
}

void WaitingHistory::submitInTurn() {
  std::int64_t SmallJobs = has(Trouble::SmallTasks) ? draw(3, 6) : draw(0, 1);
  for (std::int64_t Index = 0; Index < SmallJobs; ++Index)
    submitSmall();
  if (Cell_.chance() < 0.15)
    submitObserved();
}

void WaitingHistory::crashRack() {
  auto Rack = static_cast<std::size_t>(draw(0, Racks - 1));
  for (std::size_t Worker = Rack; Worker < Workers; Worker += Racks)
    if (!Cell_.isDown(Worker))
      Cell_.crashWorker(Worker, true);
}

/// Lets the workers leave that have drained for long enough.
void WaitingHistory::leaveDue() {
  std::erase_if(LeaveAt_, [this](const auto &Entry) {
    if (Cell_.now() < Entry.second)
      return false;
    if (!Cell_.isDown(Entry.first))
      Cell_.leave(Entry.first);
    return true;
  });
}

void WaitingHistory::cause(Trouble Next) {
  constexpr std::size_t MaxLost = 2;
  constexpr std::size_t MaxTakeOvers = 3;
  auto Worker = static_cast<std::size_t>(draw(0, Workers - 1));
  bool IsUp = !Cell_.isDown(Worker) && !LeaveAt_.contains(Worker);
  switch (Next) {
  case Trouble::FailingWorkers: {
    // Some or most of a rack, or of all.
    std::size_t Stride = Cell_.chance() < 0.3 ? 1 : Racks;
    bool IsFailing = Cell_.chance() < 0.7;
    for (std::size_t Next = Worker % Stride; Next < Workers; Next += Stride)
      if (Cell_.chance() < FailingShare_)
        Cell_.setFailing(Next, IsFailing);
    return;
  }
  case Trouble::WorkerCrashes:
    if (IsUp)
      Cell_.crashWorker(Worker, true);
    return;
  case Trouble::RackCrashes:
    if (Cell_.chance() < 0.4)
      crashRack();
    return;
  case Trouble::DeadlyTasks: {
    StepSpec Deadly;
    Deadly.Request_ = {1000, 1000, 0};
    AcceptedJob Job = makeJob(Deadly);
    if (Cell_.chance() < 0.4) {
      Cell_.makeDeadly(Job.Id_ + ".0.0.0");
      Cell_.submit(Job);
    }
    return;
  }
  case Trouble::UnknownRuns: {
    StepSpec Unknown;
    Unknown.Request_ = {0, 0, 0};
    Unknown.IsLongRunning_ = true;
    if (IsUp)
      Cell_.startUnknown(Worker, makeJob(Unknown));
    return;
  }
  case Trouble::LostCalls:
    return Cell_.setFaults(Cell_.chance() < 0.7 ? LostCalls : OwnFailures);
  case Trouble::TakeOvers:
    if (++TakeOvers_ <= MaxTakeOvers)
      Cell_.takeOver(Cell_.chance() < 0.5 ? OwnerEnd::CutOff
                                          : OwnerEnd::Killed);
    return;
  case Trouble::GoneWorkers:
    if (IsUp && ++Lost_ <= MaxLost)
      Cell_.crashWorker(Worker, false);
    return;
  case Trouble::DrainedWorkers:
    if (IsUp && ++Lost_ <= 2 * MaxLost) {
      Cell_.drainWorker(Worker);
      LeaveAt_[Worker] = Cell_.now() + 1ms * draw(2000, 6000);
    }
    return;
  case Trouble::ClosedZones:
    return Cell_.setClosedZones(Cell_.chance() < 0.5
                                    ? std::set<std::string>{"zone-a"}
                                    : std::set<std::string>());
  case Trouble::HarmfulFillers:
  case Trouble::SmallTasks:
  case Trouble::StepLimits:
    // They last for the whole history.
    return;
  }
}

void WaitingHistory::endTroubles() {
  for (std::size_t Worker = 0; Worker < Workers; ++Worker)
    Cell_.setFailing(Worker, false);
  Cell_.setFaults(OwnFailures);
}

std::vector<std::string> WaitingHistory::play() {
  QueueTable Table;
  Table.Version_ = 1;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 12;
  Table.Queues_ = {Batch};
  Cell_.configure(Table);
  Cell_.enableReportWaits();
  if (has(Trouble::HarmfulFillers))
    for (const char *Filler : {"filler-1", "filler-2", "filler-3"})
      Cell_.setEffect("serving", Filler, 4);
  Cell_.run(1s);
  submitServing();
  Cell_.run(1s);
  for (int Number = 0; Number < TurnsWithTrouble; ++Number) {
    submitInTurn();
    for (Trouble Next : Troubles_)
      if (Cell_.chance() < 0.25)
        cause(Next);
    leaveDue();
    Cell_.run(Turn);
  }
  endTroubles();
  for (int Number = 0; Number < CalmTurns; ++Number) {
    submitInTurn();
    leaveDue();
    Cell_.run(Turn);
  }
  Cell_.run(RestOfHistory);
  std::vector<std::string> Broken;
  const std::map<std::string, Duration> &Waits = Cell_.oracle().longWaits();
  std::set<std::string> Rules;
  for (std::size_t Index = 0; Index < Cell_.oracle().violations().size();
       ++Index) {
    const Violation &Found = Cell_.oracle().violations()[Index];
    if (!Rules.insert(Found.Rule_).second)
      continue;
    std::string Text = Found.Rule_ + ": " + Found.Detail_;
    if (auto Wait = Waits.find(Text); Wait != Waits.end())
      Text += fmt::format(" for {} ms; {}", Wait->second / 1ms,
                          Cell_.explanations()[Index]);
    Broken.push_back(Text);
  }
  return Broken;
}

/// Returns the troubles of pair \p Number.
std::set<Trouble> pairOf(std::size_t Number) {
  std::size_t First = 0;
  while (Number >= TroubleCount - 1 - First)
    Number -= TroubleCount - 1 - First++;
  return {static_cast<Trouble>(First),
          static_cast<Trouble>(First + 1 + Number)};
}

/// Simulates \p InCi histories, or as many as are asked for by hand, and checks
/// that none has a violation. \p TroublesOf returns the troubles of a seed.
void check(TaskKind Kind, std::uint64_t InCi,
           const std::function<std::set<Trouble>(std::uint64_t)> &TroublesOf) {
  const char *ByHand = std::getenv("FILBERTSPRING_HISTORIES");
  std::uint64_t Histories = ByHand ? std::strtoull(ByHand, nullptr, 10) : InCi;
  std::vector<std::string> Broken;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::set<Trouble> Troubles = TroublesOf(Seed);
    std::string Names;
    for (Trouble Next : Troubles)
      Names +=
          (Names.empty() ? "" : ", ") + std::string(nameOf(TroubleNames, Next));
    for (const std::string &Problem :
         WaitingHistory(Seed, Kind, Troubles).play()) {
      Broken.push_back(fmt::format("seed {} ({}): {}", Seed, Names, Problem));
      BOOST_TEST_MESSAGE(Broken.back());
    }
  }
  BOOST_TEST(Broken.empty(), (Broken.empty() ? "" : Broken.front())
                                 << " and " << Broken.size() << " in all");
}

void checkOneTrouble(TaskKind Kind) {
  check(Kind, TroubleCount, [](std::uint64_t Seed) {
    return std::set<Trouble>{static_cast<Trouble>(Seed % TroubleCount)};
  });
}

void checkTwoTroubles(TaskKind Kind) {
  constexpr std::uint64_t PairsInCi = 20;
  // The first seeds are spread over the pairs.
  constexpr std::uint64_t Stride = 31;
  check(Kind, PairsInCi,
        [](std::uint64_t Seed) { return pairOf(Seed * Stride % PairCount); });
}

BOOST_AUTO_TEST_SUITE(a_ready_task_beside_free_capacity)

BOOST_AUTO_TEST_SUITE(of_a_timed_job)

BOOST_AUTO_TEST_CASE(does_not_wait_after_one_trouble) {
  checkOneTrouble(TaskKind::Timed);
}

BOOST_AUTO_TEST_CASE(does_not_wait_after_two_troubles) {
  checkTwoTroubles(TaskKind::Timed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_a_filler)

BOOST_AUTO_TEST_CASE(does_not_wait_after_one_trouble) {
  checkOneTrouble(TaskKind::Filler);
}

BOOST_AUTO_TEST_CASE(does_not_wait_after_two_troubles) {
  checkTwoTroubles(TaskKind::Filler);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_long_running)

BOOST_AUTO_TEST_CASE(does_not_wait_after_one_trouble) {
  checkOneTrouble(TaskKind::LongRunning);
}

BOOST_AUTO_TEST_CASE(does_not_wait_after_two_troubles) {
  checkTwoTroubles(TaskKind::LongRunning);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
