#include "routing_fairness.h"

#include "../src/statistics.h"
#include "routing_runs.h"

#include <fmt/format.h>

namespace filbertspring::benchmark {
namespace {

/// Rate of the noisy contract as a multiple of its rate limit.
constexpr double Excess = 10.0;
constexpr double MaxRatio = 1.1;
/// A limit that is never reached.
constexpr std::int64_t Unlimited = 1'000'000;

/// Behaviour of the noisy contract.
struct Neighbour {
  std::string Name_;
  bool Present_ = true;
  double Excess_ = 1.0;
  bool Limited_ = true;
};

const std::vector<Neighbour> Neighbours = {
    {"alone", false, 0.0, true},
    {"neighbour at its limit", true, 1.0, true},
    {"neighbour at ten times", true, Excess, true},
    {"ten times, no limits", true, Excess, false}};

/// Fractions of the slots that the limits of the two contracts allow.
struct SlotShares {
  double CompliantShare_ = 0.0;
  double NoisyShare_ = 0.0;
};

const std::vector<SlotShares> SlotShareCases = {{0.2, 0.2}, {0.4, 0.45}};

SimulationSettings settingsFor(const SlotShares &Shares, const Neighbour &Other,
                               bool Quick) {
  SimulationSettings Settings = settingsAtLoad(1.0, RouterConfig(), Quick);
  double Full = Settings.Streams_.front().PerSecond_;
  double NoisyLimit = Full * Shares.NoisyShare_;
  auto Slots = static_cast<double>(Settings.Executors_) *
               static_cast<double>(Settings.Slots_);
  CallerStream Compliant;
  Compliant.Contract_ = ContractName("quiet");
  Compliant.PerSecond_ = Full * Shares.CompliantShare_;
  Settings.Streams_ = {Compliant};
  if (!Other.Present_)
    return Settings;
  CallerStream Noisy;
  Noisy.Contract_ = ContractName("loud");
  Noisy.PerSecond_ = NoisyLimit * Other.Excess_;
  if (Other.Limited_) {
    Noisy.RatePerSecond_ = static_cast<std::int64_t>(NoisyLimit);
    Noisy.Concurrency_ =
        static_cast<std::int64_t>(Slots * Shares.NoisyShare_ * 2);
  } else {
    Noisy.RatePerSecond_ = Unlimited;
    Noisy.Concurrency_ = Unlimited;
  }
  Settings.Streams_.push_back(Noisy);
  return Settings;
}

} // namespace

Report runRoutingFairness(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {
      "limits % of slots", "neighbour",         "p50 ms", "p99 ms", "failed %",
      "p99 / alone",       "neighbour failed %"};
  for (const SlotShares &Shares : SlotShareCases) {
    std::string Limits =
        fmt::format("{:.0f} + {:.0f}", Shares.CompliantShare_ * 100,
                    Shares.NoisyShare_ * 100);
    double BaselineP99 = 0.0;
    for (const Neighbour &Other : Neighbours) {
      std::vector<double> P50;
      std::vector<double> P99;
      std::vector<double> Failed;
      std::vector<double> OtherFailed;
      for (int Index = 0; Index < Options.Seeds_; ++Index) {
        SimulationSettings Settings =
            settingsFor(Shares, Other, Options.Quick_);
        RoutingSimulation Simulation(
            Settings, Options.Seed_ + static_cast<std::uint64_t>(Index));
        Simulation.run();
        RunFigures Compliant = figuresOf(Simulation, Settings, 0);
        P50.push_back(Compliant.P50_);
        P99.push_back(Compliant.P99_);
        Failed.push_back(Compliant.FailedPercent_);
        OtherFailed.push_back(
            figuresOf(Simulation, Settings, 1).FailedPercent_);
      }
      Spread P99Spread = spreadOf(P99);
      if (!Other.Present_)
        BaselineP99 = P99Spread.Mean_;
      double Ratio = P99Spread.Mean_ / BaselineP99;
      Result.Rows_.push_back({Limits, Other.Name_, toText(spreadOf(P50)),
                              toText(P99Spread), toText(spreadOf(Failed), 3),
                              fmt::format("{:.2f}", Ratio),
                              toText(spreadOf(OtherFailed))});
      if (Other.Excess_ == Excess && Other.Limited_)
        Result.Verdicts_.push_back(verdict(
            Ratio <= MaxRatio,
            fmt::format("limits {}: a neighbour at ten times its limit leaves "
                        "p99 within 10 % of its figure alone ({:.2f})",
                        Limits, Ratio)));
    }
  }
  return Result;
}

} // namespace filbertspring::benchmark
