#include "fake_entry.h"
#include "outputs.h"

#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/text_file.h"
#include "filbertspring/report.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

/// Returns the counts of an instance that shed half of the requests.
std::string fastBurnCounts() {
  constexpr std::int64_t Minute = 29'939'040;
  BurnCounter Counter(InstanceName("bodrum-1"));
  BurnSample Sample{ContractName("denizkul-tours"),
                    ServiceName("booking-check"), ZoneName("bodrum"),
                    std::nullopt};
  Counter.count(Sample, Minute);
  Sample.Cause_ = BurnCause::Shed;
  Counter.count(Sample, Minute);
  auto Terms = parseContract(*readTextFile(ExampleContract), {}).Terms_;
  return writeBurnCounts({Minute * 60'000, Counter.records(), {*Terms}},
                         24 * 60 * 60'000);
}

} // namespace

BOOST_AUTO_TEST_SUITE(report_commands)

BOOST_AUTO_TEST_CASE(burn_is_printed_in_each_format) {
  FakeEntry Entry;
  Entry.Burn_ = fastBurnCounts();
  BOOST_TEST(contains(Entry.run({"report", "burn"}).Out_,
                      "denizkul-tours / booking-check: 99% within 250ms: FAST "
                      "BURN"));
  BOOST_TEST(Entry.run({"report", "burn", "--format", "svg"})
                 .Out_.starts_with("<svg"));
  for (const std::vector<std::string> &Arguments :
       {std::vector<std::string>{"report", "burn", "--format", "json"},
        {"report", "burn", "--json"}}) {
    auto Document = nlohmann::json::parse(Entry.run(Arguments).Out_);
    BOOST_TEST(Document["services"][0]["fast_burn"] == true);
  }
}

BOOST_AUTO_TEST_CASE(burn_is_written_to_a_file) {
  FakeEntry Entry;
  Entry.Burn_ = fastBurnCounts();
  const std::string Path = "ctl_test_burn.svg";
  CommandOutput Output =
      Entry.run({"report", "burn", "--format", "svg", "--output", Path});
  BOOST_TEST(Output.Code_ == ExitCode::Done);
  BOOST_TEST(Output.Out_ == "");
  BOOST_TEST(readTextFile(Path)->starts_with("<svg"));
  std::remove(Path.c_str());
  Output = Entry.run({"report", "burn", "--output", "/nonexistent/burn"});
  BOOST_TEST(Output.Code_ == ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(counts_that_cannot_be_read_are_an_error) {
  FakeEntry Entry;
  Entry.Burn_ = "{}";
  CommandOutput Output = Entry.run({"report", "burn"});
  BOOST_TEST(Output.Code_ == ExitCode::Unreachable);
  BOOST_TEST(contains(Output.Error_, "invalid input"));
}

BOOST_AUTO_TEST_SUITE_END()
