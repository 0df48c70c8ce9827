#include "fake_entry.h"
#include "outputs.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(zone_commands)

BOOST_AUTO_TEST_CASE(out_and_in_send_reason_operator_and_version) {
  FakeEntry Entry;
  CommandOutput Output = Entry.run(
      {"zone", "out", "bodrum", "--reason", "power works", "--by", "ayse"});
  BOOST_TEST(Output.Code_ == ExitCode::Done, Output.Error_);
  BOOST_TEST(Output.Out_ == "zone bodrum: out-of-service, version 4\n");
  const nlohmann::json Expected = {{"state", "out-of-service"},
                                   {"reason", "power works"},
                                   {"expected_version", 3},
                                   {"changed_by", "ayse"}};
  BOOST_TEST(Entry.Writes_.at(0) == Expected);
  Output = Entry.run({"zone", "in", "bodrum"});
  BOOST_TEST(Output.Out_ == "zone bodrum: in-service, version 5\n");
}

BOOST_AUTO_TEST_CASE(status_shows_all_zones_or_one) {
  FakeEntry Entry;
  Entry.run(
      {"zone", "out", "bodrum", "--reason", "power works", "--by", "ayse"});
  CommandOutput Output = Entry.run({"zone", "status"});
  BOOST_TEST(contains(Output.Out_, "marmaris"));
  BOOST_TEST(contains(Output.Out_, "ayse power works"));
  Output = Entry.run({"zone", "status", "bodrum", "--json"});
  BOOST_TEST(nlohmann::json::parse(Output.Out_)["state"] == "out-of-service");
}

BOOST_AUTO_TEST_CASE(a_zone_that_does_not_exist_is_not_found) {
  FakeEntry Entry;
  for (const char *Name : {"out", "in", "status"})
    BOOST_TEST(Entry.run({"zone", Name, "atlantis"}).Code_ ==
               ExitCode::NotFound);
  BOOST_TEST(Entry.Writes_.empty());
}

BOOST_AUTO_TEST_CASE(a_conflict_reports_the_current_version_and_its_operator) {
  FakeEntry Entry;
  Entry.BeforeWrite_ = [&] { Entry.change("zone/bodrum", "mehmet"); };
  CommandOutput Output = Entry.run({"zone", "out", "bodrum"});
  BOOST_TEST(Output.Code_ == ExitCode::Conflict);
  BOOST_TEST(contains(Output.Error_, "version 4 by \"mehmet\" came first"));
}

BOOST_AUTO_TEST_SUITE_END()
