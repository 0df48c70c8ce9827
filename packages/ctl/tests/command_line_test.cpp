#include "fake_entry.h"
#include "outputs.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(command_line)

BOOST_AUTO_TEST_SUITE(help)

BOOST_AUTO_TEST_CASE(lists_every_command_and_the_exit_codes) {
  CommandOutput Output = runCommandLine({"--help"});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  for (const char *Name :
       {"contract apply", "contract show", "contract list", "contract diff",
        "zone out", "zone in", "zone status", "job submit", "job status",
        "job cancel", "report burn", "explain", "status"})
    BOOST_TEST(contains(Output.Out_, std::string("  ") + Name), Name);
  BOOST_TEST(contains(Output.Out_, "3 conflict"));
}

BOOST_AUTO_TEST_CASE(of_a_command_shows_options_and_examples) {
  CommandOutput Output = runCommandLine({"zone", "out", "--help"});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  BOOST_TEST(contains(Output.Out_, "--reason TEXT"));
  BOOST_TEST(contains(Output.Out_, "Examples:\n  filbertctl zone out bodrum"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(invalid_command_lines_are_usage_errors) {
  const std::vector<std::vector<std::string>> InvalidCommandLines = {
      {},
      {"zone"},
      {"zone", "sideways", "bodrum"},
      {"zone", "out", "--entry", UnreachableAddress},
      {"zone", "out", "a", "b", "--entry", UnreachableAddress},
      {"zone", "status", "--colour", "--entry", UnreachableAddress},
      {"zone", "status", "--entry", "localhost:18101"},
      {"zone", "status", "--entry", UnreachableAddress, "--timeout", "5"},
      {"zone", "status", "--entry"},
      {"zone", "out", "bodrum", "--entry", UnreachableAddress,
       "--expected-version", "x"},
      {"report", "burn", "--format", "pdf", "--entry", UnreachableAddress},
      {"contract", "apply", "/nonexistent", "--entry", UnreachableAddress}};
  for (const std::vector<std::string> &Arguments : InvalidCommandLines) {
    CommandOutput Output = runCommandLine(Arguments);
    BOOST_TEST(Output.Code_ == ExitCode::Usage, Output.Error_);
    BOOST_TEST(Output.Out_ == "");
    BOOST_TEST(Output.Error_ != "");
  }
}

BOOST_AUTO_TEST_SUITE(with_several_entry_instances)

BOOST_AUTO_TEST_CASE(
    reads_and_writes_try_the_next_instance_when_nothing_was_sent) {
  FakeEntry Entry;
  for (const char *Name : {"status", "out"}) {
    CommandOutput Output =
        runCommandLine({"zone", Name, "bodrum", "--entry", UnreachableAddress,
                        "--entry", Entry.address()});
    BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  }
  BOOST_TEST(Entry.Writes_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_instance_that_is_not_ready_is_skipped) {
  FakeEntry First;
  FakeEntry Second;
  First.NotReady_ = true;
  std::string Both = First.address() + "," + Second.address();
  CommandOutput Output =
      runCommandLine({"zone", "out", "bodrum", "--entry", Both});
  BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  Second.NotReady_ = true;
  Output = runCommandLine({"zone", "out", "bodrum", "--entry", Both});
  BOOST_TEST(Output.Code_ == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_never_sent_again) {
  FakeEntry First;
  FakeEntry Second;
  First.LoseAnswers_ = true;
  CommandOutput Output =
      runCommandLine({"zone", "out", "bodrum", "--entry",
                      First.address() + "," + Second.address()});
  BOOST_TEST(Output.Code_ == ExitCode::OutcomeUnknown);
  BOOST_TEST(contains(Output.Error_, "may have taken effect"));
  BOOST_TEST(First.Writes_.size() == 1U);
  BOOST_TEST(Second.Writes_.size() == 0U);
}

BOOST_AUTO_TEST_CASE(status_shows_each_instance) {
  FakeEntry Entry;
  CommandOutput Output = runCommandLine(
      {"status", "--entry", Entry.address() + "," + UnreachableAddress});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  BOOST_TEST(contains(Output.Out_, "bodrum-1 at " + Entry.address() +
                                       " in bodrum: ready, platform reachable"
                                       ", head 7"));
  BOOST_TEST(contains(Output.Out_, "127.0.0.1:1: no answer"));
  Output = runCommandLine({"status", "--entry", UnreachableAddress});
  BOOST_TEST(Output.Code_ == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
