#ifndef FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H
#define FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H

/// \file
/// Builds an SVG image. All lengths are in pixels from the upper left corner.

#include <string>
#include <string_view>

namespace filbertspring::report_detail {

/// Where a text lies relative to its point.
enum class TextAnchor { Start, Middle, End };

/// How a text looks.
struct TextStyle {
  TextAnchor Anchor_ = TextAnchor::Start;
  int Size_ = 12;
  std::string_view Colour_ = "#333333";
  bool Bold_ = false;
};

/// Collects shapes in the order of drawing.
class SvgCanvas {
public:
  void rectangle(double X, double Y, double Width, double Height,
                 std::string_view Fill);
  void line(double X1, double Y1, double X2, double Y2, std::string_view Colour,
            bool Dashed = false);
  /// Draws \p Text with its baseline at \p Y; markup in it is escaped.
  void text(double X, double Y, std::string_view Text,
            const TextStyle &Style = {});
  /// Draws \p Text upwards, centred at the point.
  void verticalText(double X, double Y, std::string_view Text);

  /// Returns the image with a white background.
  std::string finish(double Width, double Height) const;

private:
  std::string Body_;
};

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_SVG_CANVAS_H
