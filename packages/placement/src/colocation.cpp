#include "filbertspring/placement/colocation.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::placement {
namespace {

void addUse(BatchMix &Mix, const BatchKindName &Kind, double Fraction) {
  auto Use = std::ranges::find(Mix, Kind, &KindUse::Kind_);
  if (Use == Mix.end())
    Mix.push_back({Kind, Fraction});
  else
    Use->Fraction_ += Fraction;
}

} // namespace

void ColocationPolicy::setLatencyTargets(
    std::map<ServiceName, Duration> Targets) {
  Targets_ = std::move(Targets);
}

/// Returns the measured tail latency divided by the latency target; 0 for a
/// service without a target.
double ColocationPolicy::latencyRatio(const ServiceReport &Service) const {
  auto Target = Targets_.find(Service.Service_);
  if (Target == Targets_.end())
    return 0.0;
  return static_cast<double>(Service.P99_.count()) /
         static_cast<double>(Target->second.count());
}

/// Passes each new measurement to the model once, together with the batch mix
/// at the time of the measurement. Measurements older than the kept history are
/// skipped.
void ColocationPolicy::updateModel(WorkerView &View,
                                   const ColocationReport &Report) {
  for (const ServiceReport &Service : Report.Services_) {
    WorkerTime &Last = View.LastMeasuredAt_[Service.Service_];
    if (Service.MeasuredAt_ <= Last)
      continue;
    Last = Service.MeasuredAt_;
    auto Later = std::ranges::upper_bound(View.History_, Service.MeasuredAt_,
                                          {}, &TimedMix::Since_);
    bool HasMix = Later != View.History_.begin() || View.History_.empty();
    if (!HasMix)
      continue;
    BatchMix Mix;
    if (Later != View.History_.begin())
      Mix = std::prev(Later)->Mix_;
    Model_.observe({Service.Service_, Service.P99_, Service.Load_, Mix});
  }
}

void ColocationPolicy::updateView(WorkerView &View,
                                  const ColocationReport &Report) const {
  View.CurrentMix_.clear();
  for (const ColocatedTask &Task : Report.Tasks_) {
    auto Throttled = View.ThrottledFractions_.find(Task.Attempt_);
    double Fraction =
        Throttled == View.ThrottledFractions_.end() ? 1.0 : Throttled->second;
    addUse(View.CurrentMix_, Task.Kind_, Task.Fraction_ * Fraction);
  }
  std::erase_if(View.ThrottledFractions_, [&Report](const auto &Item) {
    return std::ranges::find(Report.Tasks_, Item.first,
                             &ColocatedTask::Attempt_) == Report.Tasks_.end();
  });
  View.History_.push_back({Report.Clock_, View.CurrentMix_});
  WorkerTime Oldest = Report.Clock_ - Settings_.HistoryLength_.count();
  std::erase_if(View.History_, [Oldest](const TimedMix &Entry) {
    return Entry.Since_ < Oldest;
  });
  View.Services_ = Report.Services_;
  for (const ServiceReport &Service : View.Services_) {
    double &Peak = View.PeakLoad_[Service.Service_];
    Peak = std::max(Service.Load_, Peak * (1.0 - Settings_.PeakLoadDecay_));
  }
}

std::vector<ColocationAction>
ColocationPolicy::observe(const ColocationReport &Report) {
  WorkerView &View = Workers_[Report.Worker_];
  updateModel(View, Report);
  updateView(View, Report);
  return chooseActions(View, Report);
}

std::optional<ServiceReport>
ColocationPolicy::worstService(const WorkerView &View) const {
  auto Worst = std::ranges::max_element(
      View.Services_, {},
      [this](const ServiceReport &Service) { return latencyRatio(Service); });
  if (Worst == View.Services_.end())
    return std::nullopt;
  return *Worst;
}

