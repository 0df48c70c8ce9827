/// \file
/// Tests of the scheduler's waits for a place near the data of a step, and of
/// what they must leave alone.

#include "cell_fixture.h"

#include <set>
#include <tuple>

namespace filbertspring::scheduling::test {

namespace {

SchedulerSettings withPolicy(PlaceWaitPolicy Policy) {
  SchedulerSettings Settings;
  Settings.PlaceWait_ = Policy;
  return Settings;
}

/// Worker w1 is near the data and w2 far from it; eight tasks fit on each.
struct CellWithData : Cell {
  explicit CellWithData(PlaceWaitPolicy Policy = LearnedPlaceWait())
      : Cell(withPolicy(Policy)) {
    Racks_ = {{"w1", "near"}, {"w2", "far"}};
    for (const char *Id : {"w1", "w2"})
      list(Id, false);
  }

  static StepSpec nearTask(std::uint32_t Count = 1) {
    StepSpec Step = task(Count);
    Step.DataRack_ = "near";
    Step.Estimate_ = 400ms;
    return Step;
  }

  /// \p Work: the run time of each task of the job.
  void run(const std::string &Id, const StepSpec &Step, Duration Work) {
    Work_[Id] = Work;
    submit(Id, {Step});
  }

  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step(10ms);
      startNew();
      endDue();
      answerRenewals();
      for (const LogRecord &Record : Scheduler_.takeLogRecords())
        Logged_.push_back(Record);
    }
  }

  void startNew() {
    std::vector<StartTask> New = std::exchange(Starts_, {});
    for (const StartTask &Start : New) {
      RunningTasks_[Start.Worker_].push_back(
          {Start.Name_, Start.Run_, "", 0, 0});
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::Accepted, Now_);
      Placed_[Start.Name_.Job_].push_back({Start.Worker_, Now_});
      Ends_.emplace_back(Now_ + Work_[Start.Name_.Job_], Start);
      Decisions_.emplace_back(Now_, Start.Worker_, Start.Name_.text());
    }
  }

  void endDue() {
    std::erase_if(Ends_, [this](const auto &Entry) {
      const StartTask &Start = Entry.second;
      if (Entry.first > Now_)
        return false;
      std::erase_if(RunningTasks_[Start.Worker_], [&](const RunningTask &Each) {
        return Each.Name_.text() == Start.Name_.text();
      });
      EndReason Reason = Failing_.erase(Start.Name_.Job_) > 0
                             ? EndReason::Failed
                             : EndReason::Done;
      EndedTasks_[Start.Worker_].push_back(
          {++LastEnd_[Start.Worker_], Start.Name_, Start.Run_, Reason, ""});
      return true;
    });
  }

  /// Runs tasks on the near worker for two seconds, so that its rate is known,
  /// and leaves it full with tasks that end every 50 ms.
  void occupyNear() {
    for (int Number = 0; Number < 40; ++Number) {
      run("early-" + std::to_string(Number), nearTask(), 350ms);
      play(50ms);
    }
    for (int Number = 0; Number < 8; ++Number)
      run("last-" + std::to_string(Number), nearTask(),
          std::chrono::milliseconds(300 + 50 * Number));
    play(100ms);
  }

  /// Leaves the near worker full with tasks that do not end.
  void blockNear() {
    for (int Number = 0; Number < 8; ++Number)
      run("block-" + std::to_string(Number), nearTask(), 600s);
  }

  bool hasStarted(const std::string &Job) const {
    return Placed_.contains(Job);
  }
  std::string workerOf(const std::string &Job) const {
    auto It = Placed_.find(Job);
    return It == Placed_.end() || It->second.empty() ? "none"
                                                     : It->second.back().first;
  }
  /// Returns how long \p Job takes from now on to its next start, or \p Limit.
  Duration timeToStart(const std::string &Job, Duration Limit) {
    std::size_t Before = Placed_[Job].size();
    TimePoint Since = Now_;
    while (Placed_[Job].size() == Before && Now_ - Since < Limit)
      play(10ms);
    return Now_ - Since;
  }

  std::map<std::string, Duration> Work_;
  /// The next run of these jobs fails.
  std::set<std::string> Failing_;
  std::vector<std::pair<TimePoint, StartTask>> Ends_;
  std::map<std::string, std::uint64_t> LastEnd_;
  std::map<std::string, std::vector<std::pair<std::string, TimePoint>>> Placed_;
  std::vector<std::tuple<TimePoint, std::string, std::string>> Decisions_;
  std::vector<LogRecord> Logged_;
};

/// The pass that decides, the transaction and the start.
constexpr Duration StartTime = 150ms;

} // namespace

BOOST_AUTO_TEST_SUITE(a_task_whose_data_is_on_a_full_rack)

BOOST_FIXTURE_TEST_CASE(waits_for_a_place_that_becomes_free_soon,
                        CellWithData) {
  occupyNear();
  run("late", nearTask(), 400ms);
  BOOST_TEST((timeToStart("late", 2s) < 500ms));
  BOOST_TEST(workerOf("late") == "w1");
  BOOST_TEST(Scheduler_.counts().PlaceWaits_.EndedNear_ >= 1U);
}

BOOST_FIXTURE_TEST_CASE(starts_elsewhere_if_no_place_becomes_free,
                        CellWithData) {
  occupyNear();
  play(1s);
  blockNear();
  play(6s);
  run("late", nearTask(), 400ms);
  BOOST_TEST((timeToStart("late", 2s) <= StartTime));
  BOOST_TEST(workerOf("late") == "w2");
}

