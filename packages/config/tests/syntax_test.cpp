#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/settings_document.h"

#include "finding_lines.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;

namespace {

/// Returns the findings of \p Text that are not about missing members.
std::vector<std::string> findingsIn(std::string_view Text) {
  std::vector<std::string> Lines;
  const Findings Report = parseSettings(Text).Findings_;
  for (const Finding &Item : Report.items())
    if (Item.Problem_ != "is missing")
      Lines.push_back(Item.Place_ + ": " + Item.Problem_);
  return Lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(syntax)

BOOST_AUTO_TEST_CASE(errors_are_reported_with_line_and_column) {
  const std::vector<std::string> Lines =
      findingsIn("{\n  \"a\": 1\n  \"b\": 2}");
  BOOST_REQUIRE_EQUAL(Lines.size(), 1U);
  BOOST_TEST(Lines[0].starts_with("line 3, column 5: syntax error"));
}

BOOST_AUTO_TEST_CASE(an_empty_text_is_an_error_at_its_start) {
  const std::vector<std::string> Lines = findingsIn("");
  BOOST_REQUIRE_EQUAL(Lines.size(), 1U);
  BOOST_TEST(Lines[0].starts_with("line 1, column 1: "));
}

BOOST_AUTO_TEST_CASE(both_kinds_of_comments_are_allowed) {
  BOOST_TEST(findingsIn("// one\n{ /* two */ }").empty());
}

BOOST_AUTO_TEST_CASE(text_after_the_document_is_an_error) {
  BOOST_TEST(findingsIn("{} {}").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_document_that_is_not_an_object_is_a_finding) {
  const std::vector<std::string> Expected = {": is not an object"};
  BOOST_TEST(findingsIn("[1]") == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(duplicate_keys_are_found_with_their_place) {
  const std::vector<std::string> Expected = {"/zones/1/name: key stands twice",
                                             "/drain/limit: key stands twice",
                                             "/drain: key stands twice"};
  BOOST_TEST(findingsIn(R"({
    "zones": [{"name": "a", "region": "r"},
              {"name": "b", "region": "r", "name": "c"}],
    "drain": {"limit": "1s", "limit": "2s"},
    "drain": {}
  })") == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(unknown_keys_name_the_nearest_known_one) {
  Findings Report = parseSettings(R"({"plattform": {}, "a/b~c": 1})").Findings_;
  std::vector<std::string> Hints;
  for (const Finding &Item : Report.items())
    if (Item.Problem_ == "key is not known")
      Hints.push_back(Item.Place_ + " " + Item.Allowed_);
  BOOST_REQUIRE_EQUAL(Hints.size(), 2U);
  BOOST_TEST(Hints[0].starts_with("/a~1b~0c instance, zone, zones"));
  BOOST_TEST(Hints[1] == "/plattform did you mean \"platform\"?");
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused) {
  const std::vector<std::string> Lines = findingsIn(std::string(100000, '['));
  BOOST_REQUIRE_EQUAL(Lines.size(), 1U);
  BOOST_TEST(Lines[0].ends_with(": document is nested too deeply"));
}

BOOST_AUTO_TEST_CASE(numbers_beyond_any_range_are_findings) {
  BOOST_TEST(findingsIn(R"({"requests": {"queue_limit": 1e999}})").size() ==
             1U);
  const std::vector<std::string> Expected = {
      "/requests/queue_limit: 18446744073709551615 is out of range"};
  BOOST_TEST(
      findingsIn(R"({"requests": {"queue_limit": 18446744073709551615}})") ==
          Expected,
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(any_bytes_give_either_a_contract_or_findings) {
  BOOST_TEST(rc::check("arbitrary bytes", [](const std::string &Text) {
    ParsedContract Parsed = parseContract(Text, {});
    RC_ASSERT(Parsed.Terms_.has_value() == Parsed.Findings_.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
