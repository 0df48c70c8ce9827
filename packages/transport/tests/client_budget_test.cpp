/// \file
/// Tests of the decision which connections are closed when memory or
/// connections are exhausted, and of the budget that applies it.

#include "filbertspring/transport/client_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;
using enum ConnectionPhase;
using Indices = std::vector<std::size_t>;

/// A budget of 100 kB on a clock of its own.
struct Budget {
  void pass(Duration Elapsed) {
    for (Duration Passed{}; Passed < Elapsed;
         Passed += ClientBudget::CheckInterval)
      Budget_.check(Now_ += ClientBudget::CheckInterval);
  }

  /// A connection that gives its memory back when it is shed.
  void add(ClientBudget::Entry &Entry, std::size_t Bytes,
           ConnectionPhase Phase = Receiving) {
    Entry.Shed_ = [this, &Entry] {
      ++Shed_;
      Budget_.stopWaiting(Entry);
      Budget_.charge(Entry, 0);
    };
    Entry.Resume_ = [this] { ++Resumed_; };
    Budget_.add(Entry);
    Budget_.charge(Entry, Bytes);
    Budget_.enterPhase(Entry, Phase);
  }

  ClientBudget Budget_{100'000};
  TimePoint Now_{1s};
  int Shed_ = 0;
  int Resumed_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_choice_of_connections_to_close)

BOOST_AUTO_TEST_SUITE(for_memory)

BOOST_AUTO_TEST_CASE(prefers_those_that_hold_most_for_longest) {
  std::vector<ConnectionLoad> Loads{{Receiving, 1000, 2s},
                                    {Receiving, 1000, 8s},
                                    {Responding, 9000, 1s},
                                    {Idle, 100, 60s}};
  BOOST_TEST(chooseForMemory(Loads, 1) == (Indices{2}));
  BOOST_TEST(chooseForMemory(Loads, 9001) == (Indices{2, 1}));
}

BOOST_AUTO_TEST_CASE(never_takes_a_request_that_is_being_handled) {
  // Its outcome would become unknown to the client.
  std::vector<ConnectionLoad> Loads{{Handling, 9000, 60s}, {Waiting, 10, 1s}};
  BOOST_TEST(chooseForMemory(Loads, 9000) == (Indices{1}));
}

BOOST_AUTO_TEST_CASE(spares_those_that_have_just_begun) {
  std::vector<ConnectionLoad> Loads{{Receiving, 9000, MinAgeToClose - 1us}};
  BOOST_TEST(chooseForMemory(Loads, 1).empty());
  BOOST_TEST(!chooseForConnection(Loads).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_a_new_connection)

BOOST_AUTO_TEST_CASE(prefers_slow_clients_to_idle_ones) {
  // An idle connection may belong to the platform, which uses it each second.
  std::vector<ConnectionLoad> Loads{{Idle, 0, 50s},
                                    {Receiving, 0, 1s},
                                    {Receiving, 0, 2s},
                                    {Handling, 0, 70s}};
  BOOST_TEST(chooseForConnection(Loads).value() == 2U);
  Loads.resize(1);
  BOOST_TEST(chooseForConnection(Loads).value() == 0U);
}

BOOST_AUTO_TEST_CASE(takes_pipelined_requests_although_each_is_young) {
  std::vector<ConnectionLoad> Loads{
      {Handling, 0, 0ms, 600ms}, {Responding, 0, 0ms, 2s}, {Idle, 0, 9s}};
  BOOST_TEST(chooseForConnection(Loads).value() == 1U);
  Loads.resize(1);
  BOOST_TEST(chooseForConnection(Loads).value() == 0U);
}

BOOST_AUTO_TEST_CASE(prefers_those_that_were_refused) {
  std::vector<ConnectionLoad> Loads{{Receiving, 0, 9s}, {Lingering, 0, 1s}};
  BOOST_TEST(chooseForConnection(Loads).value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_budget)

BOOST_FIXTURE_TEST_CASE(reserves_a_part_for_small_requests, Budget) {
  ClientBudget::Entry Large;
  ClientBudget::Entry Other;
  ClientBudget::Entry Small;
  add(Large, 74'000);
  add(Other, 20'000);
  add(Small, 1000);
  BOOST_TEST(!Budget_.admits(Other, 1000));
  BOOST_TEST(Budget_.admits(Small, 1000));
}

BOOST_FIXTURE_TEST_CASE(admits_a_request_that_is_alone, Budget) {
  // A legal request is served, whatever memory it takes.
  ClientBudget::Entry Alone;
  add(Alone, 90'000);
  BOOST_TEST(Budget_.admits(Alone, 500'000));
}

BOOST_FIXTURE_TEST_CASE(closes_stalled_connections_for_those_that_wait,
                        Budget) {
  ClientBudget::Entry Stalled;
  ClientBudget::Entry Handled;
  ClientBudget::Entry Waiter;
  add(Stalled, 60'000);
  add(Handled, 30'000, Handling);
  pass(5s);
  BOOST_TEST(Shed_ == 0);
  add(Waiter, 9000);
  Budget_.wait(Waiter);
  pass(250ms);
  BOOST_TEST(Shed_ == 1);
  BOOST_TEST(Stalled.Bytes_ == 0U);
  BOOST_TEST(Resumed_ == 1);
}

BOOST_FIXTURE_TEST_CASE(does_not_continue_connections_that_left, Budget) {
  ClientBudget::Entry Waiter;
  add(Waiter, 9000);
  Budget_.wait(Waiter);
  Budget_.remove(Waiter);
  pass(1s);
  BOOST_TEST(Resumed_ == 0);
  BOOST_TEST(Budget_.used() == 0U);
}

BOOST_FIXTURE_TEST_CASE(counts_no_time_while_the_process_is_suspended, Budget) {
  // Bytes that arrive meanwhile wait unread, so that clients are not late.
  ClientBudget::Entry Entry;
  pass(250ms);
  add(Entry, 1000);
  Now_ += 60s;
  pass(250ms);
  BOOST_TEST((Budget_.age(Entry) <= 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
