#ifndef FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H
#define FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H

/// \file
/// Simulates several instances that receive configuration from an in-memory
/// table and from each other in virtual time, with fault injection and an
/// invariant check (oracle).

#include "filbertspring/membership.h"
#include "filbertspring/standins/memory_table.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace filbertspring::membership::test {

/// A safety mechanism that the cluster disables.
enum class DisabledConfigurationMechanism {
  None,
  /// Confirmations count from the answer to a read instead of its send time.
  SendTime,
  /// The row that arrives last wins, whatever its version.
  Versions,
  /// The view counts as complete up to a head version that was read after the
  /// scan.
  HeadFirst
};

/// The rates of injected faults, in permille per operation or per second.
struct ConfigurationFaults {
  int Slow_ = 0;
  int Lost_ = 0;
  int Disconnect_ = 0;
  int Restart_ = 0;
  int Writes_ = 0;
};

inline constexpr ConfigurationFaults HeavyConfigurationFaults{200, 80, 40, 15,
                                                              500};

class ConfigurationCluster {
public:
  ConfigurationCluster(int Instances, std::uint64_t Seed,
                       ConfigurationFaults Faults,
                       DisabledConfigurationMechanism Disabled =
                           DisabledConfigurationMechanism::None);

  void run(Duration Length);
  void endFaults();
  /// Changes a random row, as an operator would.
  void writeRow();
  void disconnectFromTable(int Instance, Duration Length);
  void restart(int Instance);

  const ConfigurationView &view(int Instance) const;
  /// Returns true when every instance has the current version of every row of
  /// the table.
  bool converged();
  Duration now() const { return Now_; }

  /// Numbers of violations that the oracle detected.
  int reverts() const { return Reverts_; }
  int falseConfirmations() const { return FalseConfirmations_; }
  std::uint64_t deltas() const { return Deltas_; }

private:
  struct InstanceState {
    ConfigurationSync Sync_;
    Duration DisconnectedUntil_{};
    int Incarnation_ = 0;
    /// The highest content number observed in each row.
    std::map<RowKey, std::int64_t> Newest_;
  };
  struct Scheduled {
    Duration At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Run_;
    bool operator<(const Scheduled &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  bool drawChance(int PerMille) {
    return static_cast<int>(Random_(1000)) < PerMille;
  }
  Duration delay();
  TimePoint currentTime() const { return TimePoint(Now_); }
  void schedule(Duration After, std::function<void()> Run);
  void feed(std::size_t Index, const ConfigurationEvent &Event);
  void perform(std::size_t Index, const ConfigurationAction &Action);
  /// Runs \p AtTable at the table and \p OnAnswer at the instance, each after a
  /// delay, or neither when the operation is lost.
  void operate(std::size_t Index, std::function<void()> AtTable,
               std::function<void()> OnAnswer);
  void readHead(std::size_t Index);
  void scan(std::size_t Index);
  void request(std::size_t Index, const RequestDelta &Action);
  void exchange();
  void drawFaults();
  void check(std::size_t Index);
  RowVersion headVersion();
  std::vector<StoredRow> configurationRows();

  ConfigurationFaults Faults_;
  DisabledConfigurationMechanism Disabled_;
  pcg64 Random_;
  MemoryTable Table_;
  Duration Now_{};
  std::uint64_t Order_ = 0;
  std::priority_queue<Scheduled> Queue_;
  std::vector<InstanceState> Instances_;
  std::vector<InstancePlace> Places_;
  bool Faulty_ = true;
  std::int64_t Writes_ = 0;
  /// The content number of each zone row over time.
  std::map<RowKey, std::map<Duration, std::int64_t>> History_;
  int Reverts_ = 0;
  int FalseConfirmations_ = 0;
  std::uint64_t Deltas_ = 0;
};

} // namespace filbertspring::membership::test

#endif // FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H
