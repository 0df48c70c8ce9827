#include "filbertspring/report/burn_render.h"

#include "utc.h"

#include "filbertspring/config/units.h"

#include <fmt/format.h>
#include <iterator>

namespace filbertspring {
namespace {

using Buffer = std::back_insert_iterator<std::string>;

std::string_view alertLabel(const ServiceBurn &Burn) {
  if (Burn.FastBurn_)
    return "FAST BURN";
  return Burn.SlowBurn_ ? "SLOW BURN" : "ok";
}

void writeWindows(Buffer Out, const ServiceBurn &Burn) {
  fmt::format_to(Out, "  {:<8}{:>12}{:>10}{:>12}\n", "window", "requests",
                 "bad", "burn rate");
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const WindowBurn &Window = Burn.Windows_[Index];
    fmt::format_to(Out, "  {:<8}{:>12}{:>10}{:>11.2f}x\n",
                   BurnWindowNames[Index].Name_, Window.Good_ + Window.Bad_,
                   Window.Bad_, Window.BurnRate_);
  }
}

void writeSources(Buffer Out, const ServiceBurn &Burn) {
  if (Burn.Sources_.empty())
    return;
  fmt::format_to(Out, "  bad requests of 24h by origin\n");
  for (const BurnSource &Source : Burn.Sources_)
    fmt::format_to(Out, "    {:<20} {:<16}{:>10}\n", Source.Zone_.str(),
                   nameOf(BurnCauseNames, Source.Cause_), Source.Bad_);
}

void writeService(Buffer Out, const ServiceBurn &Burn) {
  fmt::format_to(Out, "\n{} / {}: {:.6g}% within {}: {}\n",
                 Burn.Contract_.str(), Burn.Service_.str(),
                 Burn.Objective_ * 100, formatDuration(Burn.LatencyTarget_),
                 alertLabel(Burn));
  fmt::format_to(Out, "  error budget of 24h: {:.1f} requests, {:.1f}% used\n",
                 Burn.BudgetRequests_, (1 - Burn.BudgetLeft_) * 100);
  writeWindows(Out, Burn);
  writeSources(Out, Burn);
}

void writeCoverage(Buffer Out, const BurnReport &Report) {
  fmt::format_to(Out, "\nObserved time\n  {:<8}{:>14}{:>18}{:>12}\n", "window",
                 "not observed", "partly observed", "instances");
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const WindowCoverage &Window = Report.Coverage_[Index];
    fmt::format_to(Out, "  {:<8}{:>10} min{:>14} min{:>12}\n",
                   BurnWindowNames[Index].Name_, Window.UnobservedMinutes_,
                   Window.PartialMinutes_, Window.Instances_);
  }
}

} // namespace

std::string renderBurnText(const BurnReport &Report) {
  std::string Text = fmt::format("Service-level burn at {}\n",
                                 report_detail::formatUtc(Report.NowMs_));
  Buffer Out = std::back_inserter(Text);
  if (Report.Services_.empty())
    fmt::format_to(Out, "\nNo contract has a service.\n");
  for (const ServiceBurn &Burn : Report.Services_)
    writeService(Out, Burn);
  for (const UnknownServiceCounts &Counts : Report.UnknownServices_)
    fmt::format_to(Out, "\n{} / {}: in no contract: {} requests, {} bad\n",
                   Counts.Contract_.str(), Counts.Service_.str(),
                   Counts.Good_ + Counts.Bad_, Counts.Bad_);
  writeCoverage(Out, Report);
  return Text;
}

} // namespace filbertspring
