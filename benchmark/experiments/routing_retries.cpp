#include "routing_retries.h"

#include "../src/statistics.h"
#include "routing_runs.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace filbertspring::benchmark {
namespace {

using namespace std::chrono_literals;

constexpr double Load = 0.7;
constexpr Duration OutageStart = 3s;
constexpr Duration OutageLength = 10s;
constexpr Duration AfterLength = 7s;
constexpr Duration BinLength = 100ms;
/// Recovery is complete when the goodput reaches this fraction of its value
/// before the outage in RecoveredBins consecutive bins.
constexpr double RecoveredFraction = 0.95;
constexpr std::size_t RecoveredBins = 5;
constexpr double MaxAmplification = 1.1;

/// How the executors fail.
enum class OutageKind { Refusing, Silent };

inline constexpr EnumTable<OutageKind, 2> OutageKindNames{
    {{OutageKind::Refusing, "connections refused"},
     {OutageKind::Silent, "silent"}}};

struct Variant {
  std::string Name_;
  bool Budget_ = true;
  bool Shedding_ = true;
  bool HedgesByLoad_ = true;
};

const std::vector<Variant> Variants = {
    {"budget and shedding", true, true},
    {"no budget", false, true},
    {"no shedding", true, false},
    {"neither", false, false},
    {"neither, hedges at any load", false, false, false}};

/// Figures of one run.
struct OutageFigures {
  double Before_ = 0.0;
  double During_ = 0.0;
  double After_ = 0.0;
  double RecoverySeconds_ = 0.0;
  double Amplification_ = 0.0;
  double P99During_ = 0.0;
  std::vector<double> Bins_;
};

void setDown(RoutingSimulation &Simulation, OutageKind Kind, bool Down) {
  for (std::size_t Index = 0; Index < Simulation.Executors_.size();
       Index += 2) {
    bool &IsUp = Kind == OutageKind::Refusing
                     ? Simulation.Executors_[Index].Alive_
                     : Simulation.Executors_[Index].Reachable_;
    IsUp = !Down;
  }
}

std::size_t binOf(Duration Since) {
  return static_cast<std::size_t>(Since / BinLength);
}

/// Returns the percentage of completed requests for each bin of intended
/// arrival times.
std::vector<double> goodputBins(const RoutingSimulation &Simulation,
                                Duration Length) {
  std::vector<double> Good(binOf(Length));
  std::vector<double> All(Good.size());
  for (const RequestRecord &Record : Simulation.Records_) {
    std::size_t Bin = binOf(Record.IntendedAt_ - TimePoint(1h));
    if (Bin >= Good.size())
      continue;
    All[Bin] += 1.0;
    if (Record.Outcome_ == RequestOutcome::Completed)
      Good[Bin] += 1.0;
  }
  for (std::size_t Bin = 0; Bin < Good.size(); ++Bin)
    Good[Bin] *= 100.0 / std::max(All[Bin], 1.0);
  return Good;
}

double meanOf(const std::vector<double> &Bins, Duration From, Duration To) {
  return spreadOf({Bins.begin() + static_cast<std::ptrdiff_t>(binOf(From)),
                   Bins.begin() + static_cast<std::ptrdiff_t>(binOf(To))})
      .Mean_;
}

double recoverySeconds(const std::vector<double> &Bins, double Before) {
  std::size_t End = binOf(OutageStart + OutageLength);
  std::size_t InRow = 0;
  for (std::size_t Bin = End; Bin < Bins.size(); ++Bin) {
    InRow = Bins[Bin] >= RecoveredFraction * Before ? InRow + 1 : 0;
    if (InRow == RecoveredBins)
      return std::chrono::duration<double>(BinLength).count() *
             static_cast<double>(Bin + 1 - RecoveredBins - End);
  }
  return std::chrono::duration<double>(AfterLength).count();
}

double p99During(const RoutingSimulation &Simulation) {
  std::vector<double> Latencies;
  TimePoint Start = TimePoint(1h) + OutageStart;
  for (const RequestRecord &Record : Simulation.Records_) {
    bool Within = Record.IntendedAt_ >= Start &&
                  Record.IntendedAt_ < Start + OutageLength;
    if (Within && Record.Outcome_ == RequestOutcome::Completed)
      Latencies.push_back(static_cast<double>(Record.Latency_.count()) / 1000);
  }
  std::ranges::sort(Latencies);
  return quantileOf(Latencies, 0.99);
}

OutageFigures runOne(const Variant &Case, OutageKind Kind, std::uint64_t Seed) {
  RouterConfig Config;
  Config.Retry_.BudgetEnforced_ = Case.Budget_;
  Config.EarlyShedding_ = Case.Shedding_;
  if (!Case.HedgesByLoad_)
    Config.Retry_.MaxHedgeLoad_ = std::numeric_limits<double>::infinity();
  SimulationSettings Settings = settingsAtLoad(Load, Config, false);
  // Counts cover only the outage.
  Settings.WarmUp_ = OutageStart;
  Settings.Measured_ = OutageLength;
  Settings.ExtraArrivalTime_ = AfterLength;
  RoutingSimulation Simulation(Settings, Seed);
  Simulation.at(OutageStart, [&] { setDown(Simulation, Kind, true); });
  Simulation.at(OutageStart + OutageLength,
                [&] { setDown(Simulation, Kind, false); });
  Simulation.run();
  OutageFigures Figures;
  Duration End = OutageStart + OutageLength;
  Figures.Bins_ = goodputBins(Simulation, End + AfterLength);
  Figures.Before_ = meanOf(Figures.Bins_, 1s, OutageStart - 500ms);
  Figures.During_ = meanOf(Figures.Bins_, OutageStart, End);
  Figures.After_ = meanOf(Figures.Bins_, End, End + AfterLength);
  Figures.RecoverySeconds_ = recoverySeconds(Figures.Bins_, Figures.Before_);
  auto Requests = static_cast<double>(Simulation.Counts_.Sent_);
  Figures.Amplification_ =
      static_cast<double>(Simulation.Counts_.Attempts_) / Requests;
  Figures.P99During_ = p99During(Simulation);
  return Figures;
}

Spread spreadOfFigure(const std::vector<OutageFigures> &Runs,
                      double OutageFigures::*Member) {
  std::vector<double> Values;
  Values.reserve(Runs.size());
  for (const OutageFigures &Run : Runs)
    Values.push_back(Run.*Member);
  return spreadOf(Values);
}

Series curveOf(const std::string &Name, const std::vector<double> &Bins) {
  Series Curve{Name, {}, Bins};
  for (std::size_t Bin = 0; Bin < Bins.size(); ++Bin)
    Curve.X_.push_back(std::chrono::duration<double>(BinLength).count() *
                       static_cast<double>(Bin));
  return Curve;
}

} // namespace

