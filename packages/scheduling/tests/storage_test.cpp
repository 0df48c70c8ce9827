/// \file
/// Tests of the order in which progress is stored under load: there are always
/// more changed jobs than fit into one transaction.

#include "cell_fixture.h"
#include "filbertspring/scheduling/progress_codec.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

namespace filbertspring::scheduling::test {
namespace {

constexpr int JobsOfTransaction = 90;

/// A cell in which each transaction is followed by as many changed jobs as the
/// next one holds.
struct LoadedCell : Cell {
  LoadedCell() {
    Capacity_ = {100'000'000, 100'000'000, 0};
    for (const char *Id : {"w1", "w2"})
      list(Id, false);
  }

  /// Submits jobs with lower ids than all others, which fill a transaction.
  void submitMany() {
    for (int Index = 0; Index < JobsOfTransaction; ++Index)
      submit(fmt::format("a{:06}", NextJob_++), {task(1, 1)});
  }

  bool hasStarted(const std::string &Job) const {
    return std::any_of(
        Starts_.begin(), Starts_.end(),
        [&](const StartTask &Start) { return Start.Name_.Job_ == Job; });
  }

  std::uint64_t highestAcknowledgement() const {
    std::uint64_t Highest = 0;
    for (const RenewLease &Renewal : Renewals_)
      Highest = std::max(Highest, Renewal.Acknowledged_);
    return Highest;
  }

  /// Starts \p Tasks tasks, which have been submitted.
  void startAll(std::size_t Tasks) {
    for (std::size_t Answered = 0; Answered < Tasks;) {
      step();
      for (std::size_t Next = std::exchange(Answered, Starts_.size());
           Next < Starts_.size(); ++Next)
        Scheduler_.startAnswered(Starts_[Next].Worker_, Starts_[Next].Name_,
                                 Starts_[Next].Run_, CallOutcome::Accepted,
                                 Now_);
    }
  }

  /// Stops all started tasks at once, each with a checkpoint. They wait, since
  /// nothing can be started any more.
  void stopAll() {
    for (const StartTask &Start : Starts_)
      EndedTasks_[Start.Worker_].push_back(
          {EndedTasks_[Start.Worker_].size() + 1, Start.Name_, Start.Run_,
           EndReason::Stopped, fmt::format("{:016x}", Start.Run_)});
    Scheduler_.setClosedZones({"zone-a", "zone-b"});
    step(1200ms);
    answerRenewals();
  }

  /// Returns how many of the started tasks have a stored checkpoint.
  std::size_t storedCheckpoints() const {
    std::map<std::string, JobProgress> Stored = storedProgress();
    return static_cast<std::size_t>(std::count_if(
        Starts_.begin(), Starts_.end(), [&](const StartTask &Start) {
          const auto &Tasks = Stored[Start.Name_.Job_].Tasks_;
          return !Tasks.at(Start.Name_.text()).Checkpoint_.empty();
        }));
  }

  int NextJob_ = 0;
};

/// A cell with a job of two steps that was completed and whose acceptance was
/// removed from the store.
struct RemovedJob : Cell {
  RemovedJob() {
    // Keeps the first row of the journal and those after it.
    submit("other", {task(1, 100)});
    step();
    Starts_.clear();
    // More tasks than the workers hold at a time.
    Steps_ = {task(3, 4500), task(1)};
    Steps_.back().DependsOn_ = {0};
    submit("job", Steps_);
    for (std::uint64_t End = 1;
         Scheduler_.stateOf("job") != std::optional(JobState::Completed);) {
      step(300ms);
      acceptStarts();
      for (const StartTask &Start : std::exchange(Starts_, {}))
        EndedTasks_[Start.Worker_].push_back(
            {End++, Start.Name_, Start.Run_, EndReason::Done, ""});
      RunningTasks_.clear();
      answerRenewals();
      BOOST_REQUIRE(End < 10U);
    }
    step();
    EndedTasks_.clear();
    Now_ += SchedulerSettings().FinalStateRetention_;
    for (int Round = 0; Round < 3; ++Round) {
      step();
      answerRenewals();
    }
    BOOST_REQUIRE((storedProgress()["job"].State_ == JobState::Completed));
    // The journal becomes shorter while other jobs change.
    for (int Round = 0; Scheduler_.expiredJobs(Now_, 10).empty(); ++Round) {
      submit(fmt::format("b{}", Round), {task(1, 1)});
      step();
      acceptStarts();
      Starts_.clear();
      BOOST_REQUIRE(Round < 100);
    }
    std::vector<std::string> Expired = Scheduler_.expiredJobs(Now_, 10);
    BOOST_REQUIRE(Expired.size() == 1U);
    BOOST_REQUIRE(Expired.front() == "job");
    Scheduler_.jobsRemoved(Expired);
  }

