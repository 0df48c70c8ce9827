#ifndef FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_PARTS_H
#define FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_PARTS_H

/// \file
/// Nodes, workers, contracts and jobs of a virtual cluster.

#include "virtual_cluster.h"

#include <deque>
#include <fmt/format.h>

namespace filbertspring::placement::test {

inline constexpr int ContractCount = 2;
inline const Resources WorkerCapacity{Millicores(8000), Mebibytes(16384),
                                      Accelerators(2)};

inline ZoneName zoneName(int Zone) {
  return ZoneName(fmt::format("zone-{}", Zone));
}
inline RackName rackName(int Zone, int Rack) {
  return RackName(fmt::format("z{}-r{}", Zone, Rack));
}
inline InstanceName nodeName(int Index) {
  return InstanceName(fmt::format("entry-{}", Index));
}
inline ContractName contractName(int Index) {
  return ContractName(fmt::format("customer-{}", Index));
}

/// Draws a clock rate that deviates from 1 by less than half the allowed drift.
inline double clockRate(pcg32 &Random, const LeaseSettings &Settings) {
  // Slightly less than the full drift, because the ratio of two clock rates
  // must stay within it.
  double Spread = 0.96e-6 * static_cast<double>(Settings.DriftPpm_);
  return 1.0 + (Random() / 4294967296.0 - 0.5) * Spread;
}

inline Resources totalCapacity(const ClusterCase &Case) {
  Resources Sum;
  int Workers = Case.Zones_ * Case.RacksPerZone_ * Case.WorkersPerRack_;
  for (int Index = 0; Index < Workers; ++Index)
    Sum += WorkerCapacity;
  return Sum;
}

inline ContractRecord makeContract(int Index, const Resources &Quota) {
  ContractRecord Value;
  Value.Terms_.Name_ = contractName(Index);
  Value.Terms_.Weight_ = Index + 1;
  Value.Terms_.Batch_ = BatchTerms{Quota, 1000, {{}}};
  Value.Terms_.Batch_->Kinds_[0].Name_ = BatchKindName("filing");
  return Value;
}

inline JobRecord makeJob(int Number, int Tasks, pcg32 &Random) {
  JobRecord Job;
  Job.Id_ = JobId(fmt::format("job-{:04}", Number));
  Job.Contract_ = contractName(static_cast<int>(Random(ContractCount)));
  Job.Kind_ = BatchKindName("filing");
  Job.Urgent_ = Random(5) == 0;
  Job.MaxAttempts_ = 2;
  Job.SubmittedMs_ = Number;
  Job.Size_ = {Millicores(1000 + Random(4) * 1000), Mebibytes(1024),
               Accelerators(Random(3) == 0 ? 1 : 0)};
  Job.DeclaredRunTime_ = std::chrono::milliseconds(200 + Random(8000));
  constexpr std::string_view Payloads[] = {"", "", "slow:3", "slow:0.2",
                                           "fail"};
  Job.Payload_ = Payloads[Random(5)];
  Job.Tasks_.resize(Tasks);
  if (Random(12) == 0)
    Job.Size_.Memory_ = Mebibytes(WorkerCapacity.Memory_.count() + 1);
  return Job;
}

/// Makes the tasks of \p Job small, equal in run time and free of failures.
inline void makeUniform(JobRecord &Job, Duration RunTime) {
  Job.Size_ = {Millicores(1000), Mebibytes(1024), Accelerators(0)};
  Job.DeclaredRunTime_ = RunTime;
  Job.Payload_.clear();
}

/// An entry instance, which runs a scheduler.
struct VirtualCluster::Node {
  InstanceName Name_;
  std::unique_ptr<Scheduler> Scheduler_;
  std::uint64_t Incarnation_ = 0;
  double ClockRate_ = 1.0;
  Duration ClockOffset_{};
  Duration PausedUntil_{};
  Duration TablePartitionedUntil_{};
  Duration WorkersPartitionedUntil_{};
  Duration SuspectedUntil_{};
  std::optional<Duration> WakeAt_;
  std::deque<PlacementEvent> Inbox_;
  /// Unanswered exchanges and the time at which the scheduler requested each.
  std::map<RequestNumber, Duration> Exchanges_;

  TimePoint clock(Duration Now) const {
    auto Elapsed = static_cast<double>(Now.count()) * ClockRate_;
    return TimePoint(ClockOffset_ +
                     Duration(static_cast<std::int64_t>(Elapsed)));
  }
  Duration realTime(TimePoint Clock) const {
    Duration Elapsed = Clock.time_since_epoch() - ClockOffset_;
    auto RealElapsed = static_cast<double>(Elapsed.count()) / ClockRate_;
    return Duration(static_cast<std::int64_t>(RealElapsed) + 2);
  }
};

/// A worker model with its clock.
struct VirtualCluster::Worker {
  WorkerName Name_;
  ZoneName Zone_;
  RackName Rack_;
  WorkerModel Model_;
  double ClockRate_ = 1.0;
  /// Start time of each boot; the clock of the worker restarts from zero.
  std::map<std::string, Duration> BootTimes_{};
  Duration MessagesDroppedUntil_{};
  Duration ConnectionsRefusedUntil_{};
  std::set<AttemptRef> SeenStarts_{};

  WorkerTime clock(Duration Now) const {
    Duration SinceBoot = Now - BootTimes_.at(Model_.boot());
    return static_cast<WorkerTime>(static_cast<double>(SinceBoot.count()) *
                                   ClockRate_);
  }
  Duration realTime(const std::string &Boot, WorkerTime Clock) const {
    auto SinceBoot = static_cast<double>(Clock) / ClockRate_;
    return BootTimes_.at(Boot) + Duration(static_cast<std::int64_t>(SinceBoot));
  }
  ListedInstance listed() const {
    ListedInstance Entry;
    Entry.Name_ = InstanceName(Name_.str());
    Entry.Role_ = InstanceRole::Worker;
    Entry.Zone_ = Zone_;
    Entry.Rack_ = Rack_;
    Entry.Capacity_ = WorkerCapacity;
    Entry.Http_ = {"127.0.0.1", 1};
    return Entry;
  }
};

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_PARTS_H
