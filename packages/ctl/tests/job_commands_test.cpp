#include "fake_entry.h"
#include "outputs.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

const std::vector<std::string> Submission = {
    "job",      "submit",    "--contract", "denizkul-tours",
    "--kind",   "permit",    "--key",      "k1",
    "--cpu",    "2 cores",   "--memory",   "4 GiB",
    "--tasks",  "3",         "--run-time", "10min",
    "--zone",   "bodrum",    "--zone",     "marmaris",
    "--urgent", "--payload", "voyage 412"};

} // namespace

BOOST_AUTO_TEST_SUITE(job_commands)

BOOST_AUTO_TEST_CASE(submit_sends_amounts_in_the_units_of_the_protocol) {
  FakeEntry Entry;
  CommandOutput Output = Entry.run(Submission);
  BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  BOOST_TEST(Output.Out_ == "j1\n");
  const nlohmann::json Expected = nlohmann::json::parse(R"({
    "contract": "denizkul-tours", "kind": "permit", "idempotency_key": "k1",
    "tasks": 3,
    "size": {"cpu_millicores": 2000, "memory_mib": 4096, "accelerators": 0},
    "run_time_ms": 600000, "zones": ["bodrum", "marmaris"], "urgent": true,
    "payload": "voyage 412"})");
  BOOST_TEST(Entry.Writes_.at(0) == Expected);
}

BOOST_AUTO_TEST_CASE(submit_reports_everything_that_is_wrong) {
  FakeEntry Entry;
  CommandOutput Output =
      Entry.run({"job", "submit", "--contract", "c", "--cpu", "2", "--memory",
                 "0 GiB", "--tasks", "-1", "--run-time", "1s"});
  BOOST_TEST(Output.Code_ == ExitCode::Findings);
  for (const char *Part :
       {"--kind: is missing", "--key: is missing", "--cpu: \"2\" has no unit",
        "--memory: \"0 GiB\" is not above zero", "--tasks: is out of range"})
    BOOST_TEST(contains(Output.Error_, Part), Part << Output.Error_);
  BOOST_TEST(Entry.Writes_.empty());
}

BOOST_AUTO_TEST_CASE(submit_with_a_lost_answer_advises_to_repeat_the_key) {
  FakeEntry Entry;
  Entry.LoseAnswers_ = true;
  CommandOutput Output = Entry.run(Submission);
  BOOST_TEST(Output.Code_ == ExitCode::OutcomeUnknown);
  BOOST_TEST(contains(Output.Error_, "submit again with the same --key"));
}

BOOST_AUTO_TEST_CASE(status_shows_the_tasks) {
  FakeEntry Entry;
  CommandOutput Output = Entry.run({"job", "status", "j1"});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  BOOST_TEST(contains(Output.Out_, "job j1: denizkul-tours permit is running"));
  BOOST_TEST(contains(
      Output.Out_, "     0  claimed           2  w7                  bodrum"));
  BOOST_TEST(Entry.run({"job", "status", "j2"}).Code_ == ExitCode::NotFound);
}

BOOST_AUTO_TEST_CASE(cancel_prints_the_state) {
  FakeEntry Entry;
  BOOST_TEST(Entry.run({"job", "cancel", "j1"}).Out_ == "job j1: ended\n");
  BOOST_TEST(Entry.run({"job", "cancel", "j2"}).Code_ == ExitCode::NotFound);
}

BOOST_AUTO_TEST_CASE(explain_shows_one_task_or_all) {
  FakeEntry Entry;
  BOOST_TEST(Entry.run({"explain", "j1"}).Out_ ==
             "j1/0 claimed: runs\nj1/1 waiting: no capacity\n");
  BOOST_TEST(Entry.run({"explain", "j1/1"}).Out_ ==
             "j1/1 waiting: no capacity\n");
  BOOST_TEST(Entry.run({"explain", "j1/9"}).Code_ == ExitCode::NotFound);
}

BOOST_AUTO_TEST_SUITE_END()
