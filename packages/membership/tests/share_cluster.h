#ifndef FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H
#define FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H

/// \file
/// Simulates several share allocators on one in-memory table in virtual time,
/// with fault injection and an invariant check (oracle).

#include "filbertspring/membership.h"
#include "filbertspring/standins/memory_table.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace filbertspring::membership::test {

/// A safety mechanism that a cluster disables, to show that the oracle detects
/// its absence.
enum class DisabledMechanism {
  None,
  /// Instances use their share after their lease has ended.
  LeaseEnd,
  /// The lease counts from the answer to a heartbeat instead of its send time.
  SendTime,
  /// An instance uses the share it gives away until its write is answered.
  EarlyShrink,
  /// Shares are reclaimed without a guard on the holder's heartbeat.
  ReclaimGuard,
  /// A new process uses the share of an earlier process without waiting.
  RestartWait,
  /// A write whose answer is lost counts as not committed.
  ReadBack,
  /// Observers ignore the rate error of clocks.
  DriftAllowance
};

/// The rates of injected faults.
struct FaultRates {
  /// Probabilities in permille, per table operation.
  int LostRequest_ = 0;
  int LostAnswer_ = 0;
  /// The request is applied up to 30 s later and not answered.
  int Delayed_ = 0;
  /// One direction takes up to 3 s.
  int SlowRequest_ = 0;
  int SlowAnswer_ = 0;
  /// Probabilities in permille, per instance and second.
  int Pause_ = 0;
  int Disconnect_ = 0;
  int Restart_ = 0;
  int DemandShift_ = 0;
  /// The rate error of each clock, positive or negative, in thousandths.
  int DriftPermille_ = 0;
};

inline constexpr FaultRates HeavyFaults{40, 60, 60, 100, 100,
                                        30, 20, 15, 100, 10};

/// Intervals at which instances observe and act.
struct ClusterTiming {
  Duration TickInterval_ = std::chrono::milliseconds(500);
  Duration HeartbeatScanInterval_ = std::chrono::seconds(2);
  Duration WriteSpread_ = ShareSettings{}.WriteSpread_;
};

/// Shares are reclaimed as early as the rules allow, so that no slack hides a
/// disabled mechanism.
inline constexpr ClusterTiming EagerTiming{std::chrono::milliseconds(50),
                                           std::chrono::milliseconds(50),
                                           Duration::zero()};

/// One process of an instance.
struct InstanceProcess {
  InstancePlace Place_;
  HeartbeatWriter HeartbeatWriter_;
  LivenessTracker Tracker_;
  ShareAllocator Allocator_;
  double Rate_ = 1.0;
  std::int64_t OffsetMicros_ = 0;
  bool IsDead_ = false;
  bool IsStopping_ = false;
  Duration PausedUntil_{};
  Duration DisconnectedUntil_{};
  Duration LastScan_{};
  Duration LastHeartbeatAnswer_{};
  std::map<TransactionId, int> PendingDecreases_;
};

/// The simulated cluster. Its time is the true time since the start, unlike the
/// clocks of the instances.
class ShareCluster {
public:
  ShareCluster(int Instances, std::uint64_t Seed, FaultRates Faults,
               DisabledMechanism Disabled = DisabledMechanism::None,
               ClusterTiming Timing = {});

  /// Advances the time and checks the oracle at every step.
  void run(Duration Length);
  /// Ends all current faults and injects no further ones.
  void endFaults();
  /// Sets the demand of an instance. All instances receive it within a second.
  void setDemand(int Instance, std::int32_t Permille);
  /// Lets the current process of an instance release its share and end.
  void stop(int Instance);
  /// Ends the current process of an instance abruptly.
  void kill(int Instance);
  /// Disconnects an instance from the table.
  void disconnect(int Instance, Duration Length);
  void pause(int Instance, Duration Length);
  /// Starts a new process under the name of an instance.
  void restart(int Instance);

  /// Returns the share that the current process of an instance may use now.
  std::int32_t usable(int Instance) const;
  /// Returns the largest amount by which a live instance is below its target.
  std::int32_t largestDeficit() const;
  /// Returns the largest observed sum of usable shares.
  std::int32_t largestSum() const { return LargestSum_; }
  std::uint64_t ledgerWrites() const { return LedgerWrites_; }
  Duration now() const { return Now_; }
  MemoryTable &table() { return Table_; }
  /// Returns the liveness tracker of the current process of an instance.
  const LivenessTracker &tracker(int Instance) const;
  TimePoint localNow(int Instance) const;

private:
  struct Scheduled {
    Duration At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Run_;
    bool operator<(const Scheduled &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };
  using Answer = std::function<void(InstanceProcess &, bool Answered)>;

  bool drawChance(int PerMille) {
    return static_cast<int>(Random_(1000)) < PerMille;
  }
  Duration randomUpTo(Duration Limit);
  TimePoint localTime(const InstanceProcess &Process) const;
  void schedule(Duration After, std::function<void()> Run);
  void deliver(InstanceProcess &To, std::function<void()> Run);
  /// Simulates one table operation and its answer, with faults.
  void operate(InstanceProcess &From, std::function<void()> AtTable,
               std::function<void()> OnAnswer, std::function<void()> OnLoss);
  void startProcess(int Instance);
  void step();
  void drawFaults();
  void tick(InstanceProcess &Process);
  /// Ends a process whose name was taken over and starts a new one if it was
  /// current, as the platform does.
  void replace(InstanceProcess &Process);
  void perform(InstanceProcess &Process, const HeartbeatAction &Action);
  void perform(InstanceProcess &Process, const ShareAction &Action);
  void commitHeartbeat(InstanceProcess &Process, const Transaction &Request);
  void commitLedger(InstanceProcess &Process, Transaction Request);
  void scanHeartbeats(InstanceProcess &Process);
  void feed(InstanceProcess &Process, const HeartbeatEvent &Event);
  void feed(InstanceProcess &Process, const ShareEvent &Event);
  void forwardLease(InstanceProcess &Process);
  std::int32_t usableBy(const InstanceProcess &Process) const;
  void exchangeDemands();
  void checkOracle();
  LeaseSettings observerSettings() const;
  ShareSettings shareSettings() const;

  FaultRates Faults_;
  DisabledMechanism Disabled_;
  ClusterTiming Timing_;
  pcg64 Random_;
  MemoryTable Table_;
  Duration Now_{};
  std::uint64_t Order_ = 0;
  std::priority_queue<Scheduled> Queue_;
  std::vector<std::unique_ptr<InstanceProcess>> Processes_;
  /// The index of the current process of each instance.
  std::vector<std::size_t> CurrentProcesses_;
  std::vector<std::int32_t> Demands_;
  int BootCount_ = 0;
  bool Faulty_ = true;
  std::int32_t LargestSum_ = 0;
  std::uint64_t LedgerWrites_ = 0;
};

} // namespace filbertspring::membership::test

#endif // FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H
