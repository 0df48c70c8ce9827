/// \file
/// Checks in random histories which tasks are given up when workers crash.

#include "simulated_cell.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// A cell of which workers and tasks crash.
struct CrashHistory {
  std::size_t Workers_ = 48;
  /// Share of the workers that crash by themselves, and the time between.
  double UnstableWorkers_ = 0;
  Duration MinUptime_ = 2s;
  Duration MaxUptime_ = 5s;
  /// Each of the unstable workers crashes only once.
  bool CrashOnce_ = false;
  Duration RestartTime_ = 1500ms;
  /// Share of the jobs of which a task crashes its workers.
  double DeadlyJobs_ = 0;
  Duration CrashDelay_ = {};
  double JobsPerSecond_ = 20;
  Duration Length_ = 20s;
  Duration DeadlyTime_ = 10s;
  std::uint32_t Tasks_ = 2;
  /// Share of the steps whose tasks are long-running, and are fillers.
  double LongRunning_ = 0;
  double Fillers_ = 0;
  /// Time between two changes of the owner; 0 if there are none.
  Duration TenureTime_{};
};

struct CrashResult {
  std::size_t Jobs_ = 0;
  std::size_t Deadly_ = 0;
  std::vector<std::string> WronglyFailed_;
  std::size_t GivenUp_ = 0;
  std::size_t Unfinished_ = 0;
  /// Average number of crashes that are named in the causes.
  double Crashes_ = 0;
  /// Average time from submission until a deadly job has failed, in seconds.
  double GiveUpTime_ = 0;
  double MaxGiveUpTime_ = 0;
  /// Average share of the workers that are down until the last submission.
  double Down_ = 0;
  double MaxDown_ = 0;
  std::vector<std::string> Violations_;
};

QueueTable makeBatchQueue() {
  QueueTable Table;
  Table.Version_ = 1;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Table.Queues_ = {Batch};
  return Table;
}

CrashResult play(const CrashHistory &History, std::uint64_t Seed) {
  constexpr Duration Turn = 50ms;
  SimulatedCell Cell(Seed, History.Workers_, FaultRates());
  Cell.configure(makeBatchQueue());
  Cell.setRestartTime(History.RestartTime_);
  Cell.enableReportWaits();
  Cell.run(2s);
  TimePoint Start = Cell.now();
  CrashResult Result;
  std::vector<std::string> Jobs;
  std::vector<std::string> LongRunning;
  std::map<std::string, TimePoint> Deadly;
  std::vector<TimePoint> CrashAt(History.Workers_, TimePoint::max());
  auto Uptime = [&] {
    return History.MinUptime_ +
           std::chrono::duration_cast<Duration>(
               Cell.chance() * (History.MaxUptime_ - History.MinUptime_));
  };
  auto Unstable = static_cast<std::size_t>(std::lround(
      History.UnstableWorkers_ * static_cast<double>(History.Workers_)));
  for (std::size_t Worker = 0; Worker < Unstable; ++Worker)
    CrashAt[Worker] = Start + std::chrono::duration_cast<Duration>(
                                  Cell.chance() * History.MaxUptime_);
  std::size_t Ticks = 0;
  TimePoint TakeOverAt = History.TenureTime_ > Duration::zero()
                             ? Start + History.TenureTime_
                             : TimePoint::max();
  TimePoint LastSubmission = Start + History.Length_;
  TimePoint End = LastSubmission + 60s;
  while (Cell.now() < End) {
    bool IsBusy = Cell.now() < LastSubmission;
    std::chrono::duration<double> Elapsed = Cell.now() + Turn - Start;
    auto Due =
        static_cast<std::size_t>(History.JobsPerSecond_ * Elapsed.count());
    while (IsBusy && Jobs.size() < Due) {
      AcceptedJob Job;
      Job.Id_ = fmt::format("{:016x}", Jobs.size());
      Job.Queue_ = "batch";
      Job.Service_ = "service";
      StepSpec Step;
      Step.Count_ = History.Tasks_;
      Step.Request_ = {1000, 1000, 0};
      Step.Estimate_ = 900ms;
      Step.IsLongRunning_ = Cell.chance() < History.LongRunning_;
      Step.IsFiller_ = !Step.IsLongRunning_ && Cell.chance() < History.Fillers_;
      Step.Image_ = Step.IsFiller_ ? "filler" : "";
      if (Step.IsLongRunning_)
        LongRunning.push_back(Job.Id_);
      Job.Spec_.Steps_ = {Step};
      Jobs.push_back(Job.Id_);
      Cell.submit(Job);
      if (Cell.now() < Start + History.DeadlyTime_ &&
          Cell.chance() < History.DeadlyJobs_) {
        Deadly[Job.Id_] = Cell.now();
        Cell.makeDeadly(Job.Id_ + ".0.0.0", History.CrashDelay_);
      }
    }
    if (Cell.now() >= TakeOverAt) {
      TakeOverAt += History.TenureTime_;
      Cell.takeOver(Cell.chance() < 0.5 ? OwnerEnd::CutOff : OwnerEnd::Killed);
    }
    if (Cell.now() >= End - 10s)
      for (const std::string &Job : std::exchange(LongRunning, {}))
        if (!Deadly.contains(Job))
          Cell.cancel(Job);
    std::size_t Down = 0;
    for (std::size_t Worker = 0; Worker < History.Workers_; ++Worker) {
      Down += Cell.isDown(Worker) ? 1 : 0;
      if (Cell.now() < CrashAt[Worker] || Cell.now() > LastSubmission)
        continue;
      if (!Cell.isDown(Worker))
        Cell.crashWorker(Worker, true);
      CrashAt[Worker] = History.CrashOnce_
                            ? TimePoint::max()
                            : Cell.now() + History.RestartTime_ + Uptime();
    }
    double Share =
        static_cast<double>(Down) / static_cast<double>(History.Workers_);
    if (IsBusy) {
      Result.Down_ += Share;
      ++Ticks;
    }
    Result.MaxDown_ = std::max(Result.MaxDown_, Share);
    Cell.run(Turn);
    for (auto &[Job, At] : Deadly)
      if (At != TimePoint() && isFinal(*Cell.storedState(Job))) {
        double Took = std::chrono::duration<double>(Cell.now() - At).count();
        Result.GiveUpTime_ += Took;
        Result.MaxGiveUpTime_ = std::max(Result.MaxGiveUpTime_, Took);
        At = TimePoint();
      }
  }
  Result.Down_ /= static_cast<double>(Ticks);
  Result.Jobs_ = Jobs.size();
  Result.Deadly_ = Deadly.size();
  for (const std::string &Job : Jobs) {
    JobState State = *Cell.storedState(Job);
    bool IsGivenUp = !Cell.storedCause(Job).empty();
    if (IsGivenUp && !Deadly.contains(Job))
      Result.WronglyFailed_.push_back(Cell.storedCause(Job));
    if (IsGivenUp && Deadly.contains(Job)) {
      std::string Cause = Cell.storedCause(Job);
      ++Result.GivenUp_;
      Result.Crashes_ +=
          static_cast<double>(std::count(Cause.begin(), Cause.end(), ' ')) - 4;
    }
    Result.Unfinished_ += isFinal(State) ? 0 : 1;
  }
  if (Result.GivenUp_ > 0) {
    Result.GiveUpTime_ /= static_cast<double>(Result.GivenUp_);
    Result.Crashes_ /= static_cast<double>(Result.GivenUp_);
  }
  for (const Violation &Broken : Cell.oracle().violations())
    Result.Violations_.push_back(Broken.Rule_ + ": " + Broken.Detail_);
  return Result;
}

