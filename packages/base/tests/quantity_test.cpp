#include "filbertspring/base/quantity.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(resources)

BOOST_AUTO_TEST_SUITE(fitting)

BOOST_AUTO_TEST_CASE(needs_all_three_amounts_within_the_limit) {
  const Resources Limit{Millicores(1000), Mebibytes(512), Accelerators(1)};
  BOOST_TEST(Limit.fitsIn(Limit));
  BOOST_TEST(!(Limit + Resources{Millicores(1), {}, {}}).fitsIn(Limit));
  BOOST_TEST(!(Limit + Resources{{}, Mebibytes(1), {}}).fitsIn(Limit));
  BOOST_TEST(!(Limit + Resources{{}, {}, Accelerators(1)}).fitsIn(Limit));
}

BOOST_AUTO_TEST_CASE(below_zero_is_seen_in_any_amount) {
  const Resources None;
  BOOST_TEST(None.isNonNegative());
  BOOST_TEST(!(None - Resources{{}, {}, Accelerators(1)}).isNonNegative());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