Report runRoutingRetries(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {"outage",
                     "variant",
                     "before %",
                     "during %",
                     "after %",
                     "recovery s",
                     "attempts/sent request",
                     "p99 during ms"};
  for (OutageKind Kind : {OutageKind::Refusing, OutageKind::Silent}) {
    std::string KindName(nameOf(OutageKindNames, Kind));
    Plot Drawing{"Goodput, half of the executors out: " + KindName,
                 "time (s)",
                 "completed (%)",
                 {}};
    std::map<std::string, Spread> During;
    for (const Variant &Case : Variants) {
      std::vector<OutageFigures> Runs;
      Runs.reserve(static_cast<std::size_t>(Options.Seeds_));
      for (int Index = 0; Index < Options.Seeds_; ++Index)
        Runs.push_back(runOne(
            Case, Kind, Options.Seed_ + static_cast<std::uint64_t>(Index)));
      Spread Attempts = spreadOfFigure(Runs, &OutageFigures::Amplification_);
      During[Case.Name_] = spreadOfFigure(Runs, &OutageFigures::During_);
      Result.Rows_.push_back(
          {KindName, Case.Name_,
           toText(spreadOfFigure(Runs, &OutageFigures::Before_)),
           toText(During[Case.Name_]),
           toText(spreadOfFigure(Runs, &OutageFigures::After_)),
           toText(spreadOfFigure(Runs, &OutageFigures::RecoverySeconds_)),
           toText(Attempts, 3),
           toText(spreadOfFigure(Runs, &OutageFigures::P99During_), 0)});
      Drawing.Series_.push_back(curveOf(Case.Name_, Runs.front().Bins_));
      if (Case.Budget_ && Case.Shedding_)
        Result.Verdicts_.push_back(verdict(
            Attempts.High_ <= MaxAmplification,
            fmt::format("{}: at most {:.1f} attempts a sent request ({:.3f})",
                        KindName, MaxAmplification, Attempts.High_)));
    }
    double Chosen = During["budget and shedding"].Mean_;
    double Neither = During["neither"].High_;
    Result.Verdicts_.push_back(
        verdict(Chosen >= Neither,
                fmt::format("{}: goodput during the outage is not below that "
                            "with neither ({:.1f} % and {:.1f} %)",
                            KindName, Chosen, Neither)));
    Result.Plots_.push_back(Drawing);
  }
  return Result;
}

} // namespace filbertspring::benchmark
