#ifndef REVIEW_STANDIN_PLATFORM_H
#define REVIEW_STANDIN_PLATFORM_H

/// \file
/// What the users' platform does for the processes of the system: it fills in
/// their settings, starts them, enforces their memory and restarts them. Also
/// a client, and a scene of all of these.

#include "executor.h"
#include "record.h"
#include "store_standin.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Fills in \p Template as the platform does: values of fields of \p Fields,
/// with and without |json. Sections are not supported.
std::string fillIn(const std::string &Template, const nlohmann::json &Fields);

/// Makes a signal that ends this process end the nodes, too.
void endNodesOnSignals();

struct Reply {
  /// 0 without an answer.
  int Status_ = 0;
  std::string Body_;
  std::string state() const;
};

/// Sends one request over a new connection, and waits for \p TimeoutMs.
Reply call(const std::string &Address, const std::string &Method,
           const std::string &Path, const std::string &Host,
           const std::string &Body, int TimeoutMs = 3000);

/// A process of the system on a machine of its own loopback address.
struct Node {
  std::string Name_;
  std::string Ip_;
  std::string Zone_;
  std::string Front_;
  std::string Readiness_;
  std::uint16_t StorePort_ = 0;
  std::string SettingsPath_;
  std::string LogPath_;
  pid_t Pid_ = -1;
  /// The time from which it is started again, if it is not running.
  std::int64_t RestartAtMs_ = -1;
  int OwnEnds_ = 0;
  int MemoryKills_ = 0;
  std::size_t HighestMb_ = 0;
};

/// The figures of a scene, as on the sheets.
struct SceneSettings {
  std::size_t Nodes_ = 3;
  std::size_t Executors_ = 8;
  std::int64_t MemoryMb_ = 260;
  std::string Configuration_;
  ExecutorSettings Executor_;
};

/// A small deployment: the platform's store, processes of the system,
/// executors, and the clients' calls.
class Scene {
public:
  Scene(Record &Log, SceneSettings Settings);
  ~Scene();

  /// Starts all, with all executors but \p Held. Returns false if that fails.
  bool start(const std::vector<std::size_t> &Held = {});
  Executor &executor(std::size_t Index) { return *Executors_[Index]; }
  const RunList &runs() const { return Runs_; }
  std::vector<Node> nodes();
  /// Waits until \p Condition holds, for at most \p Ms.
  bool eventually(int Ms, const std::function<bool()> &Condition);
  /// Sends a request of a client to node \p Index, and records it. Repeats it
  /// at the next nodes while the answer allows that.
  Reply client(std::size_t Index, const std::string &Method,
               const std::string &Path, const std::string &Body = {},
               int Attempts = 4);
  Record &log() { return Log_; }

private:
  bool startNode(Node &Started);
  void watch();

  Record &Log_;
  SceneSettings Settings_;
  std::string Folder_;
  filbertspring::platform::test::StoreStandin Store_;
  std::mutex NodesMutex_;
  std::vector<Node> Nodes_;
  RunList Runs_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  std::thread WatchThread_;
  std::atomic<bool> IsEnding_{false};
};

} // namespace review

#endif // REVIEW_STANDIN_PLATFORM_H
