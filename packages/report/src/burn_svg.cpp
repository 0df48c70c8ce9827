#include "filbertspring/report/burn_render.h"

#include "burn_minute_map.h"
#include "svg_canvas.h"
#include "utc.h"

#include "filbertspring/config/units.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace filbertspring {

using report_detail::SvgCanvas;
using report_detail::TextAnchor;

namespace {

// Layout, in pixels.
constexpr double ImageWidth = 960;
constexpr double PlotLeft = 70;
constexpr double PlotWidth = 740;
constexpr double PlotRight = PlotLeft + PlotWidth;
constexpr double PlotHeight = 170;
constexpr double HeaderHeight = 84;
constexpr double PanelTitleHeight = 56;
constexpr double PanelHeight = PanelTitleHeight + PlotHeight + 64;
/// Labels with a smaller vertical distance would overlap.
constexpr double MinLabelDistance = 13;
constexpr std::size_t TimeTicks = 6;

constexpr std::string_view TitleColour = "#111111";
constexpr std::string_view AxisColour = "#555555";
constexpr std::string_view GridColour = "#dddddd";
constexpr std::string_view UnobservedColour = "#e4e4e4";
constexpr std::string_view AlertColour = "#b00020";
/// In the order of BurnCause. The colours are distinguishable with colour
/// vision deficiency.
constexpr std::array<std::string_view, BurnCauseCount> CauseColours{
    "#e69f00", "#56b4e9", "#d55e00", "#cc79a7", "#0072b2"};

/// Position and scale of the chart of one service.
struct PlotArea {
  double Top_ = 0;
  double MaxRate_ = 1;
  double StepWidth_ = 1;

  double yForRate(double Rate) const {
    return Top_ + PlotHeight * (1 - Rate / MaxRate_);
  }
  double xForStep(std::size_t Step) const {
    return PlotLeft + StepWidth_ * static_cast<double>(Step);
  }
};

/// Returns the part of the burn rate of \p Step that \p Cause contributes.
double burnRateOfCause(const BurnStep &Step, std::size_t Cause,
                       double Objective) {
  auto Total = static_cast<double>(Step.Good_ +
                                   report_detail::totalBadRequests(Step.Bad_));
  if (Total == 0)
    return 0;
  return static_cast<double>(Step.Bad_[Cause]) / Total / (1 - Objective);
}

/// Returns the upper end of the rate axis: the smallest of 2, 5, 10, 20, 50
/// and so on that is above the burn rate of every step.
double rateAxisMaximum(const ServiceBurn &Burn) {
  double HighestRate = 0;
  for (const BurnStep &Step : Burn.Steps_) {
    double Sum = 0;
    for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
      Sum += burnRateOfCause(Step, Cause, Burn.Objective_);
    HighestRate = std::max(HighestRate, Sum);
  }
  double Maximum = 1;
  constexpr std::array<double, 3> Factors{2, 2.5, 2};
  for (std::size_t Index = 0; Maximum <= HighestRate || Index == 0; ++Index)
    Maximum *= Factors[Index % Factors.size()];
  return Maximum;
}

void drawLegend(SvgCanvas &Canvas) {
  double X = PlotLeft;
  constexpr double Y = 62;
  auto AddEntry = [&](std::string_view Colour, std::string_view Name) {
    Canvas.rectangle(X, Y - 10, 12, 12, Colour);
    Canvas.text(X + 17, Y, Name);
    X += 40 + 7 * static_cast<double>(Name.size());
  };
  for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
    AddEntry(CauseColours[Cause], BurnCauseNames[Cause].Name_);
  AddEntry(UnobservedColour, "not observed");
}

/// Returns \p Name, truncated if it is too long for a title.
std::string truncateName(const std::string &Name) {
  constexpr std::size_t MaxLength = 40;
  if (Name.size() <= MaxLength)
    return Name;
  return Name.substr(0, MaxLength - 3) + "...";
}

void drawTitle(SvgCanvas &Canvas, const ServiceBurn &Burn, double Top) {
  bool IsAlerting = Burn.FastBurn_ || Burn.SlowBurn_;
  std::string_view AlertPrefix = Burn.FastBurn_   ? "FAST BURN: "
                                 : Burn.SlowBurn_ ? "SLOW BURN: "
                                                  : "";
  Canvas.text(
      PlotLeft, Top + 18,
      fmt::format("{}{} / {}: {:.6g}% within {}", AlertPrefix,
                  truncateName(Burn.Contract_.str()),
                  truncateName(Burn.Service_.str()), Burn.Objective_ * 100,
                  formatDuration(Burn.LatencyTarget_)),
      {TextAnchor::Start, 14, IsAlerting ? AlertColour : TitleColour, true});
  std::string Summary =
      fmt::format("error budget of 24h used {:.0f}%, burn rate",
                  (1 - Burn.BudgetLeft_) * 100);
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Summary += fmt::format("{} {}: {:.1f}x", Index == 0 ? "" : ",",
                           BurnWindowNames[Index].Name_,
                           Burn.Windows_[Index].BurnRate_);
  Canvas.text(PlotLeft, Top + 38, Summary);
}

void drawUnobserved(SvgCanvas &Canvas, const BurnTimeline &Timeline,
                    const PlotArea &Area) {
  for (std::size_t Step = 0; Step < Timeline.ObservedMinutes_.size(); ++Step) {
    double UnobservedFraction =
        1 - static_cast<double>(Timeline.ObservedMinutes_[Step]) /
                static_cast<double>(Timeline.MinutesPerStep_);
    if (UnobservedFraction > 0)
      Canvas.rectangle(Area.xForStep(Step), Area.Top_,
                       Area.StepWidth_ * UnobservedFraction, PlotHeight,
                       UnobservedColour);
  }
}

void drawRateAxis(SvgCanvas &Canvas, const PlotArea &Area) {
  constexpr int Ticks = 4;
  for (int Tick = 0; Tick <= Ticks; ++Tick) {
    double Rate = Area.MaxRate_ * Tick / Ticks;
    Canvas.line(PlotLeft, Area.yForRate(Rate), PlotRight, Area.yForRate(Rate),
                GridColour);
    Canvas.text(PlotLeft - 6, Area.yForRate(Rate) + 4,
                fmt::format("{:g}x", Rate), {TextAnchor::End, 11});
  }
  Canvas.verticalText(20, Area.Top_ + PlotHeight / 2,
                      "burn rate (times the budget)");
}

void drawSteps(SvgCanvas &Canvas, const ServiceBurn &Burn,
               const PlotArea &Area) {
  double Gap = Area.StepWidth_ > 4 ? 1 : 0;
  for (std::size_t Step = 0; Step < Burn.Steps_.size(); ++Step) {
    double Base = 0;
    for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause) {
      double Rate = burnRateOfCause(Burn.Steps_[Step], Cause, Burn.Objective_);
      if (Rate == 0)
        continue;
      double Upper = Area.yForRate(Base + Rate);
      Canvas.rectangle(Area.xForStep(Step), Upper, Area.StepWidth_ - Gap,
                       Area.yForRate(Base) - Upper, CauseColours[Cause]);
      Base += Rate;
    }
  }
}

