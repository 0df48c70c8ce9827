#include "fake_entry.h"
#include "outputs.h"

#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/text_file.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace filbertspring;

namespace {

/// A temporary file, removed by the destructor.
class ScratchFile {
public:
  explicit ScratchFile(const std::string &Text) : Path_("ctl_test_scratch") {
    std::ofstream(Path_) << Text;
  }
  ~ScratchFile() { std::remove(Path_.c_str()); }
  ScratchFile(const ScratchFile &) = delete;
  ScratchFile &operator=(const ScratchFile &) = delete;

  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

/// Returns the example contract with the first occurrence of \p From replaced.
std::string exampleWithReplacement(const std::string &From,
                                   const std::string &To) {
  std::string Text = *readTextFile(ExampleContract);
  std::size_t Position = Text.find(From);
  BOOST_REQUIRE(Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

} // namespace

BOOST_AUTO_TEST_SUITE(contract_commands)

BOOST_AUTO_TEST_SUITE(apply)

BOOST_AUTO_TEST_CASE(sends_the_version_that_was_read) {
  FakeEntry Entry;
  CommandOutput Output =
      Entry.run({"contract", "apply", ExampleContract, "--by", "ayse"});
  BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  BOOST_TEST(Output.Out_ == "contract denizkul-tours: version 1 is accepted\n");
  BOOST_TEST(Entry.Writes_.at(0)["expected_version"] == 0);
  BOOST_TEST(Entry.Writes_[0]["changed_by"] == "ayse");

  Output = Entry.run({"contract", "apply", ExampleContract});
  BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  BOOST_TEST(Entry.Writes_.at(1)["expected_version"] == 1);
}

BOOST_AUTO_TEST_CASE(a_conflict_reports_the_current_version_and_its_operator) {
  FakeEntry Entry;
  Entry.BeforeWrite_ = [&] {
    Entry.change("contract/denizkul-tours", "mehmet");
  };
  CommandOutput Output =
      Entry.run({"contract", "apply", ExampleContract, "--json"});
  BOOST_TEST(Output.Code_ == ExitCode::Conflict);
  BOOST_TEST(contains(Output.Error_, "version 1 by \"mehmet\" came first"));
  auto Document = nlohmann::json::parse(Output.Out_);
  BOOST_TEST(Document["version"] == 1);
  BOOST_TEST(Document["changed_by"] == "mehmet");
  BOOST_TEST(Document["exit"] == "conflict");
}

BOOST_AUTO_TEST_CASE(uses_an_expected_version_that_is_given) {
  FakeEntry Entry;
  CommandOutput Output = Entry.run(
      {"contract", "apply", ExampleContract, "--expected-version", "4"});
  BOOST_TEST(Output.Code_ == ExitCode::Conflict);
  BOOST_TEST(Entry.Writes_.at(0)["expected_version"] == 4);
}

BOOST_AUTO_TEST_CASE(prints_all_findings_and_sends_nothing) {
  FakeEntry Entry;
  std::string Text = exampleWithReplacement("\"250ms\"", "250");
  Text.replace(Text.find("marmaris"), 8, "atlantis");
  ScratchFile File(Text);
  CommandOutput Output = Entry.run({"contract", "apply", File.path()});
  BOOST_TEST(Output.Code_ == ExitCode::Findings);
  BOOST_TEST(contains(Output.Error_, "/services/0/latency_target: 250 has no "
                                     "unit"));
  BOOST_TEST(contains(Output.Error_,
                      "/zones/2: availability zone \"atlantis\" does not "
                      "exist"));
  BOOST_TEST(contains(Output.Error_, "2 findings; nothing was changed"));
  BOOST_TEST(Entry.Writes_.empty());
}

BOOST_AUTO_TEST_CASE(checks_the_file_also_when_nothing_can_be_reached) {
  ScratchFile File(exampleWithReplacement("\"250ms\"", "250"));
  CommandOutput Output = runCommandLine(
      {"contract", "apply", File.path(), "--entry", UnreachableAddress});
  BOOST_TEST(Output.Code_ == ExitCode::Findings);
  Output = runCommandLine(
      {"contract", "apply", ExampleContract, "--entry", UnreachableAddress});
  BOOST_TEST(Output.Code_ == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(show_prints_a_file_that_can_be_applied_again) {
  FakeEntry Entry;
  Entry.run({"contract", "apply", ExampleContract, "--by", "ayse"});
  CommandOutput Output = Entry.run({"contract", "show", "denizkul-tours"});
  BOOST_TEST(Output.Out_.starts_with("// version 1 by ayse\n{"));
  BOOST_TEST(parseContract(Output.Out_, {}).Findings_.toText("shown") == "");
  Output = Entry.run({"contract", "show", "no-such-contract"});
  BOOST_TEST(Output.Code_ == ExitCode::NotFound);
}

BOOST_AUTO_TEST_CASE(list_shows_versions_and_operators) {
  FakeEntry Entry;
  Entry.run({"contract", "apply", ExampleContract, "--by", "ayse"});
  CommandOutput Output = Entry.run({"contract", "list"});
  BOOST_TEST(contains(Output.Out_,
                      "denizkul-tours                           1  ayse"));
}

BOOST_AUTO_TEST_CASE(diff_shows_what_apply_would_change_and_changes_nothing) {
  FakeEntry Entry;
  Entry.run({"contract", "apply", ExampleContract});
  BOOST_TEST(Entry.run({"contract", "diff", ExampleContract}).Out_ ==
             "no difference\n");
  ScratchFile File(exampleWithReplacement("\"400/s\"", "\"500/s\""));
  CommandOutput Output = Entry.run({"contract", "diff", File.path()});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  BOOST_TEST(Output.Out_ == "~ /services/0/rate: \"400/s\" -> \"500/s\"\n");
  BOOST_TEST(Entry.Writes_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
