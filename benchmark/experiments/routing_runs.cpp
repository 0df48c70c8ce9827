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

WorldShape shapeAt(double Load, const RouterConfig &Config, bool Quick) {
  WorldShape Shape;
  Shape.Router_ = Config;
  Shape.MeanService_ = std::chrono::milliseconds(40);
  if (Quick)
    Shape.Measured_ = std::chrono::seconds(2);
  auto AllSlots =
      static_cast<double>(Shape.Executors_) * static_cast<double>(Shape.Slots_);
  double Seconds = std::chrono::duration<double>(Shape.MeanService_).count();
  CallerStream Stream;
  Stream.Contract_ = ContractName("bookings");
  Stream.PerSecond_ = Load * AllSlots / Seconds;
  Shape.Streams_ = {Stream};
  return Shape;
}

RunFigures figuresOf(const RoutingWorld &World, const WorldShape &Shape,
                     std::size_t Stream) {
  TimePoint Start = TimePoint(std::chrono::hours(1)) + Shape.WarmUp_;
  std::vector<double> Latencies;
  double Failed = 0.0;
  for (const RequestRecord &Record : World.Records_) {
    if (Record.Stream_ != Stream || Record.Intended_ < Start)
      continue;
    bool Completed = Record.Outcome_ == RequestOutcome::Completed;
    Failed += Completed ? 0.0 : 1.0;
    Duration Latency = Completed ? Record.Latency_ : Shape.Deadline_;
    Latencies.push_back(static_cast<double>(Latency.count()) / 1000.0);
  }
  std::ranges::sort(Latencies);
  auto Requests =
      static_cast<double>(std::max<std::size_t>(Latencies.size(), 1));
  auto All =
      static_cast<double>(std::max<std::int64_t>(World.Counts_.Requests_, 1));
  RunFigures Figures;
  Figures.P50_ = quantileOf(Latencies, 0.5);
  Figures.P99_ = quantileOf(Latencies, 0.99);
  Figures.P999_ = quantileOf(Latencies, 0.999);
  Figures.FailedPercent_ = 100.0 * Failed / Requests;
  Figures.BusyPerThousand_ =
      1000.0 * static_cast<double>(World.Counts_.Busy_) / All;
  Figures.RemotePercent_ =
      100.0 * static_cast<double>(World.Counts_.Remote_) / All;
  Figures.AttemptsPerRequest_ =
      static_cast<double>(World.Counts_.Attempts_) / All;
  return Figures;
}

} // namespace filbertspring::benchmark