/// Draws the alert thresholds. The label of a threshold is omitted if it would
/// overlap the label above it.
void drawThresholds(SvgCanvas &Canvas, const PlotArea &Area) {
  struct Threshold {
    double BurnRate_;
    std::string_view Name_;
  };
  constexpr std::array<Threshold, 3> Thresholds{
      {{FastBurnRate, "fast"}, {SlowBurnRate, "slow"}, {1.0, "budget pace"}}};
  double LastLabelY = Area.Top_ - MinLabelDistance;
  for (const Threshold &Item : Thresholds) {
    if (Item.BurnRate_ > Area.MaxRate_)
      continue;
    double Y = Area.yForRate(Item.BurnRate_);
    Canvas.line(PlotLeft, Y, PlotRight, Y, AlertColour, true);
    if (Y - LastLabelY < MinLabelDistance)
      continue;
    Canvas.text(PlotRight + 8, Y + 4,
                fmt::format("{} ({:g}x)", Item.Name_, Item.BurnRate_),
                {TextAnchor::Start, 11, AlertColour});
    LastLabelY = Y;
  }
}

void drawTimeAxis(SvgCanvas &Canvas, const BurnTimeline &Timeline,
                  const PlotArea &Area) {
  double Bottom = Area.Top_ + PlotHeight;
  Canvas.line(PlotLeft, Bottom, PlotRight, Bottom, AxisColour);
  Canvas.line(PlotLeft, Area.Top_, PlotLeft, Bottom, AxisColour);
  std::size_t Steps = Timeline.ObservedMinutes_.size();
  for (std::size_t Tick = 0; Tick <= TimeTicks; ++Tick) {
    std::size_t Step = Steps * Tick / TimeTicks;
    std::int64_t Minute =
        Timeline.FirstMinute_ +
        static_cast<std::int64_t>(Step) * Timeline.MinutesPerStep_;
    Canvas.line(Area.xForStep(Step), Bottom, Area.xForStep(Step), Bottom + 5,
                AxisColour);
    Canvas.text(Area.xForStep(Step), Bottom + 18,
                report_detail::formatUtcMinute(Minute),
                {TextAnchor::Middle, 11});
  }
  Canvas.text(PlotLeft + PlotWidth / 2, Bottom + 36, "time (UTC)",
              {TextAnchor::Middle, 11});
}

void drawService(SvgCanvas &Canvas, const ServiceBurn &Burn,
                 const BurnTimeline &Timeline, double Top) {
  PlotArea Area;
  Area.Top_ = Top + PanelTitleHeight;
  Area.MaxRate_ = rateAxisMaximum(Burn);
  Area.StepWidth_ =
      PlotWidth / static_cast<double>(Timeline.ObservedMinutes_.size());
  drawTitle(Canvas, Burn, Top);
  drawUnobserved(Canvas, Timeline, Area);
  drawRateAxis(Canvas, Area);
  drawSteps(Canvas, Burn, Area);
  drawThresholds(Canvas, Area);
  drawTimeAxis(Canvas, Timeline, Area);
}

} // namespace

std::string renderBurnSvg(const BurnReport &Report) {
  SvgCanvas Canvas;
  Canvas.text(PlotLeft, 32,
              fmt::format("Service-level burn at {}",
                          report_detail::formatUtc(Report.NowMs_)),
              {TextAnchor::Start, 18, TitleColour, true});
  drawLegend(Canvas);
  double Top = HeaderHeight;
  for (const ServiceBurn &Burn : Report.Services_) {
    drawService(Canvas, Burn, Report.Timeline_, Top);
    Top += PanelHeight;
  }
  if (Report.Services_.empty())
    Canvas.text(PlotLeft, Top + 20, "No contract has a service.");
  return Canvas.toSvg(ImageWidth, std::max(Top, HeaderHeight + 40));
}

} // namespace filbertspring
