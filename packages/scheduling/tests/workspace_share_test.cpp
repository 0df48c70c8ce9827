/// \file
/// Tests of the order between workspaces while capacity is short.

#include "workspace_fixture.h"

namespace filbertspring::scheduling::test {
namespace {

/// Nothing has a maximum, and `alder` uses all workers.
struct FullCell : QuotaCell {
  FullCell() {
    setMaximum({});
    submit("aa", {task(24)}, "alder");
    play(200ms);
    BOOST_REQUIRE(startsOf("aa") == 16);
  }

  void finishSome(std::size_t From, std::size_t To) {
    for (std::size_t Index = From; Index < To; ++Index)
      finish(Index);
    play(200ms);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(workspaces)

BOOST_FIXTURE_TEST_CASE(that_use_less_come_first, FullCell) {
  // In the order of arrival, which is that of one workspace, it would wait.
  submit("bb", {task(4)}, "birch");
  finishSome(0, 4);
  BOOST_TEST(startsOf("bb") == 4);
  BOOST_TEST(startsOf("aa") == 16);
}

BOOST_FIXTURE_TEST_CASE(share_with_jobs_of_no_workspace, FullCell) {
  submit("bb", {task(4)});
  finishSome(0, 4);
  BOOST_TEST(startsOf("bb") == 4);
}

// A task that waited for one of few workers kept all jobs beyond the rates of
// their workspaces out of a service that was nearly idle.
BOOST_FIXTURE_TEST_CASE(beyond_their_rate_use_free_capacity, QuotaCell) {
  configure({{"alder", {}, 0.0, {}}, {"birch", {}, 1.0, {}}}, Scheduler_);
  StepSpec Spread = task(3);
  Spread.MaxPerWorker_ = 1;
  submit("bb", {Spread}, "birch");
  submit("aa", {task(1)}, "alder");
  play(100ms);
  BOOST_TEST(startsOf("bb") == 2);
  BOOST_TEST(startsOf("aa") == 1);
}

BOOST_FIXTURE_TEST_CASE(get_what_others_leave, FullCell) {
  finishSome(0, 8);
  BOOST_TEST(startsOf("aa") == 24);
}

BOOST_FIXTURE_TEST_CASE(are_not_distinguished_without_configuration, FullCell) {
  configure({}, Scheduler_);
  submit("bb", {task(4)}, "birch");
  finishSome(0, 4);
  BOOST_TEST(startsOf("bb") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
