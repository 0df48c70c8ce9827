#include "colocation.h"

#include "../src/statistics.h"
#include "colocation_world.h"

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
  Spread Tail_;
  Spread Burn_;
  Spread Finished_;
  Spread Evictions_;
  Spread Lost_;
};

PolicyFigures measure(const NamedPolicy &Policy, int Lag,
                      const ExperimentOptions &Options) {
  std::vector<double> Tail;
  std::vector<double> Burn;
  std::vector<double> Finished;
  std::vector<double> Evictions;
  std::vector<double> Lost;
  for (int Index = 0; Index < Options.Seeds_; ++Index) {
    ColocationShape Shape;
    Shape.Policy_ = Policy.Policy_;
    Shape.ReportLagSeconds_ = Lag;
    Shape.Seconds_ = Options.Quick_ ? 1800 : 7200;
    Shape.Seed_ = Options.Seed_ + static_cast<std::uint64_t>(Index);
    ColocationOutcome Outcome = runColocationWorld(Shape);
    Tail.push_back(Outcome.MeanTailMs_);
    Burn.push_back(Outcome.Burn_);
    Finished.push_back(Outcome.Finished_);
    Evictions.push_back(Outcome.Evictions_);
    Lost.push_back(Outcome.LostCoreHours_);
  }
  return {spreadOf(Tail), spreadOf(Burn), spreadOf(Finished),
          spreadOf(Evictions), spreadOf(Lost)};
}

void addVerdicts(int Lag, const std::vector<PolicyFigures> &Figures,
                 Report &Result) {
  constexpr double MinThroughput = 0.9;
  constexpr double MaxBurn = 1.1;
  constexpr double MaxBudgetCost = 0.1;
  const PolicyFigures &First = Figures[0];
  const PolicyFigures &Fixed = Figures[1];
  const PolicyFigures &Never = Figures[2];
  const PolicyFigures &Own = Figures[3];
  double Throughput = Own.Finished_.Mean_ / First.Finished_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Throughput >= MinThroughput,
      fmt::format("lag {} s: throughput at least 90 % of first fit's ({:.2f})",
                  Lag, Throughput)));
  double Burn = Own.Burn_.Mean_ / Never.Burn_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Burn <= MaxBurn,
      fmt::format("lag {} s: burn within 10 % of never colocating ({:.2f})",
                  Lag, Burn)));
  double Cost = Own.Burn_.Mean_ - Never.Burn_.Mean_;
  Result.Verdicts_.push_back(verdict(
      Cost <= MaxBudgetCost,
      fmt::format("lag {} s: colocation spends at most a tenth of the error "
                  "budget ({:.2f})",
                  Lag, Cost)));
  Result.Verdicts_.push_back(verdict(
      Own.Evictions_.Mean_ < Fixed.Evictions_.Mean_,
      fmt::format("lag {} s: fewer evictions than the threshold ({:.0f} "
                  "against {:.0f})",
                  Lag, Own.Evictions_.Mean_, Fixed.Evictions_.Mean_)));
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
      const PolicyFigures &Each = Figures.back();
      Result.Rows_.push_back(
          {std::to_string(Lag), Policies[Index].Name_, toText(Each.Tail_),
           toText(Each.Burn_, 2), toText(Each.Finished_, 0),
           toText(Each.Evictions_, 0), toText(Each.Lost_, 1)});
      Burn.Series_[Index].X_.push_back(Lag);
      Burn.Series_[Index].Y_.push_back(Each.Burn_.Mean_);
    }
    addVerdicts(Lag, Figures, Result);
  }
  Result.Plots_.push_back(std::move(Burn));
  return Result;
}

} // namespace filbertspring::benchmark
