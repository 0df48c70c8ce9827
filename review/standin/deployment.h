#ifndef REVIEW_STANDIN_DEPLOYMENT_H
#define REVIEW_STANDIN_DEPLOYMENT_H

/// \file
/// A small deployment: the product's processes, started with the command of the
/// deploy file, the store, the executors, and the callers.

#include "worker.h"

#include <memory>
#include <sys/types.h>

namespace review {

/// One process of the product.
class Node {
public:
  Node(std::string Name, std::string Zone, std::string Ip, std::string Folder,
       const Store &Platform);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start();
  void signal(int Number);
  bool isRunning() const { return Process_ > 0; }
  const std::string &name() const { return Name_; }
  bool isReady() const;
  /// A call of a client, which waits for \p Timeout.
  Answer call(const std::string &Method, const std::string &Path,
              const std::string &Body,
              Milliseconds Timeout = Milliseconds(3000)) const;

private:
  std::string Name_;
  std::string Ip_;
  std::string SettingsPath_;
  std::string LogPath_;
  std::uint16_t FrontPort_ = 0;
  std::uint16_t ReadyPort_ = 0;
  pid_t Process_ = 0;
};

struct Deployment {
  /// Three nodes in three zones. \p Folder: for settings and logs.
  explicit Deployment(const std::string &Folder);
  ~Deployment();

  void addWorker(const std::string &Id, const std::string &Zone,
                 std::vector<std::string> Labels, WorkOf Decide);
  /// Starts everything, and waits until all nodes are ready. Exits with 2 if
  /// they are not after 20 s.
  void start();
  /// Writes the configuration \p Version; without the queue if \p HasQueue is
  /// false.
  void configure(int Version, bool HasQueue);
  /// Returns the node that owns the cell: the one that last wrote to the store
  /// under a condition. Null if none does.
  Node *owner();
  /// Returns a running node that is not \p Other.
  Node &otherThan(const Node *Other);
  /// A client's call; it goes to another node after no answer, 502, 503 or 504.
  Answer callAny(const std::string &Method, const std::string &Path,
                 const std::string &Body);
  /// Returns the state of a job as a client sees it, or "HTTP n".
  std::string stateOf(const std::string &Job);

  Store Platform_;
  RunLog Log_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::vector<std::unique_ptr<Worker>> Workers_;

private:
  std::size_t NextNode_ = 0;
};

/// Waits for at most \p Limit until \p Holds, and returns whether it does.
bool waitUntil(const std::function<bool()> &Holds, Milliseconds Limit);

} // namespace review

#endif // REVIEW_STANDIN_DEPLOYMENT_H
