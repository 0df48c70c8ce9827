#include "colocation.h"

#include "../src/statistics.h"
#include "colocation_simulation.h"

#include <fmt/format.h>

namespace filbertspring::benchmark {
namespace {

struct NamedPolicy {
  const char *Name_;
  PlacementPolicy Policy_;
};

const std::vector<NamedPolicy> Policies = {
    {"first fit", FirstFit{}},
    {"fixed threshold", FixedThreshold{}},
    {"never colocate", NeverColocate{}},
    {"interference", Interference{}}};
const std::vector<int> Lags = {5, 15, 60};

/// The figures of one policy over the seeds.
struct PolicyFigures {
  Spread TailLatency_;
  Spread BurnRate_;
  Spread FinishedTasks_;
  Spread Evictions_;
  Spread LostCoreHours_;
};

PolicyFigures measure(const NamedPolicy &Policy, int Lag,
                      const ExperimentOptions &Options) {
  std::vector<double> TailLatency;
  std::vector<double> Burn;
  std::vector<double> Finished;
  std::vector<double> Evictions;
  std::vector<double> LostHours;
  for (int Index = 0; Index < Options.Seeds_; ++Index) {
    ColocationSettings Settings;
    Settings.Policy_ = Policy.Policy_;
    Settings.ReportLagSeconds_ = Lag;
    Settings.Seconds_ = Options.Quick_ ? 1800 : 7200;
    Settings.Seed_ = Options.Seed_ + static_cast<std::uint64_t>(Index);
    ColocationOutcome Outcome = runColocationSimulation(Settings);
    TailLatency.push_back(Outcome.MeanTailLatencyMs_);
    Burn.push_back(Outcome.BurnRate_);
    Finished.push_back(Outcome.FinishedTasks_);
    Evictions.push_back(Outcome.Evictions_);
    LostHours.push_back(Outcome.LostCoreHours_);
  }
  return {spreadOf(TailLatency), spreadOf(Burn), spreadOf(Finished),
          spreadOf(Evictions), spreadOf(LostHours)};
}

void addVerdicts(int Lag, const std::vector<PolicyFigures> &Figures,
                 Report &Result) {
  constexpr double MinThroughput = 0.9;
  constexpr double MaxBurn = 1.1;
  constexpr double MaxBudgetCost = 0.1;
  const PolicyFigures &First = Figures[0];
  const PolicyFigures &Fixed = Figures[1];
  const PolicyFigures &Never = Figures[2];
  const PolicyFigures &Chosen = Figures[3];
  double Throughput = Chosen.FinishedTasks_.Mean_ / First.FinishedTasks_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Throughput >= MinThroughput,
      fmt::format("lag {} s: throughput at least 90 % of first fit's ({:.2f})",
                  Lag, Throughput)));
  double Burn = Chosen.BurnRate_.Mean_ / Never.BurnRate_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Burn <= MaxBurn,
      fmt::format("lag {} s: burn within 10 % of never colocating ({:.2f})",
                  Lag, Burn)));
  double Cost = Chosen.BurnRate_.Mean_ - Never.BurnRate_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Cost <= MaxBudgetCost,
      fmt::format("lag {} s: colocation spends at most a tenth of the error "
                  "budget ({:.2f})",
                  Lag, Cost)));
  Result.Verdicts_.push_back(verdict(
      Chosen.Evictions_.Mean_ < Fixed.Evictions_.Mean_,
      fmt::format("lag {} s: fewer evictions than the threshold ({:.0f} "
                  "against {:.0f})",
                  Lag, Chosen.Evictions_.Mean_, Fixed.Evictions_.Mean_)));
}

} // namespace

Report runColocation(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {"lag s",    "policy",    "mean tail ms",   "burn",
                     "finished", "evictions", "lost core hours"};
  Plot Burn{"Burn of the service", "report lag in s", "burn rate", {}};
  for (const NamedPolicy &Policy : Policies)
    Burn.Series_.push_back({Policy.Name_, {}, {}});
  for (int Lag : Lags) {
    std::vector<PolicyFigures> Figures;
    for (std::size_t Index = 0; Index < Policies.size(); ++Index) {
      Figures.push_back(measure(Policies[Index], Lag, Options));
      const PolicyFigures &Figure = Figures.back();
      Result.Rows_.push_back(
          {std::to_string(Lag), Policies[Index].Name_,
           toText(Figure.TailLatency_), toText(Figure.BurnRate_, 2),
           toText(Figure.FinishedTasks_, 0), toText(Figure.Evictions_, 0),
           toText(Figure.LostCoreHours_, 1)});
      Burn.Series_[Index].X_.push_back(Lag);
      Burn.Series_[Index].Y_.push_back(Figure.BurnRate_.Mean_);
    }
    addVerdicts(Lag, Figures, Result);
  }
  Result.Plots_.push_back(std::move(Burn));
  return Result;
}

} // namespace filbertspring::benchmark
