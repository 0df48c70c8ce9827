#include "routing_fairness.h"

#include "../src/statistics.h"
#include "routing_runs.h"

#include <fmt/format.h>

namespace filbertspring::benchmark {
namespace {

/// How many times its rate limit the loud contract sends.
constexpr double Excess = 10.0;
constexpr double MaxRatio = 1.1;
/// A limit that never binds.
constexpr std::int64_t Unlimited = 1'000'000;

/// What the loud contract does.
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

/// The parts of the slots that the limits of the two contracts allow.
struct Division {
  double Quiet_ = 0.0;
  double Loud_ = 0.0;
};

const std::vector<Division> Divisions = {{0.2, 0.2}, {0.4, 0.45}};

WorldShape shapeFor(const Division &Parts, const Neighbour &Other, bool Quick) {
  WorldShape Shape = shapeAt(1.0, RouterConfig(), Quick);
  double Full = Shape.Streams_.front().PerSecond_;
  double LoudLimit = Full * Parts.Loud_;
  auto Slots =
      static_cast<double>(Shape.Executors_) * static_cast<double>(Shape.Slots_);
  CallerStream Quiet;
  Quiet.Contract_ = ContractName("quiet");
  Quiet.PerSecond_ = Full * Parts.Quiet_;
  Shape.Streams_ = {Quiet};
  if (!Other.Present_)
    return Shape;
  CallerStream Loud;
  Loud.Contract_ = ContractName("loud");
  Loud.PerSecond_ = LoudLimit * Other.Excess_;
  if (Other.Limited_) {
    Loud.RatePerSecond_ = static_cast<std::int64_t>(LoudLimit);
    Loud.Concurrency_ = static_cast<std::int64_t>(Slots * Parts.Loud_ * 2);
  } else {
    Loud.RatePerSecond_ = Unlimited;
    Loud.Concurrency_ = Unlimited;
  }
  Shape.Streams_.push_back(Loud);
  return Shape;
}

} // namespace

Report runRoutingFairness(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {
      "limits % of slots", "neighbour",         "p50 ms", "p99 ms", "failed %",
      "p99 / alone",       "neighbour failed %"};
  for (const Division &Parts : Divisions) {
    std::string Limits =
        fmt::format("{:.0f} + {:.0f}", Parts.Quiet_ * 100, Parts.Loud_ * 100);
    double Alone = 0.0;
    for (const Neighbour &Other : Neighbours) {
      std::vector<double> P50;
      std::vector<double> P99;
      std::vector<double> Failed;
      std::vector<double> OtherFailed;
      for (int Index = 0; Index < Options.Seeds_; ++Index) {
        WorldShape Shape = shapeFor(Parts, Other, Options.Quick_);
        RoutingWorld World(Shape,
                           Options.Seed_ + static_cast<std::uint64_t>(Index));
        World.run();
        RunFigures Quiet = figuresOf(World, Shape, 0);
        P50.push_back(Quiet.P50_);
        P99.push_back(Quiet.P99_);
        Failed.push_back(Quiet.FailedPercent_);
        OtherFailed.push_back(figuresOf(World, Shape, 1).FailedPercent_);
      }
      Spread Tail = spreadOf(P99);
      if (!Other.Present_)
        Alone = Tail.Mean_;
      double Ratio = Tail.Mean_ / Alone;
      Result.Rows_.push_back({Limits, Other.Name_, toText(spreadOf(P50)),
                              toText(Tail), toText(spreadOf(Failed), 3),
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
