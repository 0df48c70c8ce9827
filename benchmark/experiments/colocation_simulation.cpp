#include "colocation_simulation.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <numbers>
#include <pcg_random.hpp>
#include <random>

namespace filbertspring::benchmark {
namespace {

using namespace filbertspring::placement;

constexpr int ServiceWorkers = 30;
constexpr int BatchWorkers = 10;
constexpr double WorkerCores = 60.0;
constexpr double ServiceCores = 20.0;
constexpr double TaskCores = 4.0;
constexpr double MeanRunSeconds = 300.0;
constexpr double TasksPerSecond = 1.0;
constexpr double BaselineTailLatencyMs = 110.0;
constexpr double LatencyTargetMs = 250.0;
constexpr double AllowedBadFraction = 0.01;
constexpr int CheckpointSeconds = 60;
constexpr std::int64_t Second = 1'000'000;
/// Run times differ from the mean by up to this factor in either direction.
constexpr double RunTimeFactor = 3.0;
constexpr int NoisePeriodSeconds = 900;
constexpr int NoiseBurstSeconds = 90;

const ServiceName Service("booking-check");

/// A kind of batch work. Slowdown_ is the logarithm of the service's slowdown
/// when tasks of this kind use all cores of a worker; policies don't see it.
struct BatchKind {
  const char *Name_;
  double Slowdown_;
};
constexpr std::array<BatchKind, 5> Kinds{{{"album", 2.6},
                                          {"calibration", 1.4},
                                          {"thumbnails", 0.35},
                                          {"index", 0.12},
                                          {"filing", 0.04}}};

struct SimTask {
  int Number_ = 0;
  std::size_t Kind_ = 0;
  double RemainingSeconds_ = 0.0;
  double SecondsSinceCheckpoint_ = 0.0;
  double Speed_ = 1.0;
  std::int32_t Attempt_ = 0;

  AttemptRef ref() const {
    return {{JobId(std::to_string(Number_)), 0}, Attempt_};
  }
};

struct Measurement {
  std::int64_t At_ = 0;
  double TailLatencyMs_ = 0.0;
  double Load_ = 0.0;
};

struct SimWorker {
  WorkerName Name_;
  bool HasService_ = false;
  double Phase_ = 0.0;
  std::vector<SimTask> Tasks_;
  std::deque<Measurement> Measured_;

  double freeCores() const {
    double Reserved = HasService_ ? ServiceCores : 0.0;
    return WorkerCores - Reserved -
           TaskCores * static_cast<double>(Tasks_.size());
  }
};

class Simulation {
public:
  explicit Simulation(const ColocationSettings &Settings)
      : Settings_(Settings), Random_(Settings.Seed_) {
    for (int Index = 0; Index < ServiceWorkers + BatchWorkers; ++Index)
      Workers_.push_back({WorkerName(fmt::format("w{}", Index)),
                          Index < ServiceWorkers,
                          uniform() * 2 * std::numbers::pi,
                          {},
                          {}});
    std::chrono::duration<double, std::milli> Target(LatencyTargetMs);
    Colocation_.setLatencyTargets(
        {{Service, std::chrono::duration_cast<Duration>(Target)}});
  }

  ColocationOutcome run() {
    for (Now_ = 0; Now_ < Settings_.Seconds_; ++Now_) {
      addArrivals();
      measure();
      if (Now_ % ReportSeconds == 0)
        runPolicy();
      place();
      advanceTasks();
    }
    Outcome_.MeanTailLatencyMs_ = TailLatencySum_ / TailLatencyCount_;
    Outcome_.BurnRate_ = BadSeconds_ / TailLatencyCount_ / AllowedBadFraction;
    Outcome_.LostCoreHours_ /= 3600.0;
    return Outcome_;
  }

private:
  static constexpr int ReportSeconds = 5;

  double uniform() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(Random_);
  }
  double normal() { return std::normal_distribution<double>()(Random_); }

  /// Interference increases periodically in bursts.
  double noiseFactor() const {
    return Now_ % NoisePeriodSeconds < NoiseBurstSeconds ? 1.5 : 1.0;
  }

