/// \file
/// Tests of the lookup of keys and of the decisions on calls.

#include "caller_access.h"
#include "workspace_keys.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fmt/format.h>
#include <memory>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;
using scheduling::Queue;
using scheduling::QueueTable;
using scheduling::Workspace;

constexpr std::uint64_t Seed = 20'261'206;

Workspace makeWorkspace(std::string Name, std::vector<std::string> Keys) {
  Workspace Made;
  Made.Name_ = std::move(Name);
  Made.Keys_ = std::move(Keys);
  return Made;
}

std::shared_ptr<QueueTable> makeTable(std::vector<Workspace> Workspaces) {
  auto Table = std::make_shared<QueueTable>();
  Table->Workspaces_ = std::move(Workspaces);
  return Table;
}

/// Returns \p Count workspaces with two keys each.
std::shared_ptr<QueueTable> makeLargeTable(std::size_t Count) {
  std::vector<Workspace> Workspaces;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Workspaces.push_back(
        makeWorkspace(fmt::format("w{}", Number),
                      {fmt::format("first-key-of-{:08}", Number),
                       fmt::format("other-key-of-{:08}", Number)}));
  return makeTable(std::move(Workspaces));
}

/// Returns the shortest time that a thousand lookups took.
Duration lookupTime(const WorkspaceKeys &Keys) {
  constexpr int Trials = 50;
  auto Shortest = std::chrono::steady_clock::duration::max();
  std::size_t Found = 0;
  for (int Trial = 0; Trial < Trials; ++Trial) {
    auto Start = std::chrono::steady_clock::now();
    for (int Call = 0; Call < 500; ++Call) {
      Found += Keys.find("first-key-of-00000000") ? 1 : 0;
      Found += Keys.find("wrong-key-of-00000000") ? 1 : 0;
    }
    Shortest = std::min(Shortest, std::chrono::steady_clock::now() - Start);
  }
  BOOST_TEST(Found == 500U * Trials);
  return std::chrono::ceil<Duration>(Shortest);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_keys_of_workspaces)

BOOST_AUTO_TEST_CASE(identify_them) {
  WorkspaceKeys Keys(
      makeTable({makeWorkspace("a", {"k1", "k2"}), makeWorkspace("b", {"k3"})}),
      Seed);
  BOOST_REQUIRE(Keys.find("k2"));
  BOOST_TEST(Keys.find("k2")->Name_ == "a");
  BOOST_TEST(Keys.find("k3")->Name_ == "b");
  BOOST_TEST(Keys.problems().empty());
}

// A comparison of prefixes would admit guesses.
BOOST_AUTO_TEST_CASE(are_compared_as_a_whole) {
  WorkspaceKeys Keys(makeTable({makeWorkspace("a", {"secret"})}), Seed);
  for (const char *Wrong :
       {"", "s", "secre", "secretx", "Secret", "secreT", "terces"})
    BOOST_TEST(!Keys.find(Wrong), Wrong);
  BOOST_TEST(!Keys.find(std::string_view("secret\0", 7)));
}

BOOST_AUTO_TEST_CASE(exist_in_no_empty_table) {
  BOOST_TEST(!WorkspaceKeys().find("k"));
  BOOST_TEST(!WorkspaceKeys().find(""));
}

BOOST_AUTO_TEST_CASE(belong_to_the_first_workspace_that_has_them) {
  WorkspaceKeys Keys(
      makeTable({makeWorkspace("a", {"gkcuyj8pjbvk9m68k7b2"}),
                 makeWorkspace("b", {"gkcuyj8pjbvk9m68k7b2", "own"})}),
      Seed);
  BOOST_TEST(Keys.find("gkcuyj8pjbvk9m68k7b2")->Name_ == "a");
  BOOST_TEST(Keys.find("own")->Name_ == "b");
  BOOST_REQUIRE(Keys.problems().size() == 1U);
  BOOST_TEST(Keys.problems()[0].Workspace_ == "b");
  // The line is logged.
  BOOST_TEST(Keys.problems()[0].Problem_ ==
             "the key ...k7b2 belongs to a already");
}

BOOST_AUTO_TEST_CASE(that_a_workspace_lists_twice_are_no_problem) {
  WorkspaceKeys Keys(makeTable({makeWorkspace("a", {"k", "k"})}), Seed);
  BOOST_TEST(Keys.find("k")->Name_ == "a");
  BOOST_TEST(Keys.problems().empty());
}

