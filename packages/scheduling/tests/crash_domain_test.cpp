/// \file
/// Tests of workers that crash together because they share a rack or a zone.

#include "crash_fixture.h"

namespace filbertspring::scheduling::test {
namespace {

/// Twelve workers in racks of three; each zone has two racks.
struct CellOfRacks : CellWithCrashes {
  CellOfRacks() {
    for (int Number = 1; Number <= 12; ++Number) {
      std::string Id = "w" + std::to_string(Number);
      Racks_[Id] = "rack-" + std::to_string((Number - 1) / 3);
      Zones_[Id] = Number <= 6 ? "zone-a" : "zone-b";
      Machines_[Id];
      list(Id, false);
    }
    run(500ms);
  }

  void crashRack(int Rack) {
    for (const auto &[Id, Name] : Racks_)
      if (Name == "rack-" + std::to_string(Rack))
        crash(Id);
  }

  /// Returns the number of isolated starts since the last call.
  std::size_t takeIsolations() {
    std::size_t Count = 0;
    for (const LogRecord &Logged : Scheduler_.takeLogRecords())
      Count += Logged.Event_ == LogEvent::TaskIsolated ? 1 : 0;
    return Count;
  }

  std::size_t running() const {
    std::size_t Sum = 0;
    for (const auto &[Id, Target] : Machines_)
      Sum += Target.Tasks_.size();
    return Sum;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(racks_that_lose_power)

BOOST_FIXTURE_TEST_CASE(start_their_tasks_again_without_isolation,
                        CellOfRacks) {
  WorkTime_ = 60s;
  submit("good", {task(90)});
  run(300ms);
  crashRack(0);
  crashRack(2);
  run(DownTime_ + 1s);
  BOOST_TEST(running() == 90U);
  BOOST_TEST(takeIsolations() == 0U);
}

BOOST_FIXTURE_TEST_CASE(start_long_running_tasks_without_isolation_each_time,
                        CellOfRacks) {
  WorkTime_ = 600s;
  StepSpec Lasting = task(60);
  Lasting.IsLongRunning_ = true;
  submit("good", {Lasting});
  run(2s);
  for (int Cut = 0; Cut < 4; ++Cut) {
    crashRack(Cut % 2);
    crashRack(2 + Cut % 2);
    run(DownTime_ + 3s);
    BOOST_TEST(running() == 60U);
  }
  BOOST_TEST(takeIsolations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_whose_tasks_crash_a_rack)

BOOST_FIXTURE_TEST_CASE(is_given_up_within_its_budget, CellOfRacks) {
  for (int Index = 0; Index < 12; ++Index)
    Deadly_.insert("bad.0.0." + std::to_string(Index));
  StepSpec OnePerWorker = task(12);
  OnePerWorker.MaxPerWorker_ = 1;
  submit("bad", {OnePerWorker});
  run(60s);
  for (const std::string &Task : Deadly_)
    BOOST_TEST(StartCounts_[Task] <= 5, Task << ": " << StartCounts_[Task]);
  BOOST_TEST((Scheduler_.stateOf("bad") == JobState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
