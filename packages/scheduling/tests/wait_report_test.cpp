#include "cell_fixture.h"

#include <optional>

namespace filbertspring::scheduling::test {
namespace {

/// A cell that collects the records about waiting tasks.
struct ReportingCell : Cell {
  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      acceptStarts();
      Starts_.clear();
      answerRenewals();
      for (LogRecord &Logged : Scheduler_.takeLogRecords())
        if (Logged.Event_ == LogEvent::TaskWaits)
          Waits_.push_back(std::move(Logged));
    }
  }

  std::string field(const LogRecord &Logged, const std::string &Name) {
    for (const auto &[Key, Value] : Logged.Fields_)
      if (Key == Name)
        return Value;
    return {};
  }

  std::vector<LogRecord> Waits_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_task_that_waits)

BOOST_FIXTURE_TEST_CASE(is_not_reported_within_a_second, ReportingCell) {
  submit("00000000000000aa", {task(16)});
  submit("00000000000000bb", {task(1)});
  play(980ms);
  BOOST_TEST(Waits_.empty());
}

BOOST_FIXTURE_TEST_CASE(is_reported_with_what_keeps_it_from_each_worker,
                        ReportingCell) {
  submit("00000000000000aa", {task(8)});
  list("w2", true);
  submit("00000000000000bb", {task(1)});
  play(2500ms);
  BOOST_REQUIRE(!Waits_.empty());
  BOOST_TEST(field(Waits_.back(), "task") == "00000000000000bb.0.0.0");
  BOOST_TEST(field(Waits_.back(), "eligible") == "0");
  BOOST_TEST(field(Waits_.back(), "obstacles") == "not_usable:1,no_capacity:1");
}

BOOST_FIXTURE_TEST_CASE(is_reported_once_a_second, ReportingCell) {
  submit("00000000000000aa", {task(16)});
  step();
  for (int Number = 10; Number < 60; ++Number)
    submit("00000000000000" + std::to_string(Number), {task(1)});
  play(5s);
  BOOST_TEST(Waits_.size() <= 5U);
  BOOST_TEST(field(Waits_.back(), "jobs") == "50");
}

BOOST_FIXTURE_TEST_CASE(is_reported_as_long_running_beside_older_timed_ones,
                        ReportingCell) {
  submit("00000000000000aa", {task(16)});
  step();
  submit("00000000000000bb", {task(1)});
  play(2s);
  StepSpec Serving = task(1);
  Serving.IsLongRunning_ = true;
  submit("00000000000000cc", {Serving});
  play(2500ms);
  std::map<std::string, std::string> Tasks;
  for (const LogRecord &Logged : Waits_)
    Tasks[field(Logged, "kind")] = field(Logged, "task");
  BOOST_TEST(Tasks["timed"] == "00000000000000bb.0.0.0");
  BOOST_TEST(Tasks["long_running"] == "00000000000000cc.0.0.0");
  BOOST_TEST(field(Waits_.back(), "isolation") == "none");
}

BOOST_FIXTURE_TEST_CASE(is_not_reported_while_others_of_its_job_run,
                        ReportingCell) {
  submit("00000000000000aa", {task(20)});
  play(3s);
  BOOST_TEST(Waits_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
