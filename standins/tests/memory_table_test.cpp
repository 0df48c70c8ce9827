#define BOOST_TEST_MODULE memory_table
#include "filbertspring/standins/memory_table.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

const RowKey Key{RowKind::Head, ""};

Transaction writeExpecting(RowVersion Expected, std::int64_t Changes) {
  return {TransactionId("t"), {}, {{Key, Expected, HeadRecord{Changes, ""}}}};
}

std::int64_t stored(MemoryTable &Table) {
  return std::get<HeadRecord>(Table.read(Key)->Value_).Changes_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory_table)

BOOST_AUTO_TEST_CASE(commits_only_at_the_expected_version) {
  MemoryTable Table;
  CommitResult First = Table.commit(writeExpecting(AbsentVersion, 1));
  BOOST_TEST((First.Outcome_ == CommitOutcome::Committed));
  CommitResult Stale = Table.commit(writeExpecting(AbsentVersion, 2));
  BOOST_TEST((Stale.Outcome_ == CommitOutcome::Conflict));
  BOOST_TEST(stored(Table) == 1);
}

BOOST_AUTO_TEST_CASE(a_delayed_commit_loses_to_a_later_conditional_write) {
  MemoryTable Table;
  CommitResult First = Table.commit(writeExpecting(AbsentVersion, 1));
  CommitResult Lost =
      Table.commit(writeExpecting(First.Version_, 2), CommitFault::Delay);
  BOOST_TEST((Lost.Outcome_ == CommitOutcome::Unknown));
  BOOST_TEST(stored(Table) == 1);
  BOOST_TEST((Table.commit(writeExpecting(First.Version_, 3)).Outcome_ ==
              CommitOutcome::Committed));
  Table.deliverDelayed();
  BOOST_TEST(stored(Table) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