  void addArrivals() {
    std::poisson_distribution<int> Count(TasksPerSecond);
    for (int Remaining = Count(Random_); Remaining > 0; --Remaining) {
      SimTask Task;
      Task.Number_ = ++LastTask_;
      Task.Kind_ = static_cast<std::size_t>(uniform() * Kinds.size());
      double Factor = std::pow(RunTimeFactor, 2.0 * uniform() - 1.0);
      Task.RemainingSeconds_ = MeanRunSeconds * Factor;
      Waiting_.push_back(Task);
    }
  }

  double loadOf(const SimWorker &Worker) const {
    constexpr double Mean = 50.0;
    constexpr double Swing = 0.4;
    constexpr double Period = 1800.0;
    double Angle = 2 * std::numbers::pi * Now_ / Period + Worker.Phase_;
    return Mean * (1.0 + Swing * std::sin(Angle));
  }

  double tailLatencyOf(const SimWorker &Worker) const {
    double Load = loadOf(Worker);
    double Slowdown = 0.0;
    for (const SimTask &Task : Worker.Tasks_)
      Slowdown +=
          Kinds[Task.Kind_].Slowdown_ * Task.Speed_ * TaskCores / WorkerCores;
    return BaselineTailLatencyMs * (1.0 + Load / 200.0) *
           std::exp(Slowdown * noiseFactor());
  }

  void measure() {
    constexpr double NoiseDeviation = 0.15;
    constexpr std::size_t MaxMeasurements = 128;
    for (SimWorker &Worker : Workers_) {
      if (!Worker.HasService_)
        continue;
      double TailLatency =
          tailLatencyOf(Worker) * std::exp(NoiseDeviation * normal());
      Worker.Measured_.push_back({Now_, TailLatency, loadOf(Worker)});
      if (Worker.Measured_.size() > MaxMeasurements)
        Worker.Measured_.pop_front();
      TailLatencySum_ += TailLatency;
      TailLatencyCount_ += 1.0;
      BadSeconds_ += TailLatency > LatencyTargetMs ? 1.0 : 0.0;
    }
  }

  /// Returns the newest measurement that is at least as old as the report lag.
  std::optional<Measurement> reported(const SimWorker &Worker) const {
    std::int64_t Latest = Now_ - Settings_.ReportLagSeconds_;
    auto It = std::find_if(
        Worker.Measured_.rbegin(), Worker.Measured_.rend(),
        [Latest](const Measurement &Item) { return Item.At_ <= Latest; });
    if (It == Worker.Measured_.rend())
      return std::nullopt;
    return *It;
  }

  void runPolicy() {
    std::visit(
        Overloaded{[](const FirstFit &) {}, [](const NeverColocate &) {},
                   [this](const FixedThreshold &) { applyFixedThreshold(); },
                   [this](const Interference &) { applyInterferencePolicy(); }},
        Settings_.Policy_);
  }

  void applyFixedThreshold() {
    for (SimWorker &Worker : Workers_) {
      std::optional<Measurement> Latest = reported(Worker);
      if (Latest && Latest->TailLatencyMs_ > LatencyTargetMs &&
          !Worker.Tasks_.empty())
        evict(Worker, Worker.Tasks_.size() - 1);
    }
  }

  ColocationReport reportOf(const SimWorker &Worker) const {
    ColocationReport Report;
    Report.Worker_ = Worker.Name_;
    Report.Clock_ = (Now_ + 1) * Second;
    if (std::optional<Measurement> Latest = reported(Worker)) {
      std::chrono::duration<double, std::milli> TailLatency(
          Latest->TailLatencyMs_);
      Report.Services_ = {{Service,
                           std::chrono::duration_cast<Duration>(TailLatency),
                           Latest->Load_, (Latest->At_ + 1) * Second}};
    }
    for (const SimTask &Task : Worker.Tasks_) {
      std::chrono::duration<double> AtRisk(Task.SecondsSinceCheckpoint_ *
                                           TaskCores);
      Report.Tasks_.push_back({Task.ref(), kindName(Task.Kind_),
                               TaskCores / WorkerCores,
                               std::chrono::duration_cast<Duration>(AtRisk)});
    }
    return Report;
  }

  static BatchKindName kindName(std::size_t Index) {
    return BatchKindName(Kinds[Index].Name_);
  }

