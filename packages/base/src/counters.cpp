#include "filbertspring/base/counters.h"

#include "filbertspring/base/histogram.h"

#include <fmt/format.h>
#include <map>
#include <mutex>
#include <utility>

namespace filbertspring {
namespace {

/// The name of a metric, then its labels.
using MetricKey = std::pair<std::string, std::string>;

constexpr double MicrosecondsPerSecond = 1e6;

std::string braced(std::string_view Labels) {
  return Labels.empty() ? std::string() : fmt::format("{{{}}}", Labels);
}

std::string withQuantile(std::string_view Labels, std::string_view Quantile) {
  std::string Label = fmt::format("quantile=\"{}\"", Quantile);
  return Labels.empty() ? Label : fmt::format("{},{}", Labels, Label);
}

/// Appends the TYPE line where \p Name differs from the metric before it.
void appendType(std::string &Text, std::string &Previous,
                const std::string &Name, std::string_view Type) {
  if (Name == Previous)
    return;
  Text += fmt::format("# TYPE {} {}\n", Name, Type);
  Previous = Name;
}

void appendSummary(std::string &Text, const MetricKey &Key,
                   const Histogram &Values) {
  constexpr std::pair<double, std::string_view> Quantiles[] = {
      {0.5, "0.5"}, {0.99, "0.99"}, {0.999, "0.999"}};
  const auto &[Name, Labels] = Key;
  for (auto [Fraction, Label] : Quantiles)
    Text += fmt::format("{}{{{}}} {:.6f}\n", Name, withQuantile(Labels, Label),
                        static_cast<double>(Values.quantile(Fraction).count()) /
                            MicrosecondsPerSecond);
  Text += fmt::format("{}_sum{} {:.6f}\n", Name, braced(Labels),
                      static_cast<double>(Values.sum().count()) /
                          MicrosecondsPerSecond);
  Text += fmt::format("{}_count{} {}\n", Name, braced(Labels), Values.count());
}

} // namespace

struct CounterRegistry::Impl {
  mutable std::mutex Mutex_;
  std::map<MetricKey, std::unique_ptr<Counter>> Counters_;
  std::map<MetricKey, std::unique_ptr<Gauge>> Gauges_;
  std::map<MetricKey, Histogram> Histograms_;
};

CounterRegistry::CounterRegistry() : Impl_(std::make_unique<Impl>()) {}
CounterRegistry::~CounterRegistry() = default;

Counter &CounterRegistry::counter(std::string_view Name,
                                  std::string_view Labels) {
  std::scoped_lock Lock(Impl_->Mutex_);
  auto &Slot = Impl_->Counters_[{std::string(Name), std::string(Labels)}];
  if (!Slot)
    Slot = std::make_unique<Counter>();
  return *Slot;
}

Gauge &CounterRegistry::gauge(std::string_view Name, std::string_view Labels) {
  std::scoped_lock Lock(Impl_->Mutex_);
  auto &Slot = Impl_->Gauges_[{std::string(Name), std::string(Labels)}];
  if (!Slot)
    Slot = std::make_unique<Gauge>();
  return *Slot;
}

void CounterRegistry::observe(std::string_view Name, Duration Value,
                              std::string_view Labels) {
  std::scoped_lock Lock(Impl_->Mutex_);
  Impl_->Histograms_[{std::string(Name), std::string(Labels)}].add(Value);
}

std::string CounterRegistry::toPrometheusText() const {
  std::scoped_lock Lock(Impl_->Mutex_);
  std::string Text;
  std::string Previous;
  for (const auto &[Key, Value] : Impl_->Counters_) {
    appendType(Text, Previous, Key.first, "counter");
    Text +=
        fmt::format("{}{} {}\n", Key.first, braced(Key.second), Value->value());
  }
  for (const auto &[Key, Value] : Impl_->Gauges_) {
    appendType(Text, Previous, Key.first, "gauge");
    Text +=
        fmt::format("{}{} {}\n", Key.first, braced(Key.second), Value->value());
  }
  for (const auto &[Key, Values] : Impl_->Histograms_) {
    appendType(Text, Previous, Key.first, "summary");
    appendSummary(Text, Key, Values);
  }
  return Text;
}

} // namespace filbertspring
