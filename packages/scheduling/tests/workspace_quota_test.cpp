/// \file
/// Tests of the maximum that a workspace may use on all workers together.

#include "workspace_fixture.h"

#include <fmt/format.h>
#include <set>

namespace filbertspring::scheduling::test {
namespace {

/// The cell, and the next owner, of which the workers answer renewals only.
struct CellWithNextOwner : QuotaCell {
  CellWithNextOwner() : Next_(settings(), Now_) {}

  static SchedulerSettings settings() {
    SchedulerSettings Settings;
    Settings.OwnerToken_ = 2;
    Settings.Tenure_ = 1;
    return Settings;
  }

  /// The next owner reads the store, where another job of alder waits.
  void takeOver() {
    for (const char *Id : {"w1", "w2"}) {
      WorkerEntry Entry;
      Entry.Id_ = Id;
      Entry.Service_ = "service";
      Entry.Address_ = std::string("address-") + Id;
      Entry.Capacity_ = Capacity_;
      Entry.StartedAtMs_ = 1;
      Next_.restoreWorker(Entry, Now_);
      Next_.workerRegistered(Entry, Now_);
    }
    for (const char *Id : {"aa", "bb"}) {
      AcceptedJob Job;
      Job.Id_ = Id;
      Job.Queue_ = "batch";
      Job.Service_ = "service";
      Job.Workspace_ = "alder";
      Job.Spec_.Steps_ = {task(3)};
      Next_.addJob(Job, Now_);
    }
    for (const auto &[Id, Progress] : storedProgress())
      Next_.restoreProgress(Id, Progress);
    // A configuration that is read after the jobs counts, too.
    configure({{"alder", {}, 1.0, ThreeCores}}, Next_);
  }

  void playNext(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End; Now_ += 20ms) {
      Next_.advance(Now_, 0, Now_, true);
      Next_.place(Now_);
      Next_.writesStored(Next_.takeWrites(90), Now_);
      for (const Action &Decided : Next_.takeActions()) {
        if (const auto *Start = std::get_if<StartTask>(&Decided))
          NextStarts_.push_back(*Start);
        if (const auto *Renewal = std::get_if<RenewLease>(&Decided))
          Next_.renewalAnswered(*Renewal, reportOf(Renewal->Worker_), Now_);
      }
    }
  }

  /// Returns the report of a worker that executes all that was started on it.
  WorkerReport reportOf(const std::string &Worker) const {
    WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = 1;
    std::vector<StartTask> Executed = Started_;
    Executed.insert(Executed.end(), Starts_.begin(), Starts_.end());
    for (const StartTask &Start : Executed)
      if (Start.Worker_ == Worker)
        Report.RunningTasks_.push_back({Start.Name_, Start.Run_, "", 0, 0});
    return Report;
  }

  std::int64_t usedByAlder() const {
    for (const WorkspaceCounts &Counts : Next_.workspaceCounts())
      if (Counts.Name_ == "alder")
        return Counts.Used_.MilliCpu_;
    return 0;
  }

