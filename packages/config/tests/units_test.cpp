#include "filbertspring/config/units.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace filbertspring;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(units)

BOOST_AUTO_TEST_SUITE(a_quantity_with_its_unit)

BOOST_AUTO_TEST_CASE(is_read_with_or_without_a_space) {
  BOOST_CHECK(parseDuration("250ms") == Duration(250ms));
  BOOST_CHECK(parseDuration("14 h") == Duration(14h));
  BOOST_CHECK(parseCpu("400 cores") == Millicores(400'000));
  BOOST_CHECK(parseMemory("800GiB") == Mebibytes(819'200));
  BOOST_CHECK(parseRate("400/s") == 400);
}

BOOST_AUTO_TEST_CASE(is_written_with_the_largest_whole_unit) {
  BOOST_TEST(formatDuration(90s) == "90s");
  BOOST_TEST(formatDuration(120s) == "2min");
  BOOST_TEST(formatCpu(Millicores(1500)) == "1500 millicores");
  BOOST_TEST(formatMemory(Mebibytes(2048)) == "2 GiB");
}

BOOST_AUTO_TEST_CASE(survives_writing_and_reading) {
  BOOST_TEST(rc::check("quantities round trip", [](std::int64_t Amount) {
    RC_ASSERT(parseDuration(formatDuration(Duration(Amount))) ==
              Duration(Amount));
    RC_ASSERT(parseCpu(formatCpu(Millicores(Amount))) == Millicores(Amount));
    RC_ASSERT(parseMemory(formatMemory(Mebibytes(Amount))) ==
              Mebibytes(Amount));
    RC_ASSERT(parseRate(formatRate(Amount)) == Amount);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_text_that_is_not_a_quantity)

BOOST_AUTO_TEST_CASE(gives_the_reason) {
  auto ErrorIn = [](std::string_view Text) {
    ParsedQuantity<Duration> Value = parseDuration(Text);
    return Value ? "none" : nameOf(QuantityErrorMessages, Value.error());
  };
  BOOST_TEST(ErrorIn("250") == "has no unit");
  BOOST_TEST(ErrorIn("250 ") == "has no unit");
  BOOST_TEST(ErrorIn("250sec") == "has an unknown unit");
  BOOST_TEST(ErrorIn("1.5s") == "is not a whole number with a unit");
  BOOST_TEST(ErrorIn("250ms ") == "has an unknown unit");
  BOOST_TEST(ErrorIn("") == "is not a whole number with a unit");
  BOOST_TEST(ErrorIn("ms") == "is not a whole number with a unit");
  BOOST_TEST(ErrorIn("9999999999999999999s") == "is too large");
  BOOST_TEST(ErrorIn("9223372036854775807h") == "is too large");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
