#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/progress_codec.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling {
namespace {

AcceptedJob twoSteps() {
  AcceptedJob Accepted;
  Accepted.Id_ = "job";
  StepSpec First;
  First.Count_ = 2;
  StepSpec Second;
  Second.After_ = {0};
  Accepted.Spec_.Steps_ = {First, Second};
  return Accepted;
}

BOOST_AUTO_TEST_SUITE(a_job)

BOOST_AUTO_TEST_CASE(names_its_tasks_by_step_and_index) {
  Job Owned(twoSteps(), {});
  Owned.openSteps(0, {});
  BOOST_TEST(Owned.waiting().size() == 2U);
  BOOST_TEST(Owned.nameOf(1).text() == "job.0.0.1");
  BOOST_TEST(Owned.nameOf(2).text() == "job.0.1.0");
}

BOOST_AUTO_TEST_CASE(opens_a_step_when_all_earlier_tasks_are_done) {
  Job Owned(twoSteps(), {});
  Owned.openSteps(0, {});
  Owned.complete({"job", 0, 0, 0});
  BOOST_TEST(!Owned.openSteps(0, {}));
  Owned.complete({"job", 0, 0, 1});
  BOOST_TEST(Owned.openSteps(0, {}));
  BOOST_TEST(Owned.complete({"job", 0, 1, 0}));
  BOOST_TEST((Owned.state() == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(opens_occurrences_when_they_are_due) {
  AcceptedJob Accepted = twoSteps();
  Accepted.Spec_.Occurrences_ = 2;
  Accepted.Spec_.FirstDueMs_ = 1000;
  Accepted.Spec_.IntervalMs_ = 500;
  Job Owned(std::move(Accepted), {});
  BOOST_TEST(!Owned.openSteps(999, {}));
  BOOST_TEST(Owned.openSteps(1000, {}));
  BOOST_TEST(Owned.waiting().size() == 2U);
  BOOST_TEST(*Owned.nextDueMs() == 1500);
  BOOST_TEST(Owned.openSteps(1500, {}));
  BOOST_TEST(Owned.waiting().size() == 4U);
}

BOOST_AUTO_TEST_CASE(keeps_its_final_state) {
  Job Owned(twoSteps(), {});
  Owned.openSteps(0, {});
  Owned.cancel();
  Owned.fail({"job", 0, 0, 0}, 1, "w", 1);
  BOOST_TEST((Owned.state() == JobState::Cancelled));
  BOOST_TEST(Owned.waiting().empty());
}

BOOST_AUTO_TEST_CASE(is_restored_as_it_was_stored) {
  Job Owned(twoSteps(), {});
  Owned.openSteps(0, {});
  Owned.complete({"job", 0, 0, 0});
  Owned.place({"job", 0, 0, 1}, 7, "w1");
  Result<JobProgress> Read = decodeProgress(encodeProgress(Owned.progress()));
  BOOST_REQUIRE(Read.has_value());
  Job Restored(twoSteps(), {});
  std::vector<TaskName> Placed = Restored.restore(*Read);
  BOOST_REQUIRE(Placed.size() == 1U);
  BOOST_TEST(Placed.front().text() == "job.0.0.1");
  BOOST_TEST(Restored.find(Placed.front())->Progress_.Worker_ == "w1");
  BOOST_TEST(Restored.find(Placed.front())->Progress_.LastRun_ == 7U);
  Restored.openSteps(0, {});
  BOOST_TEST(Restored.waiting().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stored_progress)

BOOST_AUTO_TEST_CASE(of_another_form_is_an_error) {
  for (const char *Text :
       {"", "{}", "{\"state\":\"lost\"}", "{\"state\":5}",
        "{\"state\":\"running\",\"tasks\":{\"a\":[1]}}", "\xff"})
    BOOST_TEST(!decodeProgress(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_specification)

BOOST_AUTO_TEST_CASE(needs_steps_in_an_order_that_can_be_kept) {
  JobSpec Spec;
  BOOST_TEST(!findSpecError(Spec).empty());
  Spec = twoSteps().Spec_;
  BOOST_TEST(findSpecError(Spec).empty());
  Spec.Steps_[0].After_ = {1};
  BOOST_TEST(!findSpecError(Spec).empty());
  Spec = twoSteps().Spec_;
  Spec.Steps_[1].Count_ = 0;
  BOOST_TEST(!findSpecError(Spec).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
