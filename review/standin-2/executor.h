#ifndef REVIEW_STANDIN_EXECUTOR_H
#define REVIEW_STANDIN_EXECUTOR_H

/// \file
/// An executor that follows the pages, and the list of all runs of a scene.

#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "record.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A run as its executor saw it. Times are those of Record::now().
struct RunEntry {
  std::string Task_;
  std::uint64_t Run_ = 0;
  std::string Executor_;
  std::int64_t StartedMs_ = 0;
  /// -1 while it goes on.
  std::int64_t EndedMs_ = -1;
  std::string How_;
  /// When LastSeen reached its end; -1 before that.
  std::int64_t TakenMs_ = -1;
};

/// All runs of all executors, in the order of their starts. Thread-safe.
class RunList {
public:
  std::size_t add(RunEntry Entry);
  void end(std::size_t Index, std::int64_t Ms, const std::string &How);
  void noteTaken(std::size_t Index, std::int64_t Ms);
  std::vector<RunEntry> entries() const;

private:
  mutable std::mutex Mutex_;
  std::vector<RunEntry> Entries_;
};

/// What a start does.
struct Work {
  filbertspring::Duration Time_{};
  std::string How_ = "done";
};

/// What all executors of a scene share.
struct ExecutorSettings {
  std::string Service_;
  std::int64_t Cpu_ = 0;
  std::int64_t MemMb_ = 0;
  /// MaxHoldMs, HeartbeatMs and a time below KillTimeoutMs.
  std::int64_t MaxHoldMs_ = 6000;
  std::int64_t HeartbeatMs_ = 1500;
  std::int64_t StopMs_ = 150;
  /// The longest Spec that the pages allow; a longer one is answered with 400.
  std::size_t MaxSpecBytes_ = 4000;
  std::function<Work(const std::string &Task, std::uint64_t Run)> WorkOf_;
  /// Writes an entry of the table servers.
  std::function<void(const std::string &Id, const std::string &Entry)>
      Register_;
};

/// One machine with its executor. Each incarnation has a loop, a thread, a port
/// and connections of its own, which end with it. start() and crash() are for
/// the thread of the scene.
class Executor {
public:
  Executor(Record &Log, RunList &Runs, const ExecutorSettings &Settings,
           std::string Id, std::string Zone, std::string Rack,
           std::string Address);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  /// Starts an incarnation. Its first registration follows after \p Delay.
  void start(filbertspring::Duration Delay);
  /// Ends the process with all that it runs. Its port is closed, and its
  /// connections are reset.
  void crash();
  bool isUp() const { return Loop_ != nullptr; }
  /// Lets the first renewal of the next incarnation arrive \p Delay late, as
  /// over a link that has lost the first packet of a connection. To be called
  /// before start().
  void delayFirstHold(filbertspring::Duration Delay) { HoldDelay_ = Delay; }
  const std::string &id() const { return Id_; }
  /// Returns when the last renewal arrived; -1 before the first one.
  std::int64_t lastHoldMs() const { return LastHoldMs_; }

private:
  using Json = nlohmann::json;
  struct ActiveRun {
    std::uint64_t Run_ = 0;
    std::size_t Entry_ = 0;
    filbertspring::TimePoint EndsAt_{};
    std::string How_;
    bool IsStopping_ = false;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
    std::size_t Entry_ = 0;
  };
  struct Waiting {
    filbertspring::TimePoint Until_{};
    filbertspring::HttpResponder Respond_;
  };

  void repeatAdvance();
  void hold(const Json &Body, const filbertspring::HttpResponder &Respond);
  void advance();
  void handle(const filbertspring::HttpRequest &Request,
              const filbertspring::HttpResponder &Respond);
  filbertspring::HttpAnswer startRun(const Json &Body);
  filbertspring::HttpAnswer stopRun(const Json &Body);
  filbertspring::HttpAnswer answer(int Status, Json Body) const;
  filbertspring::HttpAnswer report() const;
  void extendLease(std::int64_t DeadlineMs);
  void end(const std::string &Task, const std::string &How);
  void registerNow();
  std::int64_t clockMs() const;

  Record &Log_;
  RunList &RunList_;
  const ExecutorSettings &Settings_;
  std::string Id_;
  std::string Zone_;
  std::string Rack_;
  std::string Address_;
  std::unique_ptr<filbertspring::EventLoop> Loop_;
  std::unique_ptr<filbertspring::AsyncHttpServer> Server_;
  std::thread Thread_;
  filbertspring::TimePoint StartedAt_{};
  std::int64_t BornMs_ = 0;
  filbertspring::TimePoint NextRegistrationAt_{};
  std::uint64_t Sequence_ = 0;
  std::atomic<std::int64_t> LastHoldMs_{-1};
  filbertspring::Duration HoldDelay_{};
  std::uint64_t Token_ = 0;
  std::int64_t DeadlineMs_ = 0;
  std::uint64_t LastEnd_ = 0;
  std::map<std::string, ActiveRun> Runs_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::deque<End> Ends_;
  std::vector<Waiting> Waiting_;
};

} // namespace review

#endif // REVIEW_STANDIN_EXECUTOR_H