BOOST_AUTO_TEST_CASE(are_never_shown_whole) {
  BOOST_TEST(shownKey("gkcuyj8pjbvk9m68k7b2") == "...k7b2");
  for (const char *Short : {"", "k", "abcd", "elevenbytes"})
    BOOST_TEST(shownKey(Short) == "(short)");
}

// A search through all keys would make each call 1,000 times as expensive. The
// bound leaves room for caches that hold a small table and not a large one.
BOOST_AUTO_TEST_CASE(are_found_as_fast_among_many) {
  Duration One = lookupTime(WorkspaceKeys(makeLargeTable(1), Seed));
  Duration Many = lookupTime(WorkspaceKeys(makeLargeTable(1000), Seed));
  BOOST_TEST_MESSAGE(fmt::format("1,000 lookups: {} us with 1 workspace, {} us "
                                 "with 1,000",
                                 One.count(), Many.count()));
  BOOST_TEST(Many.count() < 20 * One.count());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call)

struct KeyedTable {
  KeyedTable() {
    Open_.IsPublic_ = true;
    Keys_ = WorkspaceKeys(Table_, Seed);
  }

  auto check(const Queue &Target, std::string_view Key, Duration Age = 0s) {
    return checkCallerKey(*Table_, Keys_, Target, Key, Age);
  }

  std::shared_ptr<QueueTable> Table_ = makeTable({makeWorkspace("a", {"k1"})});
  WorkspaceKeys Keys_;
  Queue Closed_;
  Queue Open_;
};

BOOST_FIXTURE_TEST_CASE(needs_a_key_of_a_workspace, KeyedTable) {
  BOOST_TEST((check(Closed_, "k1") ==
              std::variant<CallerScope, KeyRefusal>(CallerScope{true, "a"})));
  BOOST_TEST((std::get<KeyRefusal>(check(Closed_, "")) == KeyRefusal::Missing));
  BOOST_TEST(
      (std::get<KeyRefusal>(check(Closed_, "k2")) == KeyRefusal::Unknown));
}

BOOST_FIXTURE_TEST_CASE(to_a_public_queue_belongs_to_nobody, KeyedTable) {
  for (const char *Key : {"", "k1", "k2"})
    BOOST_TEST((std::get<CallerScope>(check(Open_, Key, 1h)) ==
                CallerScope{true, ""}));
}

BOOST_FIXTURE_TEST_CASE(needs_no_key_without_workspaces, KeyedTable) {
  Table_->Workspaces_.clear();
  Keys_ = WorkspaceKeys(Table_, Seed);
  for (const char *Key : {"", "k1"})
    BOOST_TEST((std::get<CallerScope>(check(Closed_, Key, 1h)) ==
                CallerScope{false, ""}));
}

// An instance that was suspended or cut off served removed keys.
BOOST_FIXTURE_TEST_CASE(is_not_decided_by_an_old_configuration, KeyedTable) {
  for (const char *Key : {"", "k1", "k2"}) {
    BOOST_TEST((std::get<KeyRefusal>(check(Closed_, Key, 3s)) ==
                KeyRefusal::Outdated));
    BOOST_TEST((check(Closed_, Key, 2900ms) == check(Closed_, Key)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_scope_of_a_caller)

BOOST_AUTO_TEST_CASE(contains_jobs_of_its_workspace_and_of_none) {
  BOOST_TEST(CallerScope{}.covers("a"));
  CallerScope OfA{true, "a"};
  BOOST_TEST(OfA.covers("a"));
  BOOST_TEST(OfA.covers(""));
  BOOST_TEST(!OfA.covers("b"));
  CallerScope OfPublic{true, ""};
  BOOST_TEST(OfPublic.covers(""));
  BOOST_TEST(!OfPublic.covers("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refusals_of_keys)

// A crowd without keys filled the log.
BOOST_AUTO_TEST_CASE(are_logged_once_a_second_and_kind) {
  KeyRefusalLog Log;
  TimePoint Start{1h};
  BOOST_TEST((Log.noted(KeyRefusal::Missing, Start) == 1));
  for (int Call = 0; Call < 500; ++Call)
    BOOST_TEST(!Log.noted(KeyRefusal::Missing, Start + 1ms).has_value());
  BOOST_TEST((Log.noted(KeyRefusal::Unknown, Start + 2ms) == 1));
  BOOST_TEST((Log.noted(KeyRefusal::Missing, Start + 1s) == 501));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
