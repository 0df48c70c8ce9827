#include "filbertspring/domain/job.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

const Placement AnyPlacement{ZoneName("bodrum"), RackName("r1"),
                             WorkerName("w1")};

Job jobWithTasks(std::size_t Count, std::int32_t MaxAttempts = 2) {
  JobRecord Record;
  Record.Id_ = JobId("j1");
  Record.MaxAttempts_ = MaxAttempts;
  Record.Tasks_.resize(Count);
  return Job::restore(Record).value();
}

TaskState stateOf(const Job &Subject) {
  return Subject.record().Tasks_.front().State_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job)

BOOST_AUTO_TEST_SUITE(attempts)

BOOST_AUTO_TEST_CASE(are_numbered_upwards_and_one_at_a_time) {
  Job Subject = jobWithTasks(1);
  BOOST_TEST(Subject.claim(0, AnyPlacement).value() == 1);
  BOOST_TEST(Subject.claim(0, AnyPlacement).error() == Errc::InvalidTransition);
  BOOST_TEST(Subject.evict(0, 1, CheckpointRef("c1"), "zone").has_value());
  BOOST_TEST(Subject.claim(0, AnyPlacement).value() == 2);
}

BOOST_AUTO_TEST_CASE(that_have_ended_accept_no_further_result) {
  Job Subject = jobWithTasks(1);
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.evict(0, 1, CheckpointRef("c1"), "load").has_value());
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.finish(0, 1).error() == Errc::StaleAttempt);
  BOOST_TEST(Subject.evict(0, 1, {}, "again").error() == Errc::StaleAttempt);
  BOOST_TEST(Subject.record().Tasks_[0].Evictions_ == 1);
  BOOST_TEST(Subject.finish(0, 2).has_value());
  BOOST_TEST(Subject.ended());
}

BOOST_AUTO_TEST_CASE(that_fail_are_retried_up_to_the_limit) {
  Job Subject = jobWithTasks(1, 2);
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.fail(0, 1, "exit 1").has_value());
  BOOST_TEST((stateOf(Subject) == TaskState::Waiting));
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.fail(0, 2, "exit 1").has_value());
  BOOST_TEST((stateOf(Subject) == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(that_were_evicted_or_lost_do_not_count_as_failures) {
  Job Subject = jobWithTasks(1, 1);
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.recover(0, 1, "worker lost").has_value());
  BOOST_TEST((stateOf(Subject) == TaskState::Waiting));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(checkpoints)

BOOST_AUTO_TEST_CASE(stay_when_a_later_eviction_made_none) {
  Job Subject = jobWithTasks(1);
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.evict(0, 1, CheckpointRef("c1"), "").has_value());
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.evict(0, 2, {}, "").has_value());
  BOOST_TEST(Subject.record().Tasks_[0].Checkpoint_.str() == "c1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cancellation)

BOOST_AUTO_TEST_CASE(returns_the_running_attempts_and_restarts_none) {
  Job Subject = jobWithTasks(3);
  BOOST_TEST(Subject.claim(0, AnyPlacement).has_value());
  BOOST_TEST(Subject.claim(1, AnyPlacement).has_value());
  BOOST_TEST(Subject.finish(1, 1).has_value());
  std::vector<AttemptRef> Running = Subject.cancel();
  BOOST_TEST(Running.size() == 1U);
  BOOST_TEST(Running.front().Task_.Index_ == 0);
  BOOST_TEST(Subject.ended());
  BOOST_TEST((Subject.record().Tasks_[1].State_ == TaskState::Finished));
  BOOST_TEST(Subject.evict(0, 1, {}, "").error() == Errc::StaleAttempt);
  BOOST_TEST(Subject.claim(2, AnyPlacement).error() == Errc::InvalidTransition);
  BOOST_TEST(Subject.cancel().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stored_rows)

BOOST_AUTO_TEST_CASE(whose_state_contradicts_itself_are_refused) {
  JobRecord Claimed;
  Claimed.Tasks_.resize(1);
  Claimed.Tasks_[0].State_ = TaskState::Claimed;
  BOOST_TEST(Job::restore(Claimed).error() == Errc::InvalidInput);
  BOOST_TEST(Job::restore(JobRecord{}).error() == Errc::InvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