  Scheduler Next_;
  std::vector<StartTask> NextStarts_;
};

StepSpec lasting(std::uint32_t Count, std::int64_t MilliCpu = 1000) {
  StepSpec Step = Cell::task(Count, MilliCpu);
  Step.IsLongRunning_ = true;
  return Step;
}

StepSpec filler(std::uint32_t Count) {
  StepSpec Step = Cell::task(Count);
  Step.IsFiller_ = true;
  Step.Image_ = "filler";
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(workspaces)
BOOST_AUTO_TEST_SUITE(a_workspace_at_its_maximum)

BOOST_FIXTURE_TEST_CASE(runs_a_larger_step_in_waves, QuotaCell) {
  submit("aa", {task(7)}, "alder");
  play(200ms);
  BOOST_TEST(startsOf("aa") == 3);
  for (std::size_t Wave = 0; Wave < 2; ++Wave) {
    for (std::size_t Index = 0; Index < 3; ++Index)
      finish(3 * Wave + Index);
    play(200ms);
  }
  BOOST_TEST(startsOf("aa") == 7);
  BOOST_TEST(used("alder").MilliCpu_ == 1000);
}

BOOST_FIXTURE_TEST_CASE(does_not_hold_up_others_behind_it, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  play(1500ms);
  // Capacity that was reserved for the task of alder would keep out birch, and
  // so would a request that counts as one that no worker can take.
  submit("bb", {task(8), task(3)}, "birch");
  play(100ms);
  BOOST_TEST(startsOf("aa") == 3);
  BOOST_TEST(startsOf("bb") == 11);
}

BOOST_FIXTURE_TEST_CASE(does_not_take_the_starts_of_overdue_tasks, QuotaCell) {
  submit("aa", {lasting(9)}, "alder");
  play(4s);
  BOOST_TEST(startsOf("aa") == 3);
  submit("bb", {lasting(8)}, "birch");
  play(100ms);
  BOOST_TEST(startsOf("bb") == 8);
}

BOOST_FIXTURE_TEST_CASE(gets_no_more_for_overdue_tasks, QuotaCell) {
  // Both workers are quarantined after many failures.
  submit("ff", {task(16)}, "birch");
  play(100ms);
  for (std::size_t Index = 0; Index < 16; ++Index)
    finish(Index, EndReason::Failed);
  play(40ms);
  Scheduler_.cancelJob("ff", Now_);
  play(100ms);
  submit("aa", {lasting(5)}, "alder");
  // Starts that are dropped once they are stored must not be decided at all.
  for (TimePoint End = Now_ + 4s; Now_ < End;) {
    step(20ms, false);
    answerRenewals();
    BOOST_TEST(used("alder").MilliCpu_ <= 3000);
  }
  BOOST_TEST(used("alder").MilliCpu_ == 3000);
}

BOOST_FIXTURE_TEST_CASE(counts_memory_and_accelerators, QuotaCell) {
  Capacity_ = {8000, 16000, 8};
  list("w1", false);
  setMaximum({0, 250, 3});
  StepSpec Accelerated = task(4);
  Accelerated.Request_ = {1000, 10, 2};
  submit("aa", {Accelerated}, "alder");
  play(100ms);
  BOOST_TEST(startsOf("aa") == 1);
  submit("bb", {task(9)}, "alder");
  play(100ms);
  BOOST_TEST(startsOf("bb") == 2);
}

BOOST_FIXTURE_TEST_CASE(counts_fillers_with_their_processors, QuotaCell) {
  submit("aa", {filler(5)}, "alder");
  play(4s);
  BOOST_TEST(startsOf("aa") == 3);
  BOOST_TEST(used("alder").MilliCpu_ == 3000);
}

BOOST_FIXTURE_TEST_CASE(never_starts_a_task_above_the_maximum, QuotaCell) {
  submit("aa", {lasting(1, 3001)}, "alder");
  submit("bb", {task(3)}, "alder");
  play(8s);
  BOOST_TEST(startsOf("aa") == 0);
  BOOST_TEST(startsOf("bb") == 3);
}

BOOST_FIXTURE_TEST_CASE(gives_a_large_task_its_turn, QuotaCell) {
  // Small tasks of later jobs would take each processor as it is released.
  submit("aa", {task(3)}, "alder");
  play(100ms);
  submit("bb", {task(1, 2500)}, "alder");
  play(1s);
  submit("cc", {task(20)}, "alder");
  play(100ms);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    finish(Index);
    play(100ms);
  }
  BOOST_TEST(startsOf("bb") == 1);
  BOOST_TEST(startsOf("cc") == 0);
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_for_what_long_running_tasks_use,
                        QuotaCell) {
  submit("aa", {lasting(1)}, "alder");
  play(100ms);
  submit("bb", {task(1, 2500)}, "alder");
  play(1s);
  submit("cc", {task(2)}, "alder");
  play(100ms);
  BOOST_TEST(startsOf("bb") == 0);
  BOOST_TEST(startsOf("cc") == 2);
}

// A task of more than half of the maximum, behind one that runs for long, kept
// all others of its workspace from starting.
BOOST_FIXTURE_TEST_CASE(is_not_held_for_long_while_less_than_half_is_used,
                        QuotaCell) {
  submit("aa", {task(1)}, "alder");
  play(100ms);
  submit("bb", {task(1, 2500)}, "alder");
  play(1s);
  submit("cc", {task(2)}, "alder");
  play(2s);
  BOOST_TEST(startsOf("bb") == 0);
  BOOST_TEST(startsOf("cc") == 2);
}

BOOST_FIXTURE_TEST_CASE(is_named_as_the_reason_of_a_wait, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  submit("ab", {task(8)}, "alder");
  submit("bb", {task(1, 9000)}, "birch");
  play(3s);
  std::map<std::string, std::map<std::string, std::string>> Waits;
  for (const LogRecord &Logged : Scheduler_.takeLogRecords())
    if (Logged.Event_ == LogEvent::TaskWaits) {
      std::map<std::string, std::string> Fields(Logged.Fields_.begin(),
                                                Logged.Fields_.end());
      Waits[Fields.at("kind")] = Fields;
    }
  BOOST_REQUIRE(Waits.contains("at_quota"));
  BOOST_TEST(Waits["at_quota"]["workspace"] == "alder");
  BOOST_TEST(Waits["at_quota"]["obstacles"] == "quota:2");
  // The wait of another workspace is still reported.
  BOOST_TEST(Waits["timed"]["workspace"] == "birch");
  BOOST_TEST(Waits["timed"]["obstacles"] == "no_capacity:2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_maximum)

BOOST_FIXTURE_TEST_CASE(that_is_lowered_stops_nothing, QuotaCell) {
  submit("aa", {lasting(3)}, "alder");
  play(100ms);
  setMaximum({1500, 0, 0});
  submit("bb", {task(3, 100)}, "alder");
  // A task that is moved could not start again.
  list(Started_.front().Worker_, true);
  play(1s);
  BOOST_TEST(Stops_.empty());
  BOOST_TEST(startsOf("bb") == 0);
  BOOST_TEST(used("alder").MilliCpu_ == 3000);
}

BOOST_FIXTURE_TEST_CASE(that_is_lowered_lets_tasks_start_below_it, QuotaCell) {
  submit("aa", {task(3)}, "alder");
  play(100ms);
  setMaximum({1500, 0, 0});
  submit("bb", {task(3, 500)}, "alder");
  finish(0);
  play(200ms);
  BOOST_TEST(startsOf("bb") == 0);
  finish(1);
  play(200ms);
  BOOST_TEST(startsOf("bb") == 1);
}

BOOST_FIXTURE_TEST_CASE(that_is_raised_counts_at_once, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  play(100ms);
  setMaximum({5000, 0, 0});
  play(100ms);
  BOOST_TEST(startsOf("aa") == 5);
}

BOOST_FIXTURE_TEST_CASE(of_a_removed_workspace_stays_in_force, QuotaCell) {
  submit("aa", {task(5)}, "alder");
  play(100ms);
  configure({{"birch", {}, 1.0, {}}}, Scheduler_);
  play(200ms);
  BOOST_TEST(startsOf("aa") == 3);
  finish(0);
  play(200ms);
  BOOST_TEST(startsOf("aa") == 4);
}

BOOST_FIXTURE_TEST_CASE(does_not_apply_to_jobs_without_a_workspace, QuotaCell) {
  submit("aa", {task(12)});
  play(100ms);
  BOOST_TEST(startsOf("aa") == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_use_of_a_workspace)

BOOST_FIXTURE_TEST_CASE(includes_starts_that_are_not_stored, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  step(20ms, false);
  BOOST_TEST(used("alder").MilliCpu_ == 3000);
  step(20ms, false);
  BOOST_TEST(used("alder").MilliCpu_ == 3000);
}

BOOST_FIXTURE_TEST_CASE(includes_starts_without_an_answer, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  step();
  BOOST_REQUIRE(Starts_.size() == 3);
  // The commands may still be executed, until the stops are confirmed.
  for (int Turn = 0; Turn < 100; ++Turn) {
    for (const StartTask &Start : std::exchange(Starts_, {}))
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::NoAnswer, Now_);
    step();
    BOOST_TEST(used("alder").MilliCpu_ == 3000);
  }
  BOOST_TEST(!Stops_.empty());
  for (const StopTask &Stop : Stops_)
    Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                            CallOutcome::Accepted, Now_);
  step(600ms);
  answerRenewals();
  step();
  answerRenewals();
  BOOST_TEST(used("alder").MilliCpu_ == 0);
}

BOOST_FIXTURE_TEST_CASE(does_not_include_refused_starts, QuotaCell) {
  submit("aa", {task(8)}, "alder");
  step();
  for (const StartTask &Start : std::exchange(Starts_, {}))
    Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                             CallOutcome::RejectedNoCapacity, Now_);
  BOOST_TEST(used("alder").MilliCpu_ == 0);
}

BOOST_FIXTURE_TEST_CASE(includes_cancelled_tasks_until_they_have_stopped,
                        QuotaCell) {
  submit("aa", {task(3)}, "alder");
  play(100ms);
  Scheduler_.cancelJob("aa", Now_);
  submit("bb", {task(3)}, "alder");
  play(200ms);
  BOOST_TEST(startsOf("bb") == 0);
  for (const StopTask &Stop : std::exchange(Stops_, {}))
    Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                            CallOutcome::Accepted, Now_);
  RunningTasks_.clear();
  play(200ms);
  BOOST_TEST(startsOf("bb") == 3);
}