  void applyInterferencePolicy() {
    for (SimWorker &Worker : Workers_)
      for (const ColocationAction &Action :
           Colocation_.observe(reportOf(Worker)))
        perform(Worker, Action);
  }

  void perform(SimWorker &Worker, const ColocationAction &Action) {
    auto IndexOf = [&Worker](const AttemptRef &Attempt) {
      auto It = std::ranges::find_if(Worker.Tasks_, [&](const SimTask &Task) {
        return Task.ref() == Attempt;
      });
      return static_cast<std::size_t>(It - Worker.Tasks_.begin());
    };
    std::visit(Overloaded{[&](const ThrottleTask &Item) {
                            std::size_t Index = IndexOf(Item.Attempt_);
                            Worker.Tasks_[Index].Speed_ = Item.Fraction_;
                          },
                          [&](const EvictTask &Item) {
                            evict(Worker, IndexOf(Item.Attempt_));
                          }},
               Action);
  }

  void evict(SimWorker &Worker, std::size_t Index) {
    SimTask Task = Worker.Tasks_[Index];
    Worker.Tasks_.erase(Worker.Tasks_.begin() +
                        static_cast<std::ptrdiff_t>(Index));
    ++Outcome_.Evictions_;
    Outcome_.LostCoreHours_ += Task.SecondsSinceCheckpoint_ * TaskCores;
    Task.RemainingSeconds_ += Task.SecondsSinceCheckpoint_;
    Task.SecondsSinceCheckpoint_ = 0.0;
    Task.Speed_ = 1.0;
    Waiting_.push_front(Task);
  }

  bool allowed(const SimWorker &Worker, const SimTask &Task) const {
    constexpr double PlaceBelow = 0.8;
    return std::visit(
        Overloaded{[](const FirstFit &) { return true; },
                   [&](const NeverColocate &) { return !Worker.HasService_; },
                   [&](const FixedThreshold &) {
                     std::optional<Measurement> Latest = reported(Worker);
                     return !Worker.HasService_ ||
                            (Latest && Latest->TailLatencyMs_ <
                                           PlaceBelow * LatencyTargetMs);
                   },
                   [&](const Interference &) {
                     return Colocation_.admits(Worker.Name_,
                                               kindName(Task.Kind_),
                                               TaskCores / WorkerCores);
                   }},
        Settings_.Policy_);
  }

  void place() {
    std::deque<SimTask> Remaining;
    for (SimTask &Task : Waiting_)
      if (!placeTask(Task))
        Remaining.push_back(Task);
    Waiting_.swap(Remaining);
  }

  bool placeTask(SimTask &Task) {
    for (SimWorker &Worker : Workers_) {
      if (Worker.freeCores() < TaskCores || !allowed(Worker, Task))
        continue;
      ++Task.Attempt_;
      Worker.Tasks_.push_back(Task);
      Colocation_.addPlacement(Worker.Name_, kindName(Task.Kind_),
                               TaskCores / WorkerCores);
      return true;
    }
    return false;
  }

  void advanceTasks() {
    for (SimWorker &Worker : Workers_) {
      for (SimTask &Task : Worker.Tasks_) {
        Task.RemainingSeconds_ -= Task.Speed_;
        Task.SecondsSinceCheckpoint_ += Task.Speed_;
        if (Task.SecondsSinceCheckpoint_ >= CheckpointSeconds)
          Task.SecondsSinceCheckpoint_ = 0.0;
      }
      Outcome_.FinishedTasks_ += static_cast<double>(
          std::erase_if(Worker.Tasks_, [](const SimTask &Task) {
            return Task.RemainingSeconds_ <= 0.0;
          }));
    }
  }

  ColocationSettings Settings_;
  pcg64 Random_;
  std::int64_t Now_ = 0;
  int LastTask_ = 0;
  std::vector<SimWorker> Workers_;
  std::deque<SimTask> Waiting_;
  ColocationPolicy Colocation_;
  ColocationOutcome Outcome_;
  double TailLatencySum_ = 0.0;
  double TailLatencyCount_ = 0.0;
  double BadSeconds_ = 0.0;
};

} // namespace

ColocationOutcome runColocationSimulation(const ColocationSettings &Settings) {
  return Simulation(Settings).run();
}

} // namespace filbertspring::benchmark
