#ifndef FILBERTSPRING_BASE_COUNTERS_H
#define FILBERTSPRING_BASE_COUNTERS_H

/// \file
/// Counters and gauges of one process, in the Prometheus text format.

#include "filbertspring/base/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace filbertspring {

/// A monotonically increasing count. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_{0};
};

/// A value that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(std::int64_t Value) {
    Value_.store(Value, std::memory_order_relaxed);
  }
  void add(std::int64_t Amount) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value_{0};
};

/// Owns the metrics of a process. Thread-safe.
class CounterRegistry {
public:
  CounterRegistry();
  ~CounterRegistry();
  CounterRegistry(const CounterRegistry &) = delete;
  CounterRegistry &operator=(const CounterRegistry &) = delete;

  /// Returns the counter called \p Name with \p Labels (text between the
  /// braces, such as zone="porto"), created on first use. The registry owns it;
  /// the reference stays valid as long as the registry.
  Counter &counter(std::string_view Name, std::string_view Labels = {});
  /// Returns the gauge called \p Name with \p Labels, as counter() does.
  Gauge &gauge(std::string_view Name, std::string_view Labels = {});
  /// Records \p Value in the histogram called \p Name with \p Labels.
  void observe(std::string_view Name, Duration Value,
               std::string_view Labels = {});

  /// Returns all metrics in the Prometheus text format, ordered by name.
  std::string toPrometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_COUNTERS_H