BOOST_FIXTURE_TEST_CASE(ends_with_a_worker_that_has_restarted, QuotaCell) {
  submit("aa", {lasting(2)}, "alder");
  play(100ms);
  std::string Lost = Started_.front().Worker_;
  Resources Before = used("alder");
  BOOST_TEST(Before.MilliCpu_ == 2000);
  auto RunsOfLost = std::count_if(
      Started_.begin(), Started_.end(),
      [&](const StartTask &Start) { return Start.Worker_ == Lost; });
  RunningTasks_[Lost].clear();
  list(Lost, false, 2);
  BOOST_TEST(used("alder").MilliCpu_ == 2000 - 1000 * RunsOfLost);
}

BOOST_FIXTURE_TEST_CASE(includes_what_a_restarted_worker_may_start, QuotaCell) {
  submit("aa", {task(1)}, "alder");
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  // The start command is under way and may reach the next incarnation.
  list(Starts_.front().Worker_, false, 2);
  BOOST_TEST(used("alder").MilliCpu_ == 1000);
}

BOOST_FIXTURE_TEST_CASE(includes_runs_that_only_a_report_shows, QuotaCell) {
  step(2100ms);
  submit("aa", {task(4)}, "alder");
  for (std::uint32_t Index = 0; Index < 4; ++Index)
    RunningTasks_["w1"].push_back({{"aa", 0, 0, Index}, 1, "", 0, 0});
  answerRenewals();
  // Above the maximum, but they run.
  BOOST_TEST(used("alder").MilliCpu_ == 4000);
}

