/// \file
/// Tests of the size of the owner's transactions.

#include "transaction_size.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::MaxTransactionBytes;

TransactionSize sizeAfter(CommitOutcome Outcome, int Times) {
  TransactionSize Size;
  for (int Time = 0; Time < Times; ++Time)
    Size.ended(Outcome);
  return Size;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_size_of_a_transaction)

BOOST_AUTO_TEST_CASE(is_halved_by_each_rejection_down_to_one_row) {
  BOOST_TEST(sizeAfter(CommitOutcome::Rejected, 1).rows() ==
             TransactionSize::MaxRows / 2);
  BOOST_TEST(sizeAfter(CommitOutcome::Rejected, 1).bytes() ==
             MaxTransactionBytes / 2);
  BOOST_TEST(sizeAfter(CommitOutcome::Rejected, 20).rows() == 1U);
  BOOST_TEST(sizeAfter(CommitOutcome::Rejected, 20).bytes() >= 1024U);
}

BOOST_AUTO_TEST_CASE(is_at_least_a_quarter_if_answers_are_lost) {
  BOOST_TEST(sizeAfter(CommitOutcome::Unknown, 20).bytes() ==
             MaxTransactionBytes / 4);
}

BOOST_AUTO_TEST_CASE(stays_if_the_store_refuses_calls_or_a_condition_fails) {
  for (CommitOutcome Outcome :
       {CommitOutcome::Refused, CommitOutcome::Conflict})
    BOOST_TEST(sizeAfter(Outcome, 20).bytes() == MaxTransactionBytes);
}

BOOST_AUTO_TEST_CASE(grows_again_with_successes) {
  TransactionSize Size = sizeAfter(CommitOutcome::Rejected, 20);
  int Commits = 0;
  for (; Size.bytes() < MaxTransactionBytes; ++Commits)
    Size.ended(CommitOutcome::Committed);
  BOOST_TEST(Commits == 28);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