  std::vector<StepSpec> Steps_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_stored_job_that_cannot_be_run)

// Guards against a job that stays queued for good: earlier versions accepted
// jobs beyond the limits.
BOOST_FIXTURE_TEST_CASE(has_failed_and_tells_why, Cell) {
  AcceptedJob Unusable;
  Unusable.Id_ = "00000000000000aa";
  Unusable.Queue_ = "batch";
  Unusable.Service_ = "service";
  Unusable.Spec_.Steps_.emplace_back();
  Scheduler_.addUnusableJob(Unusable, "too many tasks", Now_);
  Scheduler_.addUnusableJob(Unusable, "too many tasks", Now_);
  step();
  step();
  BOOST_TEST(Starts_.empty());
  JobProgress Stored = storedProgress().at(Unusable.Id_);
  BOOST_TEST((Stored.State_ == JobState::Failed));
  BOOST_TEST(Stored.Cause_ == "too many tasks");
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 1h, 10).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_more_jobs_change_than_a_transaction_holds)

BOOST_FIXTURE_TEST_CASE(each_job_is_started_in_its_turn, LoadedCell) {
  submitMany();
  submit("z", {task(1, 1)});
  for (int Round = 0; Round < 3; ++Round) {
    step();
    acceptStarts();
    submitMany();
  }
  BOOST_TEST(hasStarted("z"));
}

BOOST_FIXTURE_TEST_CASE(ends_are_acknowledged, LoadedCell) {
  submit("z", {task(1, 1)});
  step();
  acceptStarts();
  step();
  end(EndReason::Done);
  submitMany();
  submitMany();
  std::uint64_t Highest = 0;
  for (int Round = 0; Round < 4; ++Round) {
    answerRenewals();
    step(300ms);
    submitMany();
    Highest = std::max(Highest, highestAcknowledgement());
  }
  BOOST_TEST(Highest == 1);
}

BOOST_FIXTURE_TEST_CASE(no_end_is_acknowledged_before_it_is_stored,
                        LoadedCell) {
  submit("z", {task(1, 1)});
  step();
  acceptStarts();
  step();
  end(EndReason::Done);
  submitMany();
  submitMany();
  for (int Round = 0; Round < 4; ++Round) {
    answerRenewals();
    step(300ms, false);
    submitMany();
    BOOST_TEST(highestAcknowledgement() == 0);
    BOOST_TEST((storedProgress()["z"].State_ != JobState::Completed));
  }
  answerRenewals();
  step(300ms);
  BOOST_TEST((storedProgress()["z"].State_ == JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_journal)

BOOST_FIXTURE_TEST_CASE(holds_the_changes_of_all_jobs_in_one_row, LoadedCell) {
  submitMany();
  submitMany();
  step();
  BOOST_TEST(LastWrites_.Journal_.Entries_.size() == 2U * JobsOfTransaction);
  BOOST_TEST(LastWrites_.Progress_.empty());
}

BOOST_FIXTURE_TEST_CASE(is_bounded_by_snapshots, LoadedCell) {
  submit("long", {task(1, 1)});
  step();
  acceptStarts();
  std::size_t Longest = 0;
  for (int Round = 0; Round < 400; ++Round) {
    submit(fmt::format("b{:06}", Round), {task(1, 1)});
    step();
    acceptStarts();
    Longest = std::max(Longest, Journal_.size());
  }
  // A new owner reads at most a page of rows.
  BOOST_TEST(Longest < 100U);
  BOOST_TEST(storedProgress()["long"].Tasks_.at("long.0.0.0").Worker_ ==
             Starts_.front().Worker_);
}

BOOST_FIXTURE_TEST_CASE(is_written_again_after_a_failure, LoadedCell) {
  submit("z", {task(3, 1)});
  step(20ms, false);
  BOOST_TEST(Starts_.empty());
  step();
  BOOST_TEST(Starts_.size() == 3U);
  BOOST_TEST(storedProgress()["z"].Tasks_.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(takes_a_step_that_is_larger_than_a_row_in_parts,
                        LoadedCell) {
  submit("large", {task(1000, 1)});
  step();
  BOOST_TEST(LastWrites_.Journal_.Entries_.front().second.Tasks_.size() <
             1000U);
  auto CheckStored = [this] {
    std::map<std::string, JobProgress> Progress = storedProgress();
    for (const StartTask &Start : Starts_)
      BOOST_TEST(Progress["large"].Tasks_.at(Start.Name_.text()).LastRun_ ==
                 Start.Run_);
  };
  CheckStored();
  // A worker gets further starts once it has answered.
  for (int Round = 0; Round < 3; ++Round) {
    for (const StartTask &Start : Starts_)
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::Accepted, Now_);
    step();
  }
  BOOST_TEST(storedProgress()["large"].Tasks_.size() == 1000U);
  BOOST_TEST(Starts_.size() == 1000U);
  CheckStored();
}

BOOST_FIXTURE_TEST_CASE(takes_what_a_pass_placed_in_parts_of_few_bytes,
                        LoadedCell) {
  constexpr std::size_t MaxBytes = 16U << 10U;
  submit("large", {task(400, 1)});
  Scheduler_.advance(Now_, 0, Now_, true);
  Scheduler_.place(Now_);
  for (int Round = 0;
       Round < 20 && storedProgress()["large"].Tasks_.size() < 400U; ++Round) {
    BOOST_TEST(Starts_.empty());
    PendingWrites Writes = Scheduler_.takeWrites(90, MaxBytes);
    BOOST_TEST(encodeJournal(Writes.Journal_.Entries_).size() <= MaxBytes);
    store(Writes);
    Scheduler_.writesStored(Writes, Now_);
    collect();
  }
  BOOST_TEST(storedProgress()["large"].Tasks_.size() == 400U);
  BOOST_TEST(Starts_.size() == 400U);
}

BOOST_FIXTURE_TEST_CASE(has_no_row_that_the_store_would_refuse, LoadedCell) {
  constexpr std::size_t Jobs = 900;
  for (std::size_t Job = 0; Job < Jobs; ++Job)
    submit(fmt::format("{:016x}", Job), {task(1, 1)});
  startAll(Jobs);
  stopAll();
  std::size_t Largest = 0;
  for (int Round = 0; Round < 20; ++Round) {
    step();
    Largest =
        std::max(Largest, encodeJournal(LastWrites_.Journal_.Entries_).size());
  }
  // 64 KiB, of which the encoding of binary values takes a quarter.
  BOOST_TEST(Largest <= 48U << 10U);
  BOOST_TEST(storedCheckpoints() == Jobs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_snapshot)

BOOST_FIXTURE_TEST_CASE(is_never_larger_than_a_row_of_the_store, LoadedCell) {
  constexpr std::size_t Tasks = 2000;
  submit("0123456789abcdef", {task(Tasks, 1)});
  startAll(Tasks);
  stopAll();
  std::size_t Largest = 0;
  // The journal becomes long, and the job is pinned in it.
  for (int Round = 0; Round < 150; ++Round) {
    submit(fmt::format("b{:06}", Round), {task(1, 1)});
    Scheduler_.cancelJob(fmt::format("b{:06}", Round), Now_);
    step();
    for (const auto &[Job, Progress] : LastWrites_.Progress_)
      Largest = std::max(Largest, encodeProgress(Progress).size());
    for (const JournalRow &Rest : LastWrites_.SnapshotRests_)
      Largest = std::max(Largest, encodeJournal(Rest.Entries_).size());
  }
  BOOST_TEST(Largest <= MaxRowBytes);
  BOOST_TEST(storedCheckpoints() == Tasks);
  // The first rows of the journal are not needed any more.
  BOOST_TEST(Journal_.size() < 100U);
}

BOOST_FIXTURE_TEST_CASE(keeps_all_tasks_if_the_answer_to_its_row_is_lost,
                        LoadedCell) {
  constexpr std::size_t Tasks = 2000;
  submit("0123456789abcdef", {task(Tasks, 1)});
  startAll(Tasks);
  stopAll();
  for (int Round = 0; Round < 10; ++Round)
    step();
  int Lost = 0;
  for (int Round = 0; Round < 250; ++Round) {
    submit(fmt::format("b{:06}", Round), {task(1, 1)});
    Scheduler_.cancelJob(fmt::format("b{:06}", Round), Now_);
    PendingWrites Writes = Scheduler_.takeWrites(JobsOfTransaction);
    store(Writes);
    bool IsLost = !Writes.SnapshotRests_.empty() && ++Lost < 3;
    if (IsLost)
      Scheduler_.writesFailed(Writes);
    else
      Scheduler_.writesStored(Writes, Now_);
    step();
    BOOST_REQUIRE(storedCheckpoints() == Tasks);
  }
  BOOST_TEST(Lost >= 3);
  BOOST_TEST(Journal_.size() < 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_whose_rows_were_removed)

BOOST_FIXTURE_TEST_CASE(is_not_stored_again, RemovedJob) {
  for (int Round = 0; Round < 5; ++Round)
    step();
  BOOST_TEST(!Snapshots_.contains("job"));
  BOOST_TEST(LastWrites_.RemovedJobs_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(had_no_rest_of_a_snapshot_in_the_journal, LoadedCell) {
  const std::string Large = "0123456789abcdef";
  constexpr std::size_t Tasks = 2000;
  submit(Large, {task(Tasks, 1)});
  startAll(Tasks);
  stopAll();
  int Other = 0;
  auto ChangeAnother = [&] {
    submit(fmt::format("b{:06}", ++Other), {task(1, 1)});
    Scheduler_.cancelJob(fmt::format("b{:06}", Other), Now_);
    step();
  };
  do {
    ChangeAnother();
    BOOST_REQUIRE(Other < 200);
  } while (LastWrites_.SnapshotRests_.empty());
  Scheduler_.cancelJob(Large, Now_);
  step();
  Now_ += SchedulerSettings().FinalStateRetention_;
  auto IsExpired = [&] {
    std::vector<std::string> Expired = Scheduler_.expiredJobs(Now_, 1000);
    return std::find(Expired.begin(), Expired.end(), Large) != Expired.end();
  };
  do {
    ChangeAnother();
    BOOST_REQUIRE(Other < 1000);
  } while (!IsExpired());
  for (const auto &[Number, Row] : Journal_)
    for (const auto &[Job, Changes] : Row.Entries_)
      BOOST_TEST(Job != Large, Number);
}

BOOST_FIXTURE_TEST_CASE(leaves_no_progress_to_a_new_job_with_its_id,
                        RemovedJob) {
  submit("job", Steps_);
  step();
  JobProgress Stored = storedProgress()["job"];
  BOOST_TEST(!isFinal(Stored.State_));
  for (const auto &[Name, Task] : Stored.Tasks_)
    BOOST_TEST(!Task.IsDone_, Name);
  BOOST_TEST(Starts_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_transaction)

/// The jobs of a cell after a takeover: the journal holds changes of all of
/// them, so each needs a new snapshot.
struct TakenOverCell {
  static constexpr int Jobs = 120;

  TakenOverCell() {
    JournalRow Row{7, {}};
    for (int Job = 0; Job < Jobs; ++Job) {
      AcceptedJob Accepted;
      Accepted.Id_ = fmt::format("{:016x}", Job);
      Accepted.Queue_ = "batch";
      Accepted.Service_ = "service";
      Accepted.Spec_.Steps_ = {Cell::task(200)};
      Scheduler_.addJob(Accepted, TimePoint());
      JobProgress Progress;
      Progress.State_ = JobState::Running;
      for (int Task = 0; Task < 200; ++Task)
        Progress.Tasks_[fmt::format("{}.0.0.{}", Accepted.Id_, Task)] =
            makeStoppedTask(Task);
      Scheduler_.restoreProgress(Accepted.Id_, Progress);
      Row.Entries_.emplace_back(Accepted.Id_, JobProgress());
    }
    Scheduler_.restoreJournalRow(Row);
  }

  static TaskProgress makeStoppedTask(int Number) {
    TaskProgress Progress;
    Progress.Checkpoint_ = fmt::format("{:016x}", Number);
    Progress.LastRun_ = 1'000'001;
    return Progress;
  }

  static std::size_t bytesOf(const PendingWrites &Writes) {
    std::size_t Bytes = encodeJournal(Writes.Journal_.Entries_).size();
    for (const auto &[Job, Progress] : Writes.Progress_)
      Bytes += encodeProgress(Progress).size();
    return Bytes;
  }

  SchedulerSettings settings() const {
    SchedulerSettings Settings;
    Settings.Tenure_ = 1;
    return Settings;
  }

  Scheduler Scheduler_{settings(), TimePoint()};
};

BOOST_FIXTURE_TEST_CASE(is_sent_in_time_over_a_slow_link, TakenOverCell) {
  std::set<std::string> Stored;
  std::vector<std::uint64_t> RemovedRows;
  std::size_t Largest = 0;
  for (int Round = 0; Round < 60; ++Round) {
    PendingWrites Writes = Scheduler_.takeWrites(JobsOfTransaction);
    Largest = std::max(Largest, bytesOf(Writes));
    for (const auto &[Job, Progress] : Writes.Progress_)
      Stored.insert(Job);
    RemovedRows.insert(RemovedRows.end(), Writes.RemovedJournalRows_.begin(),
                       Writes.RemovedJournalRows_.end());
    Scheduler_.writesStored(Writes, TimePoint());
  }
  // 0.7 s at 2 Mbit/s, with the encoding of binary values.
  BOOST_TEST(Largest <= 128U << 10U);
  BOOST_TEST(Stored.size() == std::size_t{Jobs});
  BOOST_TEST(RemovedRows == std::vector<std::uint64_t>{7U},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(with_little_room_still_takes_each_snapshot,
                        TakenOverCell) {
  std::set<std::string> Stored;
  for (int Round = 0; Round < 3 * Jobs; ++Round) {
    PendingWrites Writes = Scheduler_.takeWrites(1, 1024);
    BOOST_TEST(Writes.Progress_.size() <= 1U);
    for (const auto &[Job, Progress] : Writes.Progress_)
      Stored.insert(Job);
    Scheduler_.writesStored(Writes, TimePoint());
  }
  BOOST_TEST(Stored.size() == std::size_t{Jobs});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_row_of_the_journal)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written) {
  JobProgress Changes;
  Changes.State_ = JobState::Running;
  Changes.Tasks_["0a.0.0.1"].Worker_ = "w";
  Changes.Tasks_["0a.0.0.1"].LastRun_ = 3;
  auto Entries = decodeJournal(encodeJournal({{"0a", Changes}, {"0b", {}}}));
  BOOST_REQUIRE(Entries.has_value());
  BOOST_REQUIRE(Entries->size() == 2U);
  BOOST_TEST(Entries->front().first == "0a");
  BOOST_TEST((Entries->front().second.State_ == JobState::Running));
  BOOST_TEST((Entries->front().second.Tasks_ == Changes.Tasks_));
  for (const char *Text : {"", "[]", "7", R"({"0a":7})", R"({"0a":{}})"})
    BOOST_TEST(!decodeJournal(Text).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(does_not_replace_a_newer_snapshot) {
  std::map<std::string, JobProgress> Progress;
  Progress["0a"].IncludedJournal_ = 7;
  Progress["0a"].Tasks_["0a.0.0.0"].LastRun_ = 5;
  JournalRow Row{7, {{"0a", {}}}};
  Row.Entries_.front().second.Tasks_["0a.0.0.0"].LastRun_ = 4;
  applyJournalRow(Row, Progress);
  BOOST_TEST(Progress["0a"].Tasks_["0a.0.0.0"].LastRun_ == 5U);
  Row.Number_ = 8;
  Row.Entries_.front().second.Tasks_["0a.0.0.0"].LastRun_ = 6;
  applyJournalRow(Row, Progress);
  BOOST_TEST(Progress["0a"].Tasks_["0a.0.0.0"].LastRun_ == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