BOOST_FIXTURE_TEST_CASE(gives_up_when_the_runs_there_hang, CellWithData) {
  occupyNear();
  play(1s);
  blockNear();
  play(200ms);
  StepSpec Step = nearTask();
  Step.Estimate_ = 5s;
  run("late", Step, 400ms);
  BOOST_TEST((timeToStart("late", 4s) <= 1500ms + StartTime));
  BOOST_TEST(workerOf("late") == "w2");
}

BOOST_FIXTURE_TEST_CASE(starts_elsewhere_when_the_rack_is_lost, CellWithData) {
  occupyNear();
  run("late", nearTask(), 400ms);
  play(20ms);
  BOOST_TEST(!hasStarted("late"));
  list("w1", true);
  BOOST_TEST((timeToStart("late", 2s) <= StartTime));
  BOOST_TEST(workerOf("late") == "w2");
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_again_after_a_failure, CellWithData) {
  occupyNear();
  Failing_ = {"late"};
  run("late", nearTask(), 100ms);
  for (int Number = 0; Number < 4; ++Number)
    run("next-" + std::to_string(Number), nearTask(), 400ms);
  timeToStart("late", 2s);
  BOOST_TEST(workerOf("late") == "w1");
  // The run, the delay of a repetition and the next start.
  BOOST_TEST((timeToStart("late", 2s) <= 100ms + 50ms + StartTime));
  BOOST_TEST(workerOf("late") == "w2");
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_if_it_runs_until_the_end, CellWithData) {
  occupyNear();
  StepSpec Serving = nearTask();
  Serving.IsLongRunning_ = true;
  run("serving", Serving, 600s);
  BOOST_TEST((timeToStart("serving", 2s) <= StartTime));
}

BOOST_FIXTURE_TEST_CASE(leaves_the_other_places_to_other_tasks, CellWithData) {
  occupyNear();
  run("waiting", nearTask(), 400ms);
  play(20ms);
  // The same request: it must not count as one for which no worker is left.
  run("other", task(1), 400ms);
  run("large", task(1, 3000), 400ms);
  play(StartTime);
  BOOST_TEST(workerOf("other") == "w2");
  BOOST_TEST(workerOf("large") == "w2");
}

BOOST_FIXTURE_TEST_CASE(is_reported_with_the_reason_of_its_wait, CellWithData) {
  occupyNear();
  run("waiting", nearTask(), 400ms);
  play(50ms);
  BOOST_TEST(
      std::any_of(Logged_.begin(), Logged_.end(), [](const LogRecord &Record) {
        return Record.Event_ == LogEvent::PlaceWaitDecided &&
               Record.Fields_[2].second == "waits";
      }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_step_that_prefers_one_rack)

namespace {

StepSpec together(std::uint32_t Count) {
  StepSpec Step = Cell::task(Count);
  Step.PrefersOneRack_ = true;
  Step.Estimate_ = 400ms;
  return Step;
}

std::map<std::string, int> workersOf(CellWithData &Racks,
                                     const std::string &Job) {
  std::map<std::string, int> Counts;
  for (const auto &[Worker, At] : Racks.Placed_[Job])
    ++Counts[Worker];
  return Counts;
}

} // namespace

/// Guards against the best fit, which fills up the racks one after the other.
BOOST_FIXTURE_TEST_CASE(starts_where_all_of_its_tasks_fit, CellWithData) {
  run("block", nearTask(4), 600s);
  play(100ms);
  run("step", together(6), 400ms);
  play(StartTime);
  BOOST_TEST(
      (workersOf(*this, "step") == std::map<std::string, int>{{"w2", 6}}));
}

BOOST_FIXTURE_TEST_CASE(is_spread_if_no_rack_has_room_in_time, CellWithData) {
  run("block", nearTask(4), 600s);
  run("block-far", task(4), 600s);
  play(3s);
  run("step", together(6), 400ms);
  play(1500ms + StartTime);
  BOOST_TEST(Placed_["step"].size() == 6U);
  // Larger than any rack.
  run("huge", together(12), 400ms);
  play(2s);
  BOOST_TEST(Placed_["huge"].size() == 12U);
}

BOOST_FIXTURE_TEST_CASE(waits_for_a_rack_that_has_room_soon, CellWithData) {
  // The workers are full with short tasks, whose ends are learned from.
  for (int Number = 0; Number < 60; ++Number) {
    run("short-" + std::to_string(Number), task(2), 380ms);
    if (Number % 10 == 0)
      run("learn-" + std::to_string(Number), together(7), 100ms);
    play(50ms);
  }
  run("step", together(4), 400ms);
  play(2s);
  BOOST_TEST(Placed_["step"].size() == 4U);
  BOOST_TEST(workersOf(*this, "step").size() == 1U);
  BOOST_TEST(Scheduler_.counts().PlaceWaits_.EndedNear_ >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(jobs_that_name_no_rack)

/// Guards against effects on deployments whose jobs do not ask for any.
BOOST_AUTO_TEST_CASE(are_placed_as_without_waits) {
  CellWithData Waiting;
  CellWithData Plain{NoPlaceWait()};
  for (CellWithData *Each : {&Waiting, &Plain})
    for (int Number = 0; Number < 60; ++Number) {
      std::string Id = "job-" + std::to_string(Number);
      StepSpec Step = Cell::task(1 + Number % 5, 500 + 700 * (Number % 4));
      Step.Estimate_ = 300ms;
      Step.IsFiller_ = Number % 7 == 0;
      Each->run(Id, Step, std::chrono::milliseconds(100 + 37 * (Number % 11)));
      Each->play(60ms);
    }
  BOOST_TEST(Waiting.Decisions_.size() > 60U);
  BOOST_TEST((Waiting.Decisions_ == Plain.Decisions_));
  BOOST_TEST(Waiting.Scheduler_.counts().ConsideredWorkers_ ==
             Plain.Scheduler_.counts().ConsideredWorkers_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
