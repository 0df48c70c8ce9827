#ifndef FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H
#define FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H

/// \file
/// Builds an SVG image. All lengths are in pixels from the upper left corner.

#include <string>
#include <string_view>

namespace filbertspring::report_detail {

/// Horizontal alignment of a text relative to its position.
enum class TextAnchor { Start, Middle, End };

/// Font and alignment of a text.
struct TextStyle {
  TextAnchor Anchor_ = TextAnchor::Start;
  int Size_ = 12;
  std::string_view Colour_ = "#333333";
  bool Bold_ = false;
};

/// Collects shapes; later shapes are drawn over earlier ones.
class SvgCanvas {
public:
  void rectangle(double X, double Y, double Width, double Height,
                 std::string_view Fill);
  void line(double X1, double Y1, double X2, double Y2, std::string_view Colour,
            bool Dashed = false);
  /// Draws \p Text with its baseline at \p Y. Markup in \p Text is escaped.
  void text(double X, double Y, std::string_view Text,
            const TextStyle &Style = {});
  /// Draws \p Text rotated by 90 degrees, from bottom to top, centred at the
  /// position.
  void verticalText(double X, double Y, std::string_view Text);

  /// Returns the SVG document of the collected shapes on a white background.
  std::string toSvg(double Width, double Height) const;

private:
  std::string Body_;
};

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H
