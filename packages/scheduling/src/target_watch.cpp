#include "target_watch.h"

namespace filbertspring::scheduling {
namespace {

/// A task whose tail latency varies around its target is rarely under it in
/// this many reports on end.
constexpr std::uint32_t RecoveryReports = 2;

} // namespace

void TargetWatch::observe(double TailLatencyMs, Duration Target,
                          TimePoint Now) {
  if (Target <= Duration::zero())
    return;
  if (TailLatencyMs * std::chrono::milliseconds(1) > Target) {
    ReportsUnder_ = 0;
    if (!OverSince_)
      OverSince_ = Now;
    return;
  }
  if (++ReportsUnder_ >= RecoveryReports)
    OverSince_.reset();
}

} // namespace filbertspring::scheduling
