#ifndef FILBERTSPRING_TESTS_CLUSTER_H
#define FILBERTSPRING_TESTS_CLUSTER_H

/// \file
/// A small system of processes on loopback: a platform, entry instances,
/// executors and workers.

#include "http_call.h"
#include "process.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace filbertspring::tests {

/// Number of processes of each kind, and their settings.
struct ClusterOptions {
  std::vector<std::string> Zones_ = {"bodrum", "kusadasi"};
  int EntriesPerZone_ = 1;
  int ExecutorsPerZone_ = 2;
  int WorkersPerZone_ = 2;
  int ServiceUs_ = 3000;
  /// JSON object that is merged into the settings of each entry instance.
  std::string ExtraSettings_;
};

/// A process and the port on which it listens.
struct Node {
  std::string Name_;
  std::string Zone_;
  std::uint16_t Port_ = 0;
  Process Process_;
};

/// Starts all processes, waits until the entry instances are ready and the
/// contract "tours" (service "check", kinds "filing" and "album", watches) is
/// active. The destructor kills all processes.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  std::uint16_t platform() const { return Platform_.front().Port_; }
  std::vector<Node> &entries() { return Entries_; }
  std::vector<Node> &executors() { return Executors_; }
  std::vector<Node> &workers() { return Workers_; }

  /// Starts another entry instance in \p Zone without waiting for readiness.
  Node &addEntry(const std::string &Zone);
  /// Starts \p Entry again with the same settings. Its process must have ended.
  void restartEntry(Node &Entry) const;
  /// Sets the platform's faults, see docs/PROTOCOLS.md.
  void setFaults(const nlohmann::json &Faults) const;

  /// Sends a request to the service. With an empty \p Key the request is
  /// idempotent.
  Reply request(const Node &Entry, const std::string &Id,
                const std::string &Key = {}) const;
  /// Submits a job of \p Tasks tasks.
  Reply submit(const Node &Entry, const std::string &Key, int Tasks,
               int RunTimeMs, const std::string &Kind = "filing") const;
  /// Sets the state of \p Zone, which takes it out of service or back in.
  Reply setZone(const Node &Entry, const std::string &Zone,
                const std::string &State) const;

private:
  void startEntry(const std::string &Zone);
  void startExecutor(const std::string &Zone);
  void startWorker(const std::string &Zone);
  void applyContract();
  std::string logFile(const std::string &Name) const;
  std::string settingsFile(const std::string &Name) const;

  ClusterOptions Options_;
  std::filesystem::path Directory_;
  std::vector<Node> Platform_;
  std::vector<Node> Entries_;
  std::vector<Node> Executors_;
  std::vector<Node> Workers_;
};

/// Calls \p Condition every 50 ms until it returns true. Returns false when
/// \p Seconds pass first.
bool eventually(const std::function<bool()> &Condition, int Seconds = 60);

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_CLUSTER_H