std::vector<ColocationAction>
ColocationPolicy::chooseActions(WorkerView &View,
                                const ColocationReport &Report) {
  std::optional<ServiceReport> Worst = worstService(View);
  if (!Worst || Worst->MeasuredAt_ <= View.LastAction_)
    return {};
  std::vector<ColocationAction> Actions;
  if (latencyRatio(*Worst) > 1.0) {
    if (auto Action = throttleOrEvict(View, Report, *Worst))
      Actions.push_back(*Action);
  } else if (latencyRatio(*Worst) < Settings_.UnthrottleBelowRatio_ &&
             !View.ThrottledFractions_.empty()) {
    Actions.emplace_back(
        ThrottleTask{View.ThrottledFractions_.begin()->first, 1.0});
  }
  for (const ColocationAction &Action : Actions) {
    View.LastAction_ = Report.Clock_;
    std::visit(Overloaded{[&View](const ThrottleTask &Throttle) {
                            if (Throttle.Fraction_ >= 1.0)
                              View.ThrottledFractions_.erase(Throttle.Attempt_);
                            else
                              View.ThrottledFractions_[Throttle.Attempt_] =
                                  Throttle.Fraction_;
                          },
                          [&View](const EvictTask &Eviction) {
                            View.ThrottledFractions_.erase(Eviction.Attempt_);
                          }},
               Action);
  }
  return Actions;
}

/// Throttles the task that slows \p Worst most, unless all tasks are throttled
/// or the latency ratio is above EvictAboveRatio_. In these cases evicts the
/// task with the largest slowdown relative to the work that its eviction loses.
std::optional<ColocationAction>
ColocationPolicy::throttleOrEvict(WorkerView &View,
                                  const ColocationReport &Report,
                                  const ServiceReport &Worst) const {
  auto SlowdownBy = [&](const ColocatedTask &Task) {
    return Task.Fraction_ * Model_.slowdown(Worst.Service_, Task.Kind_);
  };
  bool MustEvict = latencyRatio(Worst) > Settings_.EvictAboveRatio_;
  const ColocatedTask *ToThrottle = nullptr;
  const ColocatedTask *ToEvict = nullptr;
  auto SlowdownPerLoss = [&](const ColocatedTask &Task) {
    double Seconds = std::chrono::duration<double>(Task.WorkAtRisk_).count();
    return SlowdownBy(Task) / (1.0 + Seconds);
  };
  for (const ColocatedTask &Task : Report.Tasks_) {
    bool IsThrottled = View.ThrottledFractions_.contains(Task.Attempt_);
    if (!IsThrottled &&
        (ToThrottle == nullptr || SlowdownBy(Task) > SlowdownBy(*ToThrottle)))
      ToThrottle = &Task;
    if (ToEvict == nullptr || SlowdownPerLoss(Task) > SlowdownPerLoss(*ToEvict))
      ToEvict = &Task;
  }
  if (ToThrottle != nullptr && !MustEvict)
    return ThrottleTask{ToThrottle->Attempt_, Settings_.ThrottledFraction_};
  if (ToEvict == nullptr)
    return std::nullopt;
  return EvictTask{ToEvict->Attempt_};
}

bool ColocationPolicy::admits(const WorkerName &Worker,
                              const BatchKindName &Kind,
                              double Fraction) const {
  auto View = Workers_.find(Worker);
  if (View == Workers_.end())
    return true;
  BatchMix Mix = View->second.CurrentMix_;
  addUse(Mix, Kind, Fraction);
  return admitsMix(View->second, Mix);
}

bool ColocationPolicy::admitsAlone(const WorkerName &Worker,
                                   const BatchKindName &Kind,
                                   double Fraction) const {
  auto View = Workers_.find(Worker);
  return View == Workers_.end() || admitsMix(View->second, {{Kind, Fraction}});
}

bool ColocationPolicy::admitsMix(const WorkerView &View,
                                 const BatchMix &Mix) const {
  for (const ServiceReport &Service : View.Services_) {
    auto Target = Targets_.find(Service.Service_);
    if (Target == Targets_.end())
      continue;
    std::optional<TailPrediction> Prediction = Model_.predict(
        Service.Service_, View.PeakLoad_.at(Service.Service_), Mix);
    if (!Prediction)
      return false; // The model has no measurement of this service yet.
    double UpperBound =
        static_cast<double>(Prediction->Expected_.count()) *
        std::exp(Settings_.SafetyDeviations_ * Prediction->Deviation_);
    if (UpperBound > Settings_.MaxPlacementRatio_ *
                         static_cast<double>(Target->second.count()))
      return false;
  }
  return true;
}

void ColocationPolicy::addPlacement(const WorkerName &Worker,
                                    const BatchKindName &Kind,
                                    double Fraction) {
  auto View = Workers_.find(Worker);
  if (View != Workers_.end())
    addUse(View->second.CurrentMix_, Kind, Fraction);
}

} // namespace filbertspring::placement
