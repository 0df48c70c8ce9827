/// \file
/// Tests of placement passes that are limited, and of the order in which an
/// owner that is late carries out its decisions.

#include "cell_fixture.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

/// A cell with an urgent and a less urgent queue, and room for hundreds of
/// small tasks.
struct LimitedCell : Cell {
  LimitedCell() {
    auto Queues = std::make_shared<QueueTable>();
    Queue Urgent;
    Urgent.Name_ = "urgent";
    Urgent.Service_ = "service";
    Urgent.Attempts_ = 2;
    Queue Batch = Urgent;
    Batch.Name_ = "batch";
    Batch.Priority_ = 2;
    Queues->Queues_ = {Urgent, Batch};
    Scheduler_.configure(Queues);
  }

  void submitTo(const std::string &Queue, const std::string &Id,
                StepSpec Step) {
    AcceptedJob Job;
    Job.Id_ = Id;
    Job.Queue_ = Queue;
    Job.Service_ = "service";
    Job.Spec_.Steps_ = {std::move(Step)};
    Scheduler_.addJob(Job, Now_);
    Scheduler_.advance(Now_, 0, Now_, true);
  }

  /// Stores what was decided. Returns the jobs of the starts.
  std::vector<std::string> store() {
    Starts_.clear();
    PendingWrites Writes = Scheduler_.takeWrites(90);
    Scheduler_.writesStored(Writes, Now_);
    collect();
    std::vector<std::string> Jobs;
    for (const StartTask &Start : Starts_)
      Jobs.push_back(Start.Name_.Job_);
    return Jobs;
  }

