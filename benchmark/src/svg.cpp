#include "svg.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace filbertspring::benchmark {
namespace {

constexpr double Width = 760;
constexpr double Height = 420;
constexpr double Left = 80;
constexpr double Right = 200;
constexpr double Top = 40;
constexpr double Bottom = 60;
constexpr int Ticks = 5;

constexpr std::array<std::string_view, 8> Colours = {
    "#0072b2", "#d55e00", "#009e73", "#cc79a7",
    "#e69f00", "#56b4e9", "#000000", "#999999"};

/// The interval of values on an axis.
struct Range {
  double Low_ = std::numeric_limits<double>::infinity();
  double High_ = -std::numeric_limits<double>::infinity();

  void include(double Value) {
    if (!std::isfinite(Value))
      return;
    Low_ = std::min(Low_, Value);
    High_ = std::max(High_, Value);
  }
  void ensureNonEmpty() {
    if (!(Low_ <= High_))
      Low_ = High_ = 0.0;
    if (Low_ == High_)
      High_ = Low_ + 1.0;
  }
  double fraction(double Value) const {
    return (Value - Low_) / (High_ - Low_);
  }
  double at(double Fraction) const { return Low_ + Fraction * (High_ - Low_); }
};

/// Maps values to coordinates in the document.
struct Frame {
  Range X_;
  Range Y_;

  double x(double Value) const {
    return Left + X_.fraction(Value) * (Width - Left - Right);
  }
  double y(double Value) const {
    return Height - Bottom - Y_.fraction(Value) * (Height - Top - Bottom);
  }
};

std::string escape(std::string_view Text) {
  std::string Escaped;
  for (char Letter : Text) {
    if (Letter == '&')
      Escaped += "&amp;";
    else if (Letter == '<')
      Escaped += "&lt;";
    else if (Letter == '>')
      Escaped += "&gt;";
    else
      Escaped += Letter;
  }
  return Escaped;
}

std::string text(double X, double Y, std::string_view Anchor,
                 std::string_view Content) {
  return fmt::format(
      "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", X, Y,
      Anchor, escape(Content));
}

std::string line(double X1, double Y1, double X2, double Y2,
                 std::string_view Colour) {
  return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                     "y2=\"{:.1f}\" stroke=\"{}\"/>\n",
                     X1, Y1, X2, Y2, Colour);
}

std::string axes(const Frame &Area, const Plot &Drawing) {
  std::string Out;
  for (int Tick = 0; Tick <= Ticks; ++Tick) {
    double Fraction = static_cast<double>(Tick) / Ticks;
    double X = Area.X_.at(Fraction);
    double Y = Area.Y_.at(Fraction);
    Out += line(Left, Area.y(Y), Width - Right, Area.y(Y), "#dddddd");
    Out += text(Left - 6, Area.y(Y) + 4, "end", fmt::format("{:.4g}", Y));
    Out += text(Area.x(X), Height - Bottom + 18, "middle",
                fmt::format("{:.4g}", X));
  }
  Out += line(Left, Top, Left, Height - Bottom, "black");
  Out += line(Left, Height - Bottom, Width - Right, Height - Bottom, "black");
  double Middle = (Left + Width - Right) / 2;
  Out += text(Middle, Height - 16, "middle", Drawing.XLabel_);
  Out += text(Left, Top - 8, "middle", Drawing.YLabel_);
  Out += text(Middle, 18, "middle", Drawing.Title_);
  return Out;
}

std::string curve(const Frame &Area, const Series &Data,
                  std::string_view Colour) {
  std::string Points;
  for (std::size_t Index = 0; Index < Data.X_.size(); ++Index)
    if (std::isfinite(Data.Y_[Index]))
      Points += fmt::format("{:.1f},{:.1f} ", Area.x(Data.X_[Index]),
                            Area.y(Data.Y_[Index]));
  return fmt::format("<polyline fill=\"none\" stroke=\"{}\" "
                     "stroke-width=\"2\" points=\"{}\"/>\n",
                     Colour, Points);
}

} // namespace

std::string toSvg(const Plot &Drawing) {
  Frame Area;
  Area.Y_.include(0.0);
  for (const Series &Data : Drawing.Series_) {
    for (double X : Data.X_)
      Area.X_.include(X);
    for (double Y : Data.Y_)
      Area.Y_.include(Y);
  }
  Area.X_.ensureNonEmpty();
  Area.Y_.ensureNonEmpty();
  std::string Out = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {0} {1}\" "
      "width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
      "font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
      "fill=\"white\"/>\n",
      Width, Height);
  Out += axes(Area, Drawing);
  double LegendY = Top + 10;
  for (std::size_t Index = 0; Index < Drawing.Series_.size(); ++Index) {
    std::string_view Colour = Colours[Index % Colours.size()];
    Out += curve(Area, Drawing.Series_[Index], Colour);
    double LegendX = Width - Right + 16;
    Out += line(LegendX, LegendY - 4, LegendX + 20, LegendY - 4, Colour);
    Out += text(LegendX + 26, LegendY, "start", Drawing.Series_[Index].Name_);
    LegendY += 18;
  }
  return Out + "</svg>\n";
}

} // namespace filbertspring::benchmark
