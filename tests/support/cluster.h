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

/// How many processes of each kind, and their settings.
struct ClusterShape {
  std::vector<std::string> Zones_ = {"bodrum", "kusadasi"};
  int EntriesPerZone_ = 1;
  int ExecutorsPerZone_ = 2;
  int WorkersPerZone_ = 2;
  int ServiceUs_ = 3000;
  /// JSON members that are added to each entry instance's settings.
  std::string MoreSettings_;
};

/// A process with the port that it serves.
struct Node {
  std::string Name_;
  std::string Zone_;
  std::uint16_t Port_ = 0;
  Process Process_;
};

/// Starts all processes, waits until the entry instances are ready and the
/// contract "tours" (service "check", kinds "filing" and "album", watches) is
/// in force, and kills them all at the end.
class Cluster {
public:
  explicit Cluster(ClusterShape Shape);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  std::uint16_t platform() const { return Platform_.front().Port_; }
  std::vector<Node> &entries() { return Entries_; }
  std::vector<Node> &executors() { return Executors_; }
  std::vector<Node> &workers() { return Workers_; }

  /// Starts one more entry instance in \p Zone; does not wait for it.
  Node &addEntry(const std::string &Zone);
  /// Sets the platform's faults, see docs/PROTOCOLS.md.
  void setFaults(const nlohmann::json &Faults) const;

  /// Sends a request to the service. \p Key empty makes it idempotent.
  Reply request(const Node &Entry, const std::string &Id,
                const std::string &Key = {}) const;
  /// Submits a job of \p Tasks tasks.
  Reply submit(const Node &Entry, const std::string &Key, int Tasks,
               int RunTimeMs, const std::string &Kind = "filing") const;
  /// Takes a zone out or in.
  Reply setZone(const Node &Entry, const std::string &Zone,
                const std::string &State) const;

private:
  void startEntry(const std::string &Zone);
  void startExecutor(const std::string &Zone);
  void startWorker(const std::string &Zone);
  void applyContract();
  std::string logFile(const std::string &Name) const;

  ClusterShape Shape_;
  std::filesystem::path Folder_;
  std::vector<Node> Platform_;
  std::vector<Node> Entries_;
  std::vector<Node> Executors_;
  std::vector<Node> Workers_;
};

/// Calls \p Holds every 50 ms until it returns true; false after \p Seconds.
bool eventually(const std::function<bool()> &Holds, int Seconds = 60);

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_CLUSTER_H
