#include "cell_fixture.h"

#include <set>

namespace filbertspring::scheduling::test {
namespace {

/// Tasks that wait longer beside free capacity are lost for their users.
constexpr Duration MaxWait = 3s;

/// A cell whose workers each run a serving task that the filler slows down.
struct SensitiveCell : Cell {
  SensitiveCell() {
    Scheduler_.restoreInterference(std::vector<InterferenceEstimate>{
        {"serving", "", {2.0, 0.05}}, {"serving", "filler", {4.0, 0.05}}});
    StepSpec Serving = task(2, 2000);
    Serving.IsLongRunning_ = true;
    Serving.Image_ = "serving";
    Serving.MaxPerWorker_ = 1;
    Serving.TailLatencyTarget_ = 30ms;
    submit("00000000000000aa", {Serving});
    run(2s);
  }

  void run(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      acceptStarts();
      for (const StartTask &Start : std::exchange(Starts_, {}))
        Started_.insert(Start.Name_.Job_);
      for (auto &[Worker, Tasks] : RunningTasks_)
        for (RunningTask &Running : Tasks)
          Running.Load_ = Running.Name_.Job_ == "00000000000000aa" ? 8 : 1000;
      answerRenewals();
    }
  }

  std::set<std::string> Started_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_filler_that_would_be_harmful_everywhere_at_full_speed)

BOOST_FIXTURE_TEST_CASE(does_not_wait_until_the_serving_tasks_are_gone,
                        SensitiveCell) {
  StepSpec Filler = task(1, 4000);
  Filler.IsFiller_ = true;
  Filler.Image_ = "filler";
  submit("00000000000000bb", {Filler});
  run(1s);
  BOOST_TEST(!Started_.contains("00000000000000bb"));
  run(MaxWait - 1s);
  BOOST_TEST(Started_.contains("00000000000000bb"));
  run(1s);
  BOOST_TEST(Paces_["00000000000000bb.0.0.0"] > 0);
  BOOST_TEST(Paces_["00000000000000bb.0.0.0"] < 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
