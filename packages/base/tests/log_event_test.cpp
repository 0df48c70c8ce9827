#include "filbertspring/base/log.h"
#include "filbertspring/base/log_event.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>
#include <fstream>
#include <set>
#include <string>

using namespace filbertspring;

namespace {

std::string_view levelName(LogLevel Level) {
  if (Level == LogLevel::Info)
    return "info";
  return Level == LogLevel::Warning ? "warning" : "error";
}

std::set<std::string> catalogueRows() {
  std::ifstream File(FILBERTSPRING_DOCS_DIR "/EVENTS.md");
  std::set<std::string> Rows;
  for (std::string Line; std::getline(File, Line);)
    if (Line.size() > 2 && Line[0] == '|' && std::isdigit(Line[2]) != 0)
      Rows.insert(Line);
  return Rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_events)

BOOST_AUTO_TEST_CASE(have_increasing_numbers) {
  int Previous = 0;
  for (const LogEventInfo &Row : logEventTable()) {
    BOOST_TEST(static_cast<int>(Row.Event_) > Previous);
    Previous = static_cast<int>(Row.Event_);
  }
}

BOOST_AUTO_TEST_CASE(are_the_same_in_the_catalogue_and_in_the_code) {
  std::set<std::string> Expected;
  for (const LogEventInfo &Row : logEventTable())
    Expected.insert(fmt::format("| {} | {} | {} | {} |",
                                static_cast<int>(Row.Event_), Row.Name_,
                                levelName(Row.Level_), Row.Meaning_));
  std::set<std::string> Rows = catalogueRows();
  BOOST_TEST(Rows == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(quote_values_that_hold_spaces_or_line_breaks) {
  std::string Line = formatLogLine(LogEvent::ProcessReady,
                                   {{"reason", "a b\n\"c\""}, {"count", 3}});
  BOOST_TEST(Line == "level=info event=1002 name=process_ready process=- "
                     "reason=\"a b \\\"c\\\"\" count=3");
}

BOOST_AUTO_TEST_SUITE_END()
