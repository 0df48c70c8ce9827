#include "filbertspring/placement/colocation.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::placement {
namespace {

void addUse(BatchMix &Mix, const BatchKindName &Kind, double Fraction) {
  auto Found = std::ranges::find(Mix, Kind, &KindUse::Kind_);
  if (Found == Mix.end())
    Mix.push_back({Kind, Fraction});
  else
    Found->Fraction_ += Fraction;
}

} // namespace

void ColocationPolicy::setLatencyTargets(
    std::map<ServiceName, Duration> Targets) {
  Targets_ = std::move(Targets);
}

/// Returns the measured tail as a part of the service's target; 0 when the
/// service has none.
double ColocationPolicy::excess(const ServiceReport &Service) const {
  auto Target = Targets_.find(Service.Service_);
  if (Target == Targets_.end())
    return 0.0;
  return static_cast<double>(Service.P99_.count()) /
         static_cast<double>(Target->second.count());
}

/// Gives the model each measurement once, with the batch work of its time.
void ColocationPolicy::learn(WorkerView &View, const ColocationReport &Report) {
  for (const ServiceReport &Service : Report.Services_) {
    WorkerTime &Last = View.Learned_[Service.Service_];
    if (Service.MeasuredAt_ <= Last)
      continue;
    Last = Service.MeasuredAt_;
    auto After = std::ranges::upper_bound(View.History_, Service.MeasuredAt_,
                                          {}, &MixSince::From_);
    bool Known = After != View.History_.begin() || View.History_.empty();
    if (!Known)
      continue;
    BatchMix Mix;
    if (After != View.History_.begin())
      Mix = std::prev(After)->Mix_;
    Model_.observe({Service.Service_, Service.P99_, Service.Load_, Mix});
  }
}

void ColocationPolicy::remember(WorkerView &View,
                                const ColocationReport &Report) const {
  View.Now_.clear();
  for (const ColocatedTask &Task : Report.Tasks_) {
    auto Throttled = View.Throttled_.find(Task.Attempt_);
    double Part = Throttled == View.Throttled_.end() ? 1.0 : Throttled->second;
    addUse(View.Now_, Task.Kind_, Task.Fraction_ * Part);
  }
  std::erase_if(View.Throttled_, [&Report](const auto &Item) {
    return std::ranges::find(Report.Tasks_, Item.first,
                             &ColocatedTask::Attempt_) == Report.Tasks_.end();
  });
  View.History_.push_back({Report.Clock_, View.Now_});
  WorkerTime Oldest = Report.Clock_ - Settings_.History_.count();
  std::erase_if(View.History_, [Oldest](const MixSince &Entry) {
    return Entry.From_ < Oldest;
  });
  View.Services_ = Report.Services_;
  for (const ServiceReport &Service : View.Services_) {
    double &Peak = View.PeakLoad_[Service.Service_];
    Peak = std::max(Service.Load_, Peak * (1.0 - Settings_.PeakDecay_));
  }
}

std::vector<ColocationAction>
ColocationPolicy::observe(const ColocationReport &Report) {
  WorkerView &View = Workers_[Report.Worker_];
  learn(View, Report);
  remember(View, Report);
  return react(View, Report);
}

std::optional<ServiceReport>
ColocationPolicy::worstService(const WorkerView &View) const {
  auto Worst = std::ranges::max_element(
      View.Services_, {},
      [this](const ServiceReport &Each) { return excess(Each); });
  if (Worst == View.Services_.end())
    return std::nullopt;
  return *Worst;
}

std::vector<ColocationAction>
ColocationPolicy::react(WorkerView &View, const ColocationReport &Report) {
  std::optional<ServiceReport> Worst = worstService(View);
  if (!Worst || Worst->MeasuredAt_ <= View.LastAction_)
    return {};
  std::vector<ColocationAction> Actions;
  if (excess(*Worst) > 1.0) {
    if (auto Action = relieve(View, Report, *Worst))
      Actions.push_back(*Action);
  } else if (excess(*Worst) < Settings_.RelaxBelow_ &&
             !View.Throttled_.empty()) {
    Actions.emplace_back(ThrottleTask{View.Throttled_.begin()->first, 1.0});
  }
  for (const ColocationAction &Action : Actions) {
    View.LastAction_ = Report.Clock_;
    std::visit(Overloaded{[&View](const ThrottleTask &Each) {
                            if (Each.Fraction_ >= 1.0)
                              View.Throttled_.erase(Each.Attempt_);
                            else
                              View.Throttled_[Each.Attempt_] = Each.Fraction_;
                          },
                          [&View](const EvictTask &Each) {
                            View.Throttled_.erase(Each.Attempt_);
                          }},
               Action);
  }
  return Actions;
}

/// Picks the task that costs the service most: throttled first, evicted when
/// the service is far too slow or the task is throttled already. Among those
/// to evict, the one that costs most for the work that its eviction loses.
std::optional<ColocationAction>
ColocationPolicy::relieve(WorkerView &View, const ColocationReport &Report,
                          const ServiceReport &Worst) const {
  auto Cost = [&](const ColocatedTask &Task) {
    return Task.Fraction_ * Model_.slowdown(Worst.Service_, Task.Kind_);
  };
  bool FarTooSlow = excess(Worst) > Settings_.EvictAbove_;
  const ColocatedTask *Throttle = nullptr;
  const ColocatedTask *Evict = nullptr;
  auto CostForLoss = [&](const ColocatedTask &Task) {
    double Seconds = std::chrono::duration<double>(Task.WorkAtRisk_).count();
    return Cost(Task) / (1.0 + Seconds);
  };
  for (const ColocatedTask &Task : Report.Tasks_) {
    bool IsThrottled = View.Throttled_.contains(Task.Attempt_);
    if (!IsThrottled && (Throttle == nullptr || Cost(Task) > Cost(*Throttle)))
      Throttle = &Task;
    if (Evict == nullptr || CostForLoss(Task) > CostForLoss(*Evict))
      Evict = &Task;
  }
  if (Throttle != nullptr && !FarTooSlow)
    return ThrottleTask{Throttle->Attempt_, Settings_.Throttled_};
  if (Evict == nullptr)
    return std::nullopt;
  return EvictTask{Evict->Attempt_};
}

bool ColocationPolicy::admits(const WorkerName &Worker,
                              const BatchKindName &Kind,
                              double Fraction) const {
  auto Found = Workers_.find(Worker);
  if (Found == Workers_.end())
    return true;
  BatchMix Mix = Found->second.Now_;
  addUse(Mix, Kind, Fraction);
  for (const ServiceReport &Service : Found->second.Services_) {
    auto Target = Targets_.find(Service.Service_);
    if (Target == Targets_.end())
      continue;
    std::optional<TailPrediction> Tail = Model_.predict(
        Service.Service_, Found->second.PeakLoad_.at(Service.Service_), Mix);
    if (!Tail)
      return false; // Nothing is known of this service yet.
    double Expected = static_cast<double>(Tail->Expected_.count()) *
                      std::exp(Settings_.Caution_ * Tail->Deviation_);
    if (Expected >
        Settings_.PlaceBelow_ * static_cast<double>(Target->second.count()))
      return false;
  }
  return true;
}

void ColocationPolicy::addPlacement(const WorkerName &Worker,
                                    const BatchKindName &Kind,
                                    double Fraction) {
  auto Found = Workers_.find(Worker);
  if (Found != Workers_.end())
    addUse(Found->second.Now_, Kind, Fraction);
}

} // namespace filbertspring::placement
