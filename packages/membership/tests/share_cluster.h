#ifndef FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H
#define FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H

/// \file
/// Several share allocators over one in-memory table, in virtual time, with
/// faults and an oracle.

#include "filbertspring/membership.h"
#include "filbertspring/standins/memory_table.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace filbertspring::membership::test {

/// A mechanism that a cluster runs without, to show that the oracle objects.
enum class DisabledMechanism {
  None,
  /// Uses its share after its lease has ended.
  LeaseEnd,
  /// Counts the lease from the answer to a heartbeat.
  SendTime,
  /// Keeps using what it gives away until the write's answer arrives.
  EarlyShrink,
  /// Reclaims without a guard on the holder's heartbeat.
  ReclaimGuard,
  /// Uses an earlier process's share at once.
  RestartWait,
  /// Takes a lost answer for a write that did not happen.
  ReadBack,
  /// Observes leases without allowance for clock rates.
  DriftAllowance
};

/// How much goes wrong.
struct FaultRates {
  /// Chances in a thousand, per table operation.
  int LostRequest_ = 0;
  int LostAnswer_ = 0;
  /// The request takes effect up to half a minute later, unanswered.
  int Delayed_ = 0;
  /// One way takes up to a few seconds.
  int SlowRequest_ = 0;
  int SlowAnswer_ = 0;
  /// Chances in a thousand, per instance and second.
  int Pause_ = 0;
  int Disconnect_ = 0;
  int Restart_ = 0;
  int DemandShift_ = 0;
  /// The error of each clock's rate, either way, in thousandths.
  int DriftPermille_ = 0;
};

inline constexpr FaultRates HeavyFaults{40, 60, 60, 100, 100,
                                        30, 20, 15, 100, 10};

/// How fast instances observe and act.
struct ClusterTiming {
  Duration TickInterval_ = std::chrono::milliseconds(500);
  Duration HeartbeatScanInterval_ = std::chrono::seconds(2);
  Duration WriteSpread_ = ShareSettings{}.WriteSpread_;
};

/// Reclaims as early as the rules allow, which leaves no slack that could hide
/// a missing mechanism.
inline constexpr ClusterTiming EagerTiming{std::chrono::milliseconds(50),
                                           std::chrono::milliseconds(50),
                                           Duration::zero()};

/// One process of an instance.
struct Process {
  InstancePlace Place_;
  HeartbeatWriter HeartbeatWriter_;
  LivenessTracker Tracker_;
  ShareAllocator Allocator_;
  double Rate_ = 1.0;
  std::int64_t OffsetMicros_ = 0;
  bool Dead_ = false;
  Duration PausedUntil_{};
  Duration DisconnectedUntil_{};
  Duration LastScan_{};
  Duration LastHeartbeatAnswer_{};
  std::map<TransactionId, int> Giving_;
};

/// The simulated cluster. Time is the true time since its start.
class ShareCluster {
public:
  ShareCluster(int Instances, std::uint64_t Seed, FaultRates Faults,
               DisabledMechanism Missing = DisabledMechanism::None,
               ClusterTiming Timing = {});

  /// Advances time, checking the oracle at every step.
  void run(Duration Length);
  /// No further fault begins, and present ones end.
  void endFaults();
  /// Sets the demand of an instance, known to all a second later.
  void setDemand(int Instance, std::int32_t Permille);
  /// Ends the present process of an instance without a word.
  void kill(int Instance);
  /// Cuts an instance from the table.
  void disconnect(int Instance, Duration Length);
  void pause(int Instance, Duration Length);
  /// Starts a new process under the name of an instance.
  void restart(int Instance);

  /// Returns what the present process of an instance may use now.
  std::int32_t usable(int Instance) const;
  /// Returns the largest distance below its target of any live instance.
  std::int32_t largestDeficit() const;
  /// Returns the largest sum of usable shares that was seen.
  std::int32_t largestSum() const { return LargestSum_; }
  std::uint64_t ledgerWrites() const { return LedgerWrites_; }
  Duration now() const { return Now_; }
  MemoryTable &table() { return Table_; }
  /// Returns what the present process of an instance believes of others.
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
  using Answer = std::function<void(Process &, bool Answered)>;

  bool chance(int PerMille) {
    return static_cast<int>(Random_(1000)) < PerMille;
  }
  Duration randomUpTo(Duration Limit);
  TimePoint local(const Process &Each) const;
  void schedule(Duration After, std::function<void()> Run);
  void deliver(Process &To, std::function<void()> Run);
  /// Sends one operation to the table and its answer back, with faults.
  void operate(Process &From, std::function<void()> AtTable,
               std::function<void()> OnAnswer, std::function<void()> OnLoss);
  void startProcess(int Instance);
  void step();
  void drawFaults();
  void tick(Process &Each);
  /// Ends a process whose name was taken over, as the platform would.
  void replace(Process &Each);
  void perform(Process &Each, const HeartbeatAction &Action);
  void perform(Process &Each, const ShareAction &Action);
  void commitHeartbeat(Process &Each, const Transaction &Request);
  void commitLedger(Process &Each, Transaction Request);
  void scanHeartbeats(Process &Each);
  void feed(Process &Each, const HeartbeatEvent &Event);
  void feed(Process &Each, const ShareEvent &Event);
  void passLease(Process &Each);
  std::int32_t usableBy(const Process &Each) const;
  void exchangeDemands();
  void checkOracle();
  LeaseSettings observerSettings() const;
  ShareSettings shareSettings() const;

  FaultRates Faults_;
  DisabledMechanism Missing_;
  ClusterTiming Timing_;
  pcg64 Random_;
  MemoryTable Table_;
  Duration Now_{};
  std::uint64_t Order_ = 0;
  std::priority_queue<Scheduled> Queue_;
  std::vector<std::unique_ptr<Process>> Processes_;
  /// The index of each instance's present process.
  std::vector<std::size_t> Present_;
  std::vector<std::int32_t> Demands_;
  int Boots_ = 0;
  bool Faulty_ = true;
  std::int32_t LargestSum_ = 0;
  std::uint64_t LedgerWrites_ = 0;
};

} // namespace filbertspring::membership::test

#endif // FILBERTSPRING_MEMBERSHIP_TESTS_SHARE_CLUSTER_H