/// Simulates several histories and checks that exactly the deadly tasks are
/// given up, within their budget.
void check(const CrashHistory &History) {
  // More histories are simulated by hand.
  const char *ByHand = std::getenv("FILBERTSPRING_CRASH_HISTORIES");
  std::uint64_t Seeds = ByHand ? std::strtoull(ByHand, nullptr, 10) : 6;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashResult Result = play(History, Seed);
    std::string Text = fmt::format(
        "seed {}: {} jobs, {} deadly, {} given up after {:.1f} s ({:.1f} s at "
        "most) and {:.1f} crashes, {} given up without cause, {} unfinished, "
        "{:.0f}% of the "
        "workers down ({:.0f}% at most), {} violations",
        Seed, Result.Jobs_, Result.Deadly_, Result.GivenUp_, Result.GiveUpTime_,
        Result.MaxGiveUpTime_, Result.Crashes_, Result.WronglyFailed_.size(),
        Result.Unfinished_, 100 * Result.Down_, 100 * Result.MaxDown_,
        Result.Violations_.size());
    BOOST_TEST_MESSAGE(Text);
    BOOST_TEST(Result.WronglyFailed_.empty(),
               Text << (Result.WronglyFailed_.empty()
                            ? ""
                            : ": " + Result.WronglyFailed_.front()));
    BOOST_TEST(Result.GivenUp_ == Result.Deadly_, Text);
    BOOST_TEST(Result.Violations_.empty(),
               Text << (Result.Violations_.empty()
                            ? ""
                            : ": " + Result.Violations_.front()));
  }
}

BOOST_AUTO_TEST_SUITE(the_tasks_that_are_given_up)

BOOST_AUTO_TEST_CASE(are_none_if_some_workers_crash_again_and_again) {
  CrashHistory History;
  History.UnstableWorkers_ = 0.15;
  check(History);
  History.Tasks_ = 4;
  check(History);
  History.Workers_ = 30;
  History.JobsPerSecond_ = 5;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_none_if_many_workers_crash_once) {
  CrashHistory History;
  History.UnstableWorkers_ = 0.6;
  History.MaxUptime_ = 20s;
  History.CrashOnce_ = true;
  check(History);
  History.JobsPerSecond_ = 5;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.JobsPerSecond_ = 10;
  History.RestartTime_ = 3300ms;
  check(History);
  History.JobsPerSecond_ = 40;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_beside_unstable_workers) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.UnstableWorkers_ = 0.15;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_if_they_crash_late) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.CrashDelay_ = 150ms;
  check(History);
  History.CrashDelay_ = 1500ms;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_whatever_their_kind) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.JobsPerSecond_ = 5;
  History.RestartTime_ = 3300ms;
  History.LongRunning_ = 0.2;
  History.Fillers_ = 0.4;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_in_a_small_cell) {
  CrashHistory History;
  History.Workers_ = 4;
  History.DeadlyJobs_ = 0.1;
  History.JobsPerSecond_ = 2;
  History.RestartTime_ = 3300ms;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_whatever_the_owner) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.JobsPerSecond_ = 10;
  History.RestartTime_ = 3300ms;
  History.TenureTime_ = 4s;
  check(History);
  History.UnstableWorkers_ = 0.15;
  check(History);
}

BOOST_AUTO_TEST_CASE(are_the_deadly_ones_if_workers_return_late) {
  CrashHistory History;
  History.DeadlyJobs_ = 0.1;
  History.JobsPerSecond_ = 5;
  History.RestartTime_ = 9s;
  check(History);
  History.RestartTime_ = 20s;
  check(History);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
