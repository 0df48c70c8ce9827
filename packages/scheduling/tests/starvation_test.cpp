#include "cell_fixture.h"

#include <set>

namespace filbertspring::scheduling::test {
namespace {

/// Tasks that wait longer beside free capacity are lost for their users.
constexpr Duration MaxWait = 3s;

/// A cell whose workers are kept full by small tasks, which end one at a time.
struct BusyCell : Cell {
  static StepSpec filler(StepSpec Step) {
    Step.IsFiller_ = true;
    Step.Image_ = "image";
    return Step;
  }
  static StepSpec longRunning(StepSpec Step) {
    Step.IsLongRunning_ = true;
    Step.Image_ = "image";
    return Step;
  }

  /// Submits small tasks that fill the workers, \p Large, and after it more
  /// small tasks than can run in the test.
  void submitAround(const StepSpec &Small, const StepSpec &Large) {
    StepSpec First = Small;
    First.Count_ = 2 * TasksPerWorker;
    submit("00000000000000aa", {First});
    play(200ms);
    submit("00000000000000bb", {Large});
    StepSpec Backlog = Small;
    Backlog.Count_ = 1000;
    submit("00000000000000cc", {Backlog});
  }

  /// Lets \p Time pass; tasks run for a second.
  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      acceptStarts();
      for (const StartTask &Start : std::exchange(Starts_, {})) {
        Started_.insert(Start.Name_.Job_);
        // The first tasks of a worker end one after another, and so do those
        // that replace them.
        std::size_t &Count = StartsOn_[Start.Worker_];
        Duration RunTime =
            1000ms + (Count < TasksPerWorker ? Count : 0) * 200ms;
        ++Count;
        Ends_.insert({Now_ + RunTime, Start});
      }
      endDueTasks();
      answerRenewals();
    }
  }

  void endDueTasks() {
    while (!Ends_.empty() && Ends_.begin()->first <= Now_) {
      StartTask Ended = Ends_.begin()->second;
      Ends_.erase(Ends_.begin());
      std::erase_if(RunningTasks_[Ended.Worker_], [&](const RunningTask &Task) {
        return Task.Name_.text() == Ended.Name_.text();
      });
      std::vector<EndedTask> &List = EndedTasks_[Ended.Worker_];
      List.push_back(
          {List.size() + 1, Ended.Name_, Ended.Run_, EndReason::Done, ""});
    }
  }

  static constexpr std::size_t TasksPerWorker = 5;
  std::set<std::string> Started_;
  std::map<std::string, std::size_t> StartsOn_;
  std::multimap<TimePoint, StartTask> Ends_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_large_task_behind_which_small_ones_wait)

BOOST_FIXTURE_TEST_CASE(is_not_passed_over_until_none_is_left, BusyCell) {
  submitAround(task(1, 1500), task(1, 3000));
  play(MaxWait);
  BOOST_TEST(Started_.contains("00000000000000bb"));
}

BOOST_FIXTURE_TEST_CASE(is_not_passed_over_for_lack_of_memory, BusyCell) {
  StepSpec Small = task(1, 100);
  Small.Request_.MemoryMb_ = 3000;
  StepSpec Large = task(1, 100);
  Large.Request_.MemoryMb_ = 6000;
  submitAround(Small, Large);
  play(MaxWait);
  BOOST_TEST(Started_.contains("00000000000000bb"));
}

BOOST_FIXTURE_TEST_CASE(is_not_passed_over_as_a_filler, BusyCell) {
  submitAround(filler(task(1, 1500)), filler(task(1, 3000)));
  play(MaxWait);
  BOOST_TEST(Started_.contains("00000000000000bb"));
}

BOOST_FIXTURE_TEST_CASE(is_not_passed_over_as_a_long_running_one, BusyCell) {
  submitAround(task(1, 1500), longRunning(task(1, 3000)));
  // It is placed behind timed tasks for three seconds.
  play(2 * MaxWait);
  BOOST_TEST(Started_.contains("00000000000000bb"));
}

BOOST_FIXTURE_TEST_CASE(leaves_the_other_workers_to_small_ones, BusyCell) {
  submitAround(task(1, 1500), task(1, 7900));
  play(1s);
  std::size_t Before = StartsOn_["w1"] + StartsOn_["w2"];
  play(2s);
  BOOST_TEST(StartsOn_["w1"] + StartsOn_["w2"] - Before >= 2 * TasksPerWorker);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
