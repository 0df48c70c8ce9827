#include "routing_runs.h"

#include "../src/statistics.h"

#include <algorithm>

namespace filbertspring::benchmark {
namespace {

RouterConfig baseline(EndpointPolicy Policy) {
  RouterConfig Config;
  Config.Policy_ = Policy;
  Config.Retry_.HedgingEnabled_ = false;
  return Config;
}

} // namespace

std::vector<NamedPolicy> comparedPolicies() {
  return {{"sampled", RouterConfig()},
          {"sampled-no-hedge", baseline(SampledPolicy{})},
          {"random", baseline(RandomPolicy{})},
          {"round-robin", baseline(RoundRobinPolicy{})},
          {"plain-round-robin", baseline(RoundRobinPolicy{false})},
          {"least-in-flight", baseline(LeastInFlightPolicy{})}};
}

SimulationSettings settingsAtLoad(double Load, const RouterConfig &Config,
                                  bool Quick) {
  SimulationSettings Settings;
  Settings.Router_ = Config;
  Settings.MeanService_ = std::chrono::milliseconds(40);
  if (Quick)
    Settings.Measured_ = std::chrono::seconds(2);
  auto AllSlots = static_cast<double>(Settings.Executors_) *
                  static_cast<double>(Settings.Slots_);
  double Seconds = std::chrono::duration<double>(Settings.MeanService_).count();
  CallerStream Stream;
  Stream.Contract_ = ContractName("bookings");
  Stream.PerSecond_ = Load * AllSlots / Seconds;
  Settings.Streams_ = {Stream};
  return Settings;
}

RunFigures figuresOf(const RoutingSimulation &Simulation,
                     const SimulationSettings &Settings, std::size_t Stream) {
  TimePoint Start = TimePoint(std::chrono::hours(1)) + Settings.WarmUp_;
  std::vector<double> Latencies;
  double Failed = 0.0;
  for (const RequestRecord &Record : Simulation.Records_) {
    if (Record.Stream_ != Stream || Record.IntendedAt_ < Start)
      continue;
    bool Completed = Record.Outcome_ == RequestOutcome::Completed;
    Failed += Completed ? 0.0 : 1.0;
    Duration Latency = Completed ? Record.Latency_ : Settings.Deadline_;
    Latencies.push_back(static_cast<double>(Latency.count()) / 1000.0);
  }
  std::ranges::sort(Latencies);
  auto Requests =
      static_cast<double>(std::max<std::size_t>(Latencies.size(), 1));
  auto All = static_cast<double>(
      std::max<std::int64_t>(Simulation.Counts_.Requests_, 1));
  RunFigures Figures;
  Figures.P50_ = quantileOf(Latencies, 0.5);
  Figures.P99_ = quantileOf(Latencies, 0.99);
  Figures.P999_ = quantileOf(Latencies, 0.999);
  Figures.FailedPercent_ = 100.0 * Failed / Requests;
  Figures.BusyPerThousand_ =
      1000.0 * static_cast<double>(Simulation.Counts_.Busy_) / All;
  Figures.RemotePercent_ =
      100.0 * static_cast<double>(Simulation.Counts_.Remote_) / All;
  Figures.AttemptsPerRequest_ =
      static_cast<double>(Simulation.Counts_.Attempts_) / All;
  return Figures;
}

} // namespace filbertspring::benchmark
