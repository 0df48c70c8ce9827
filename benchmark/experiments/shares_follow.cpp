#include "shares_follow.h"

#include "configuration_cluster.h"
#include "share_cluster.h"
#include "statistics.h"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>

namespace filbertspring::benchmark {

namespace {

using membership::test::ConfigurationCluster;
using membership::test::ConfigurationFaults;
using membership::test::FaultRates;
using membership::test::HeavyFaults;
using membership::test::ShareCluster;

constexpr Duration Warmup = std::chrono::seconds(40);
constexpr Duration SampleStep = std::chrono::milliseconds(250);
constexpr Duration MaxWait = std::chrono::seconds(60);
constexpr double FollowTargetSeconds = 10;
constexpr double SpreadTargetSeconds = 14;

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

/// Times and table writes until shares follow moved demand.
struct FollowResult {
  std::vector<double> Seconds_;
  double WritesPerMove_ = 0;
  std::int32_t LargestSum_ = 0;
};

/// Moves most of the demand to one instance after another.
FollowResult measureFollowing(int Instances, std::uint64_t Seed, int Moves,
                              std::int32_t Threshold) {
  ShareCluster Cluster(Instances, Seed, FaultRates{});
  Cluster.run(Warmup);
  const auto Before = Cluster.ledgerWrites();
  FollowResult Result;
  for (int Move = 0; Move < Moves; ++Move) {
    for (int Index = 0; Index < Instances; ++Index)
      Cluster.setDemand(Index, Index == Move % Instances ? 800 : 20);
    const Duration Start = Cluster.now();
    while (Cluster.largestDeficit() >= Threshold &&
           Cluster.now() - Start < MaxWait)
      Cluster.run(SampleStep);
    Result.Seconds_.push_back(toSeconds(Cluster.now() - Start));
    Cluster.run(MaxWait - (Cluster.now() - Start));
  }
  Result.WritesPerMove_ =
      static_cast<double>(Cluster.ledgerWrites() - Before) / Moves;
  Result.LargestSum_ = Cluster.largestSum();
  return Result;
}

/// Returns the ledger writes per minute while demands change at random.
double writesPerMinute(int Instances, std::uint64_t Seed) {
  FaultRates Moving;
  Moving.DemandShift_ = 17; // Each demand changes once a minute.
  ShareCluster Cluster(Instances, Seed, Moving);
  Cluster.run(Warmup);
  const auto Before = Cluster.ledgerWrites();
  constexpr int Minutes = 5;
  Cluster.run(std::chrono::minutes(Minutes));
  return static_cast<double>(Cluster.ledgerWrites() - Before) / Minutes;
}

std::int32_t largestSumUnderFaults(std::uint64_t Seed) {
  ShareCluster Cluster(6, Seed, HeavyFaults);
  Cluster.run(std::chrono::minutes(5));
  return Cluster.largestSum();
}

std::int32_t thresholdFor(int Instances) {
  const std::int32_t HalfEven = WholeLimitPermille / (2 * Instances);
  return std::min(membership::ShareSettings{}.HysteresisPermille_, HalfEven);
}

} // namespace

Report runSharesFollow(const ExperimentOptions &Options) {
  Report Out;
  Out.Columns_ = {"instances", "seconds p50", "seconds most", "writes per move",
                  "writes/min, one contract, random demand"};
  double Slowest = 0;
  std::int32_t LargestSum = 0;
  const std::vector<int> Sizes =
      Options.Quick_ ? std::vector<int>{6} : std::vector<int>{6, 12, 30};
  for (const int Instances : Sizes) {
    std::vector<double> Seconds;
    std::vector<double> PerMove;
    std::vector<double> PerMinute;
    for (int Run = 0; Run < Options.Seeds_; ++Run) {
      const auto Seed = Options.Seed_ + static_cast<std::uint64_t>(Run);
      const FollowResult Result = measureFollowing(
          Instances, Seed, Options.Quick_ ? 3 : 6, thresholdFor(Instances));
      Seconds.insert(Seconds.end(), Result.Seconds_.begin(),
                     Result.Seconds_.end());
      PerMove.push_back(Result.WritesPerMove_);
      PerMinute.push_back(writesPerMinute(Instances, Seed));
      LargestSum = std::max(LargestSum, Result.LargestSum_);
    }
    std::ranges::sort(Seconds);
    Slowest = std::max(Slowest, Seconds.back());
    Out.Rows_.push_back({fmt::to_string(Instances),
                         fmt::format("{:.1f}", quantileOf(Seconds, 0.5)),
                         fmt::format("{:.1f}", Seconds.back()),
                         toText(spreadOf(PerMove)),
                         toText(spreadOf(PerMinute))});
  }
  for (int Run = 0; Run < Options.Seeds_; ++Run)
    LargestSum = std::max(
        LargestSum,
        largestSumUnderFaults(Options.Seed_ + static_cast<std::uint64_t>(Run)));
  Out.Verdicts_.push_back(
      verdict(Slowest <= FollowTargetSeconds,
              fmt::format("shares follow demand within {:.0f} s (most {:.1f})",
                          FollowTargetSeconds, Slowest)));
  Out.Verdicts_.push_back(
      verdict(LargestSum <= WholeLimitPermille,
              fmt::format("shares in use never exceed the whole, faults "
                          "included (most {} of {})",
                          LargestSum, WholeLimitPermille)));
  return Out;
}

Report runConfigurationSpread(const ExperimentOptions &Options) {
  Report Out;
  Out.Columns_ = {"instances", "cut from the table", "seconds p50",
                  "seconds most", "deltas per change"};
  constexpr int Instances = 30;
  const int Changes = Options.Quick_ ? 5 : 20;
  double Slowest = 0;
  for (const int Disconnected : {0, 4, 10, 29}) {
    std::vector<double> Seconds;
    double Deltas = 0;
    for (int Run = 0; Run < Options.Seeds_; ++Run) {
      ConfigurationCluster Cluster(
          Instances, Options.Seed_ + static_cast<std::uint64_t>(Run),
          ConfigurationFaults{});
      Cluster.run(Warmup);
      for (int Index = 0; Index < Disconnected; ++Index)
        Cluster.disconnectFromTable(Index, std::chrono::hours(24));
      const auto Before = Cluster.deltas();
      for (int Change = 0; Change < Changes; ++Change) {
        Cluster.writeRow();
        const Duration Start = Cluster.now();
        while (!Cluster.converged() && Cluster.now() - Start < MaxWait)
          Cluster.run(SampleStep);
        Seconds.push_back(toSeconds(Cluster.now() - Start));
      }
      Deltas += static_cast<double>(Cluster.deltas() - Before) / Changes /
                Options.Seeds_;
    }
    std::ranges::sort(Seconds);
    Slowest = std::max(Slowest, Seconds.back());
    Out.Rows_.push_back(
        {fmt::to_string(Instances), fmt::to_string(Disconnected),
         fmt::format("{:.1f}", quantileOf(Seconds, 0.5)),
         fmt::format("{:.1f}", Seconds.back()), fmt::format("{:.1f}", Deltas)});
  }
  Out.Verdicts_.push_back(verdict(
      Slowest <= SpreadTargetSeconds,
      fmt::format("a change is in force everywhere within {:.0f} s (most "
                  "{:.2f})",
                  SpreadTargetSeconds, Slowest)));
  return Out;
}

} // namespace filbertspring::benchmark
