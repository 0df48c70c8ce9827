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

/// Returns a rate within half of the drift that the settings allow.
inline double clockRate(pcg32 &Random, const LeaseSettings &Settings) {
  // A little less than the whole, since two rates are divided by each other.
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

inline ContractRecord contractOf(int Index, const Resources &Quota) {
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

/// Makes the tasks of \p Job small, equal and free of faults.
inline void makePlain(JobRecord &Job, Duration RunTime) {
  Job.Size_ = {Millicores(1000), Mebibytes(1024), Accelerators(0)};
  Job.DeclaredRunTime_ = RunTime;
  Job.Payload_.clear();
}

/// An entry instance.
struct VirtualCluster::Node {
  InstanceName Name_;
  std::unique_ptr<Scheduler> Scheduler_;
  std::uint64_t Incarnation_ = 0;
  double Rate_ = 1.0;
  Duration Offset_{};
  Duration PausedUntil_{};
  Duration CutUntil_{};
  Duration WorkersCutUntil_{};
  Duration SuspectedUntil_{};
  std::optional<Duration> WakeAt_;
  std::deque<PlacementEvent> Inbox_;
  /// When each exchange without an answer so far was decided.
  std::map<RequestNumber, Duration> Exchanges_;

  TimePoint clock(Duration Now) const {
    auto Passed = static_cast<double>(Now.count()) * Rate_;
    return TimePoint(Offset_ + Duration(static_cast<std::int64_t>(Passed)));
  }
  Duration realTime(TimePoint Clock) const {
    Duration Passed = Clock.time_since_epoch() - Offset_;
    auto Real = static_cast<double>(Passed.count()) / Rate_;
    return Duration(static_cast<std::int64_t>(Real) + 2);
  }
};

/// A worker and its clock.
struct VirtualCluster::Worker {
  WorkerName Name_;
  ZoneName Zone_;
  RackName Rack_;
  WorkerModel Model_;
  double Rate_ = 1.0;
  /// When each boot began; its clock starts from zero.
  std::map<std::string, Duration> Boots_{};
  Duration SilentUntil_{};
  Duration RefusingUntil_{};
  std::set<AttemptRef> SeenStarts_{};

  WorkerTime clock(Duration Now) const {
    Duration Since = Now - Boots_.at(Model_.boot());
    return static_cast<WorkerTime>(static_cast<double>(Since.count()) * Rate_);
  }
  Duration realTime(const std::string &Boot, WorkerTime Clock) const {
    auto Since = static_cast<double>(Clock) / Rate_;
    return Boots_.at(Boot) + Duration(static_cast<std::int64_t>(Since));
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
