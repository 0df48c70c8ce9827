#include "filbertspring/domain.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(ledgers)

BOOST_AUTO_TEST_SUITE(quota)

const Resources Quota{Millicores(10), Mebibytes(10), Accelerators(1)};
const Resources Six{Millicores(6), {}, {}};

BOOST_AUTO_TEST_CASE(is_never_granted_beyond_the_contract) {
  QuotaLedger Ledger({});
  BOOST_TEST(Ledger.setGrant(RackName("r1"), Six, Quota).has_value());
  Status Second = Ledger.setGrant(RackName("r2"), Six, Quota);
  BOOST_TEST(Second.error() == Errc::QuotaExceeded);
  BOOST_TEST((Ledger.granted() == Six));
}

BOOST_AUTO_TEST_CASE(that_was_lowered_allows_only_smaller_grants) {
  QuotaLedger Ledger({});
  BOOST_TEST(Ledger.setGrant(RackName("r1"), Six, Quota).has_value());
  const Resources Five{Millicores(5), {}, {}};
  const Resources Seven{Millicores(7), {}, {}};
  const Resources Lowered{Millicores(3), {}, {}};
  BOOST_TEST(Ledger.setGrant(RackName("r1"), Five, Lowered).has_value());
  BOOST_TEST(Ledger.setGrant(RackName("r1"), Seven, Lowered).error() ==
             Errc::QuotaExceeded);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(shares)

BOOST_AUTO_TEST_CASE(never_exceed_the_whole_limit) {
  ShareLedger Ledger = ShareLedger::restore({}).value();
  BOOST_TEST(Ledger.setShare(InstanceName("e1"), 700).has_value());
  BOOST_TEST(Ledger.setShare(InstanceName("e2"), 301).error() ==
             Errc::LimitExceeded);
  BOOST_TEST(Ledger.setShare(InstanceName("e1"), 400).has_value());
  BOOST_TEST(Ledger.setShare(InstanceName("e2"), 600).has_value());
  BOOST_TEST(Ledger.unassigned() == 0);
}

BOOST_AUTO_TEST_CASE(in_an_inconsistent_row_are_refused) {
  ShareLedgerRecord Record;
  Record.Shares_ = {{InstanceName("e1"), 600}, {InstanceName("e2"), 600}};
  BOOST_TEST(ShareLedger::restore(Record).error() == Errc::InvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
