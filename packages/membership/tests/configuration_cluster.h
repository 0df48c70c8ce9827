#ifndef FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H
#define FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H

/// \file
/// Several instances that learn configuration from an in-memory table and from
/// each other, in virtual time, with faults and an oracle.

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

/// A mechanism that the cluster runs without.
enum class DisabledConfigurationMechanism {
  None,
  /// Dates a proof by the answer instead of the read's send time.
  SendTime,
  /// Adopts whatever arrives last.
  Versions,
  /// Claims completeness up to a head that was read after the scan.
  HeadFirst
};

/// What goes wrong, in thousandths per operation or per second.
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
                       DisabledConfigurationMechanism Missing =
                           DisabledConfigurationMechanism::None);

  void run(Duration Length);
  void endFaults();
  /// Changes a random row, as an operator does.
  void writeRow();
  void disconnectFromTable(int Instance, Duration Length);
  void restart(int Instance);

  const ConfigurationView &view(int Instance) const;
  /// Returns true when every instance holds exactly the table's rows.
  bool converged();
  Duration now() const { return Now_; }

  /// Counts of what the oracle objected to.
  int reverts() const { return Reverts_; }
  int falseConfirmations() const { return FalseConfirmations_; }
  std::uint64_t deltas() const { return Deltas_; }

private:
  struct Node {
    ConfigurationSync Sync_;
    Duration DisconnectedUntil_{};
    int Life_ = 0;
    /// The newest content seen of each row, as its writer numbered it.
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

  bool chance(int PerMille) {
    return static_cast<int>(Random_(1000)) < PerMille;
  }
  Duration delay();
  TimePoint stamp() const { return TimePoint(Now_); }
  void schedule(Duration After, std::function<void()> Run);
  void feed(std::size_t Index, const ConfigurationEvent &Event);
  void perform(std::size_t Index, const ConfigurationAction &Action);
  /// Runs \p AtTable there and \p OnAnswer here, or loses one of them.
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
  DisabledConfigurationMechanism Missing_;
  pcg64 Random_;
  MemoryTable Table_;
  Duration Now_{};
  std::uint64_t Order_ = 0;
  std::priority_queue<Scheduled> Queue_;
  std::vector<Node> Nodes_;
  std::vector<InstancePlace> Places_;
  bool Faulty_ = true;
  std::int64_t Writes_ = 0;
  /// The content of each zone row over time.
  std::map<RowKey, std::map<Duration, std::int64_t>> History_;
  int Reverts_ = 0;
  int FalseConfirmations_ = 0;
  std::uint64_t Deltas_ = 0;
};

} // namespace filbertspring::membership::test

#endif // FILBERTSPRING_MEMBERSHIP_TESTS_CONFIGURATION_CLUSTER_H
