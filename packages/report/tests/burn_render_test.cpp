#include "filbertspring/report/burn_render.h"

#include "burn_samples.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace filbertspring;

namespace {

/// Returns a report with bad requests in the minutes 12 to 15. The only
/// instance did not observe the minutes 20 to 22.
BurnReport sampleReport() {
  BurnCounter Counter(InstanceName("bodrum-1"));
  for (std::int64_t Minute = 0; Minute < 30; ++Minute) {
    bool Fault = Minute >= 12 && Minute < 16;
    if (Minute >= 20 && Minute < 23)
      continue;
    countSamples(Counter, SampleMinute + Minute, 95, Fault ? 20 : 0);
    countSamples(Counter, SampleMinute + Minute, 0, Fault ? 10 : 0,
                 BurnCause::EndpointFailed);
  }
  Contract Second = sampleContract();
  Second.Name_ = ContractName("<luneta>");
  return makeBurnReport(Counter.records(), {sampleContract(), Second},
                        lastMillisecondOf(SampleMinute + 29));
}

/// Estimated bounding box of one label, in pixels.
struct LabelBox {
  double Left_, Top_, Right_, Bottom_;
  std::string Text_;
};

/// Returns the value of the attribute \p Name in \p Tag.
std::string attribute(const std::string &Tag, const std::string &Name) {
  std::size_t Start = Tag.find(" " + Name + "=\"");
  BOOST_REQUIRE(Start != std::string::npos);
  Start += Name.size() + 3;
  return Tag.substr(Start, Tag.find('"', Start) - Start);
}

/// Returns the bounding box of the text element in \p Line.
LabelBox boxOf(const std::string &Line) {
  // As a fraction of the font size; wider than in common fonts.
  constexpr double CharacterWidth = 0.6;
  std::size_t TagEnd = Line.find('>');
  std::string Text =
      Line.substr(TagEnd + 1, Line.find('<', TagEnd) - TagEnd - 1);
  double X = std::stod(attribute(Line, "x"));
  double Y = std::stod(attribute(Line, "y"));
  double Size = std::stod(attribute(Line, "font-size"));
  double Width = CharacterWidth * Size * static_cast<double>(Text.size());
  std::string Anchor = attribute(Line, "text-anchor");
  double Left = Anchor == "start" ? X
                : Anchor == "end" ? X - Width
                                  : X - Width / 2;
  return {Left, Y - Size * 0.8, Left + Width, Y + Size * 0.2, Text};
}

/// Returns the bounding boxes of the horizontal labels of \p Svg.
std::vector<LabelBox> labelBoxes(const std::string &Svg) {
  std::vector<LabelBox> Boxes;
  std::istringstream Lines(Svg);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("<text x="))
      Boxes.push_back(boxOf(Line));
  return Boxes;
}

bool overlap(const LabelBox &One, const LabelBox &Other) {
  return One.Left_ < Other.Right_ && Other.Left_ < One.Right_ &&
         One.Top_ < Other.Bottom_ && Other.Top_ < One.Bottom_;
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(burn_rendering)

BOOST_AUTO_TEST_CASE(
    as_text_shows_budget_windows_sources_and_unobserved_minutes) {
  std::string Text = renderBurnText(sampleReport());
  BOOST_TEST_MESSAGE(Text);
  BOOST_TEST(contains(Text, "Service-level burn at 2026-12-04 00:29 UTC"));
  BOOST_TEST(contains(Text, "denizkul / booking-check: 99% within 250ms: ok"));
  BOOST_TEST(contains(Text, "bodrum               slow                    80"));
  BOOST_TEST(contains(Text, "bodrum               endpoint-failed         40"));
  BOOST_TEST(contains(Text, "26.9 requests, 446.9% used"));
  BOOST_TEST(contains(Text, "30min            3 min             0 min"));
}

BOOST_AUTO_TEST_CASE(as_json_has_the_same_figures) {
  auto Document =
      nlohmann::json::parse(renderBurnJson(sampleReport()), nullptr, false);
  BOOST_REQUIRE(!Document.is_discarded());
  const auto &Service = Document["services"][0];
  BOOST_TEST(Service["windows"][1]["bad"] == 120);
  BOOST_TEST(Service["sources"][0]["cause"] == "slow");
  BOOST_TEST(Service["steps"].size() == 30U);
  BOOST_TEST(Document["coverage"][1]["unobserved_minutes"] == 3);
}

BOOST_AUTO_TEST_CASE(as_svg_has_labels_and_escapes_names) {
  std::string Svg = renderBurnSvg(sampleReport());
  // Writes the image to the file in BURN_SVG for visual inspection.
  if (const char *Path = std::getenv("BURN_SVG"))
    std::ofstream(Path) << Svg;
  BOOST_TEST(Svg.starts_with("<svg xmlns="));
  BOOST_TEST(contains(Svg, "time (UTC)"));
  BOOST_TEST(contains(Svg, "burn rate (times the budget)"));
  BOOST_TEST(contains(Svg, "fast (14.4x)"));
  BOOST_TEST(contains(Svg, "&lt;luneta&gt;"));
  BOOST_TEST(!contains(Svg, "<luneta>"));
}

BOOST_AUTO_TEST_CASE(as_svg_has_labels_that_do_not_overlap) {
  BurnCounter Counter(InstanceName("bodrum-1"));
  countSamples(Counter, SampleMinute, 0, 1000);
  for (double Objective : {0.5, 0.9, 0.99, 0.9999}) {
    Contract Terms = sampleContract();
    Terms.Services_[0].Objective_ = Objective;
    Contract LongName = Terms;
    LongName.Name_ = ContractName(std::string(64, 'm'));
    std::string Svg = renderBurnSvg(makeBurnReport(
        Counter.records(), {Terms, LongName}, lastMillisecondOf(SampleMinute)));
    std::vector<LabelBox> Boxes = labelBoxes(Svg);
    BOOST_TEST(Boxes.size() > 30U);
    for (std::size_t One = 0; One < Boxes.size(); ++One) {
      BOOST_TEST(Boxes[One].Right_ <= 960, Boxes[One].Text_);
      for (std::size_t Other = 0; Other < One; ++Other)
        BOOST_TEST(!overlap(Boxes[One], Boxes[Other]),
                   Boxes[One].Text_ << " and " << Boxes[Other].Text_);
    }
  }
}

BOOST_AUTO_TEST_CASE(states_that_there_are_no_services) {
  BurnReport Empty = makeBurnReport({}, {}, lastMillisecondOf(SampleMinute));
  BOOST_TEST(contains(renderBurnText(Empty), "No contract has a service."));
  BOOST_TEST(contains(renderBurnSvg(Empty), "No contract has a service."));
}

BOOST_AUTO_TEST_SUITE_END()