BOOST_FIXTURE_TEST_CASE(includes_runs_of_unreachable_workers, QuotaCell) {
  submit("aa", {lasting(3)}, "alder");
  play(100ms);
  submit("bb", {task(3)}, "alder");
  for (TimePoint End = Now_ + 5s; Now_ < End;) {
    step();
    for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
      Scheduler_.renewalFailed(Renewal, CallOutcome::NoAnswer, Now_);
    BOOST_TEST(used("alder").MilliCpu_ == 3000);
  }
  // Until their leases have certainly expired.
  for (TimePoint End = Now_ + 3s; Now_ < End;) {
    step();
    for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
      Scheduler_.renewalFailed(Renewal, CallOutcome::NoAnswer, Now_);
  }
  BOOST_TEST(used("alder").MilliCpu_ == 0);
}

BOOST_FIXTURE_TEST_CASE(includes_runs_of_the_previous_owner,
                        CellWithNextOwner) {
  submit("aa", {task(3)}, "alder");
  // Sent without an answer when the owner is replaced.
  step();
  BOOST_REQUIRE(Starts_.size() == 3);
  takeOver();
  BOOST_TEST(usedByAlder() == 3000);
  playNext(500ms);
  BOOST_TEST(NextStarts_.empty());
  BOOST_TEST(usedByAlder() == 3000);
}

BOOST_FIXTURE_TEST_CASE(includes_what_the_previous_owner_was_stopping,
                        CellWithNextOwner) {
  submit("aa", {task(3)}, "alder");
  play(100ms);
  Scheduler_.cancelJob("aa", Now_);
  // The snapshot of a finished job, which replaces the changes, lists no more
  // than its state and what may still be executed.
  step();
  step();
  Journal_.clear();
  takeOver();
  BOOST_TEST(usedByAlder() == 3000);
  playNext(500ms);
  BOOST_TEST(NextStarts_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
