#include "svg_canvas.h"

#include <array>
#include <fmt/format.h>
#include <iterator>

namespace filbertspring::report_detail {
namespace {

std::string escapeXml(std::string_view Text) {
  std::string Escaped;
  for (char Character : Text) {
    switch (Character) {
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '&':
      Escaped += "&amp;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

std::string_view anchorName(TextAnchor Anchor) {
  constexpr std::array<std::string_view, 3> Names{"start", "middle", "end"};
  return Names[static_cast<std::size_t>(Anchor)];
}

} // namespace

void SvgCanvas::rectangle(double X, double Y, double Width, double Height,
                          std::string_view Fill) {
  fmt::format_to(std::back_inserter(Body_),
                 "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                 "height=\"{:.1f}\" fill=\"{}\"/>\n",
                 X, Y, Width, Height, Fill);
}

void SvgCanvas::line(double X1, double Y1, double X2, double Y2,
                     std::string_view Colour, bool Dashed) {
  fmt::format_to(std::back_inserter(Body_),
                 "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                 "y2=\"{:.1f}\" stroke=\"{}\"{}/>\n",
                 X1, Y1, X2, Y2, Colour,
                 Dashed ? " stroke-dasharray=\"5 3\"" : "");
}

void SvgCanvas::text(double X, double Y, std::string_view Text,
                     const TextStyle &Style) {
  fmt::format_to(std::back_inserter(Body_),
                 "<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"{}\" "
                 "fill=\"{}\" text-anchor=\"{}\"{}>{}</text>\n",
                 X, Y, Style.Size_, Style.Colour_, anchorName(Style.Anchor_),
                 Style.Bold_ ? " font-weight=\"bold\"" : "", escapeXml(Text));
}

void SvgCanvas::verticalText(double X, double Y, std::string_view Text) {
  fmt::format_to(std::back_inserter(Body_),
                 "<text transform=\"translate({:.1f} {:.1f}) rotate(-90)\" "
                 "font-size=\"11\" fill=\"#333333\" "
                 "text-anchor=\"middle\">{}</text>\n",
                 X, Y, escapeXml(Text));
}

std::string SvgCanvas::toSvg(double Width, double Height) const {
  return fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" "
      "height=\"{1:.0f}\" viewBox=\"0 0 {0:.0f} {1:.0f}\" "
      "font-family=\"sans-serif\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n{2}</svg>\n",
      Width, Height, Body_);
}

} // namespace filbertspring::report_detail
