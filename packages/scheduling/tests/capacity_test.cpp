/// \file
/// Tests of decisions about workers whose capacity shrinks or grows while they
/// run.

#include "cell_fixture.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

/// A cell whose workers register again with another capacity.
struct ResizableCell : Cell {
  WorkerEntry entry(const std::string &Id, Resources Capacity) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Id;
    Entry.Zone_ = Id == "w1" ? "zone-a" : "zone-b";
    Entry.Capacity_ = Capacity;
    Entry.StartedAtMs_ = 1;
    Entry.Sequence_ = ++Sequence_;
    return Entry;
  }

  void resize(const std::string &Id, Resources Capacity) {
    Scheduler_.workerRegistered(entry(Id, Capacity), Now_);
  }

  /// Submits a job of one step and starts what fits.
  void run(const std::string &Id, const StepSpec &Step) {
    submit(Id, {Step});
    step();
    acceptStarts();
    answerRenewals();
    step();
    Started_.insert(Started_.end(), Starts_.begin(), Starts_.end());
    Starts_.clear();
  }

  std::size_t startsOn(const std::string &Worker) const {
    return static_cast<std::size_t>(std::count_if(
        Starts_.begin(), Starts_.end(),
        [&](const StartTask &Start) { return Start.Worker_ == Worker; }));
  }

  std::uint64_t Sequence_ = 10;
  /// The start commands of tasks that run.
  std::vector<StartTask> Started_;
};

/// The same with only one worker in use, "w1".
struct OneResizableWorker : ResizableCell {
  OneResizableWorker() {
    Capacity_ = {8000, 16000, 4};
    resize("w1", Capacity_);
    Scheduler_.setClosedZones({"zone-b"});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_registration)

BOOST_AUTO_TEST_SUITE(that_arrives_after_a_newer_one)

BOOST_FIXTURE_TEST_CASE(does_not_raise_the_capacity, OneResizableWorker) {
  WorkerEntry Older = entry("w1", Capacity_);
  resize("w1", {1000, 16000, 4});
  Scheduler_.workerRegistered(Older, Now_);
  submit("job", {task(1, 2000)});
  step();
  BOOST_TEST(Starts_.empty());
}

BOOST_FIXTURE_TEST_CASE(of_an_earlier_incarnation_loses_no_runs,
                        OneResizableWorker) {
  WorkerEntry Earlier = entry("w1", Capacity_);
  WorkerEntry Present = entry("w1", {1000, 16000, 4});
  Present.StartedAtMs_ = 2;
  Present.Sequence_ = 1;
  Born_ = 2;
  Scheduler_.workerRegistered(Present, Now_);
  step();
  answerRenewals();
  step();
  run("job", task(1, 1000));
  BOOST_REQUIRE(Started_.size() == 1);
  Scheduler_.workerRegistered(Earlier, Now_);
  step();
  answerRenewals();
  submit("other", {task(1, 1000)});
  step();
  step();
  BOOST_TEST(Starts_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

// For example, after a change of the machine's clock.
BOOST_FIXTURE_TEST_CASE(with_an_earlier_start_counts_if_the_worker_reports_it,
                        OneResizableWorker) {
  WorkerEntry First = entry("w1", Capacity_);
  First.StartedAtMs_ = 5;
  Born_ = 5;
  Scheduler_.workerRegistered(First, Now_);
  step();
  answerRenewals();
  step();
  WorkerEntry Second = entry("w1", Capacity_);
  Second.StartedAtMs_ = 3;
  Second.Sequence_ = 1;
  Born_ = 3;
  for (int Round = 0; Round < 10; ++Round) {
    Scheduler_.workerRegistered(Second, Now_);
    ++Second.Sequence_;
    step(500ms);
    answerRenewals();
  }
  submit("job", {task(1, 1000)});
  step();
  BOOST_TEST(startsOn("w1") == 1);
}

BOOST_FIXTURE_TEST_CASE(that_is_read_again_changes_nothing,
                        OneResizableWorker) {
  WorkerEntry Read = entry("w1", {2000, 16000, 4});
  Scheduler_.workerRegistered(Read, Now_);
  run("job", task(1, 1500));
  BOOST_REQUIRE(Started_.size() == 1);
  Scheduler_.workerRegistered(Read, Now_);
  submit("other", {task(1, 1000)});
  step();
  BOOST_TEST(Starts_.empty());
  BOOST_TEST(Stops_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