  std::uint64_t consideredWorkers() const {
    return Scheduler_.counts().ConsideredWorkers_;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_placement_pass_with_a_limit)

BOOST_FIXTURE_TEST_CASE(places_the_most_urgent_tasks, LimitedCell) {
  submitTo("batch", "batch", task(100, 10));
  submitTo("urgent", "urgent", task(3, 10));
  BOOST_TEST(Scheduler_.place(Now_, 4) == 4U);
  std::vector<std::string> Jobs = store();
  BOOST_TEST(std::count(Jobs.begin(), Jobs.end(), "urgent") == 3);
  BOOST_TEST(std::count(Jobs.begin(), Jobs.end(), "batch") == 1);
}

BOOST_FIXTURE_TEST_CASE(is_continued_without_another_event, LimitedCell) {
  submitTo("batch", "batch", task(10, 10));
  BOOST_TEST(Scheduler_.place(Now_, 4) == 4U);
  BOOST_TEST(Scheduler_.place(Now_, 4) == 4U);
  BOOST_TEST(Scheduler_.place(Now_, 4) == 2U);
  BOOST_TEST(store().size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(considers_no_worker_for_the_rest, LimitedCell) {
  for (int Number = 0; Number < 300; ++Number)
    submitTo("batch", fmt::format("job-{}", Number), task(1, 10 + Number));
  std::uint64_t Before = consideredWorkers();
  BOOST_TEST(Scheduler_.place(Now_, 3) == 3U);
  BOOST_TEST(consideredWorkers() - Before == 3U * 2);
}

BOOST_FIXTURE_TEST_CASE(places_what_one_transaction_stores, LimitedCell) {
  StepSpec Small = task(400, 10);
  Small.Request_.MemoryMb_ = 10;
  submitTo("batch", "first", Small);
  submitTo("batch", "second", Small);
  BOOST_TEST(Scheduler_.place(Now_) == 450U);
  // An urgent job that arrives now waits for that transaction only.
  submitTo("urgent", "urgent", task(100, 10));
  BOOST_TEST(Scheduler_.place(Now_) == 0U);
  BOOST_TEST(store().size() == 450U);
  BOOST_TEST(Scheduler_.counts().WaitingTasks_ == 450U);
}

BOOST_FIXTURE_TEST_CASE(leaves_starts_to_tasks_that_are_not_suspected,
                        LimitedCell) {
  submitTo("batch", "suspects", task(8, 10));
  Scheduler_.place(Now_);
  for (const std::string &Job : store())
    BOOST_TEST(Job == "suspects");
  acceptStarts();
  // Both workers crash and register again.
  Born_ = 2;
  RunningTasks_.clear();
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"})
    list(Id, false, 2);
  step();
  answerRenewals();
  Now_ += 3s;
  submitTo("urgent", "urgent", task(4, 10));
  Scheduler_.place(Now_, 4);
  std::vector<std::string> Jobs = store();
  BOOST_TEST(std::count(Jobs.begin(), Jobs.end(), "urgent") >= 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_step_without_room)

BOOST_FIXTURE_TEST_CASE(is_skipped_though_it_has_a_limit_per_worker,
                        LimitedCell) {
  submitTo("batch", "full", task(2, 8000));
  Scheduler_.place(Now_);
  store();
  for (int Number = 0; Number < 300; ++Number) {
    StepSpec Spread = task(2, 10);
    Spread.MaxPerWorker_ = 1;
    submitTo("batch", fmt::format("spread-{}", Number), Spread);
  }
  std::uint64_t Before = consideredWorkers();
  BOOST_TEST(Scheduler_.place(Now_) == 0U);
  // Once for all of them.
  BOOST_TEST(consideredWorkers() - Before == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_owner_that_is_late)

BOOST_FIXTURE_TEST_CASE(sends_renewals_and_stops_before_starts, LimitedCell) {
  submitTo("batch", "old", task(1, 10));
  Scheduler_.place(Now_);
  store();
  acceptStarts();
  Scheduler_.advance(Now_, 0, Now_, true);
  collect();
  submitTo("urgent", "new", task(2, 10));
  answerRenewals();
  Scheduler_.place(Now_);
  Scheduler_.writesStored(Scheduler_.takeWrites(90), Now_);
  Scheduler_.cancelJob("old", Now_);
  Now_ += 1s;
  Scheduler_.advance(Now_, 0, Now_, true);
  std::vector<Action> Actions = Scheduler_.takeActions();
  auto IsStart = [](const Action &Decided) {
    return std::holds_alternative<StartTask>(Decided);
  };
  BOOST_TEST(std::count_if(Actions.begin(), Actions.end(), IsStart) == 2);
  BOOST_TEST(Actions.size() >= 4U);
  BOOST_TEST(std::is_partitioned(
      Actions.begin(), Actions.end(),
      [&](const Action &Decided) { return !IsStart(Decided); }));
}

BOOST_FIXTURE_TEST_CASE(renews_the_lease_first_that_ends_first, LimitedCell) {
  submitTo("batch", "large", task(2, 8000));
  Scheduler_.place(Now_);
  store();
  acceptStarts();
  Scheduler_.advance(Now_, 0, Now_, true);
  collect();
  BOOST_REQUIRE(Renewals_.size() == 2U);
  auto Answer = [this](const std::string &Worker) {
    WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = 1;
    Report.RunningTasks_ = RunningTasks_[Worker];
    Scheduler_.renewalAnswered(LastRenewals_[Worker], Report, Now_);
  };
  auto Renew = [this] {
    Scheduler_.advance(Now_, 0, Now_, true);
    Renewals_.clear();
    collect();
  };
  // The lease of w2 is renewed a second later than that of w1.
  Answer("w1");
  Now_ += 1s;
  Renew();
  Answer("w2");
  Now_ += 1s;
  Renew();
  Answer("w2");
  Now_ += 1s;
  Answer("w1");
  Renew();
  BOOST_REQUIRE(Renewals_.size() == 2U);
  BOOST_TEST(Renewals_.front().Worker_ == "w1");
}

BOOST_FIXTURE_TEST_CASE(renews_a_short_lease_before_ends_are_stored,
                        LimitedCell) {
  submitTo("batch", "job", task(2, 10));
  Scheduler_.place(Now_);
  store();
  acceptStarts();
  Scheduler_.advance(Now_, 0, Now_, true);
  collect();
  answerRenewals();
  Now_ += 1s;
  Scheduler_.advance(Now_, 0, Now_, true);
  Renewals_.clear();
  collect();
  // The report with an end is processed when little of the lease is left.
  std::string Worker = Starts_.front().Worker_;
  end(EndReason::Done);
  Now_ += 5s;
  answerRenewals();
  Renewals_.clear();
  Scheduler_.advance(Now_, 0, Now_, true);
  collect();
  BOOST_TEST(std::any_of(
      Renewals_.begin(), Renewals_.end(),
      [&](const RenewLease &Sent) { return Sent.Worker_ == Worker; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
