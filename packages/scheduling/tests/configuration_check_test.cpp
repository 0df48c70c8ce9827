/// \file
/// Tests of the check of a configuration before it is sent.

#include "filbertspring/scheduling/configuration_check.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

/// A configuration without findings.
struct SoundTable {
  SoundTable() {
    Table_.Version_ = 7;
    Table_.Services_ = {{"desk", false}};
    Table_.Queues_ = {makeQueue("album", "/album/"),
                      makeQueue("photos", "/album/photos/")};
    Table_.Workspaces_ = {makeWorkspace("first", "abcdefghijklmnop1111"),
                          makeWorkspace("second", "abcdefghijklmnop2222")};
  }

  static Queue makeQueue(const char *Name, const char *Prefix) {
    Queue Made;
    Made.Name_ = Name;
    Made.Host_ = "desk.example";
    Made.PathPrefix_ = Prefix;
    Made.Service_ = "desk";
    Made.Attempts_ = 3;
    Made.Timeout_ = 3s;
    Made.TargetLatency_ = 250ms;
    return Made;
  }

  static Workspace makeWorkspace(const char *Name, const char *Key) {
    Workspace Made;
    Made.Name_ = Name;
    Made.Keys_ = {Key};
    Made.Maximum_.MilliCpu_ = 5000;
    return Made;
  }

  /// Checks that there is one finding, at \p Place and with \p Problem.
  void expect(std::string_view Place, std::string_view Problem) const {
    Findings Found = checkConfiguration(Table_);
    BOOST_REQUIRE_MESSAGE(Found.items().size() == 1, Found.toText("table"));
    BOOST_TEST(Found.items().front().Place_ == Place);
    BOOST_TEST(Found.items().front().Problem_.find(Problem) !=
                   std::string::npos,
               Found.items().front().Problem_);
  }

  QueueTable Table_;
};

BOOST_AUTO_TEST_SUITE(a_checked_configuration)

BOOST_FIXTURE_TEST_CASE(has_no_findings_if_it_is_sound, SoundTable) {
  BOOST_TEST(checkConfiguration(Table_).empty());
}

BOOST_AUTO_TEST_SUITE(names_queues)

BOOST_FIXTURE_TEST_CASE(that_never_match, SoundTable) {
  Table_.Queues_[1].PathPrefix_ = "/album/";
  expect("queue photos", "never matches: queue album");
  Table_.Queues_[1].PathPrefix_ = "album/";
  expect("queue photos", "no path begins");
  Table_.Queues_[1].PathPrefix_ = "/photos/";
  Table_.Queues_[1].Host_ = "desk.example:80";
  expect("queue photos", "no request has the host");
}

BOOST_FIXTURE_TEST_CASE(whose_jobs_a_longer_prefix_takes, SoundTable) {
  Table_.Queues_[1].PathPrefix_ = "/album/a0";
  expect("queue album", "ids begin with \"a0\" go to queue photos");
}

BOOST_FIXTURE_TEST_CASE(with_a_name_or_service_that_is_wrong, SoundTable) {
  Table_.Queues_[1].Name_ = "album";
  expect("queue album", "more than once");
  Table_.Queues_[1].Name_ = "photos";
  Table_.Queues_[1].Service_ = "none";
  expect("queue photos", "\"none\" does not exist");
}

BOOST_FIXTURE_TEST_CASE(with_contradicting_limits, SoundTable) {
  Table_.Queues_[1].Attempts_ = 0;
  expect("queue photos", "no attempt");
  Table_.Queues_[1].Attempts_ = 1;
  Table_.Queues_[1].TargetLatency_ = 4s;
  expect("queue photos", "4000 ms, is above the time limit of a request, 3000");
  Table_.Queues_[1].TargetLatency_ = 3s;
  BOOST_TEST(checkConfiguration(Table_).empty());
}

BOOST_FIXTURE_TEST_CASE(that_are_public_without_effect, SoundTable) {
  Table_.Workspaces_.clear();
  Table_.Queues_[0].IsPublic_ = true;
  expect("queue album", "no effect");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(names_workspaces)

BOOST_FIXTURE_TEST_CASE(whose_maximum_is_wrong, SoundTable) {
  Table_.Workspaces_[1].Maximum_.MilliCpu_ = 999;
  expect("workspace second", "below one core");
  Table_.Workspaces_[1].Maximum_.MilliCpu_ = 0;
  BOOST_TEST(checkConfiguration(Table_).empty());
  Table_.Workspaces_[1].Maximum_.MemoryMb_ = -1;
  expect("workspace second", "negative");
}

BOOST_FIXTURE_TEST_CASE(that_share_a_key, SoundTable) {
  Table_.Workspaces_[1].Keys_ = Table_.Workspaces_[0].Keys_;
  expect("workspace second", "its key ...1111 is also one of workspace first");
}

BOOST_FIXTURE_TEST_CASE(without_keys, SoundTable) {
  Table_.Workspaces_[1].Keys_.clear();
  expect("workspace second", "no caller has a key");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(admits_bodies, SoundTable) {
  Table_.MaxBodyBytes_ = 0;
  expect("body limit", "no job can be submitted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(compared_configurations)

BOOST_FIXTURE_TEST_CASE(have_no_changes_if_they_are_equal, SoundTable) {
  BOOST_TEST(compareConfigurations(Table_, Table_).empty());
}

BOOST_FIXTURE_TEST_CASE(show_what_was_added_removed_and_changed, SoundTable) {
  QueueTable After = Table_;
  After.Version_ = 8;
  After.Queues_.erase(After.Queues_.begin());
  After.Queues_[0].Attempts_ = 5;
  After.Services_.push_back({"new", true});
  After.Workspaces_[0].Keys_ = {"abcdefghijklmnop3333"};
  After.Workspaces_[1].Maximum_.MilliCpu_ = 7500;
  std::vector<ConfigurationChange> Expected = {
      {ChangeKind::Changed, "version: number", "7", "8"},
      {ChangeKind::Removed, "queue album", "", ""},
      {ChangeKind::Changed, "queue photos: attempts", "3", "5"},
      {ChangeKind::Added, "service new", "", ""},
      {ChangeKind::Removed, "workspace first: key", "...1111", ""},
      {ChangeKind::Added, "workspace first: key", "", "...3333"},
      {ChangeKind::Changed, "workspace second: maximum of cores", "5", "7.5"}};
  BOOST_TEST((compareConfigurations(Table_, After) == Expected));
}

BOOST_AUTO_TEST_CASE(reveal_no_short_key) {
  BOOST_TEST(shortenedKey("abcdefghijk") == "...");
  BOOST_TEST(shortenedKey("abcdefghijkl") == "...ijkl");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
