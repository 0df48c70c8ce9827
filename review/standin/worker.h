#ifndef REVIEW_STANDIN_WORKER_H
#define REVIEW_STANDIN_WORKER_H

/// \file
/// An executor: run-start, run-stop, hold and pace, its entry in the store, and
/// its crash and restart.

#include "http.h"
#include "store.h"

#include <condition_variable>
#include <deque>
#include <vector>

namespace review {

/// What a run does: how long it works, and how it ends.
struct Work {
  /// Nothing for a task that runs until it is stopped.
  std::optional<Milliseconds> Duration_;
  bool Fails_ = false;
};
using WorkOf = std::function<Work(const std::string &Task)>;

/// A start or an end of a run, as all executors saw them, in their order.
struct RunEvent {
  double At_ = 0;
  std::string Worker_;
  std::string Task_;
  std::uint64_t Run_ = 0;
  /// "start", or how it ended: done, failed, stopped, lapsed, crashed.
  std::string What_;
};

/// The runs of all executors.
class RunLog {
public:
  void add(const std::string &Worker, const std::string &Task,
           std::uint64_t Run, const std::string &What);
  std::vector<RunEvent> events() const;
  std::size_t count(const std::string &What) const;

private:
  mutable std::mutex Mutex_;
  std::vector<RunEvent> Events_;
};

class Worker {
public:
  Worker(Store &Platform, RunLog &Log, WorkOf Decide, std::string Id,
         std::string Zone, std::vector<std::string> Labels);
  ~Worker();

  /// Starts a life: listens, and registers in the store.
  void start(const std::string &Ip);
  /// Ends this life at once: nothing runs on, and nothing more is said. The
  /// entry in the store stays for three heartbeat intervals.
  void crash();
  /// Ends this life like a loss of power: connections stay as they are, and
  /// nothing is answered. start() resets them.
  void losePower();
  std::size_t running() const;
  /// Returns the number of ends that have not been acknowledged.
  std::size_t openEnds() const;

private:
  struct ActiveRun {
    std::uint64_t Run_ = 0;
    Clock::time_point StartedAt_;
    Work Work_;
    /// Set by a stop: when it has ended.
    std::optional<Clock::time_point> StopsAt_;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };

  std::optional<Answer> handle(const Request &Call);
  Answer startRun(const std::string &Body);
  Answer stopRun(const std::string &Body);
  Answer hold(const std::string &Body, std::unique_lock<std::mutex> &Lock);
  Answer reply(int Status, const std::string &Reason) const;
  void extendLease(std::int64_t DeadlineMs);
  void endRun(const std::string &Task, const std::string &How);
  void work();
  void registerAlive();
  std::int64_t clockMs() const;

  Store &Platform_;
  RunLog &Log_;
  WorkOf Decide_;
  std::string Id_;
  std::string Zone_;
  std::vector<std::string> Labels_;
  std::string Ip_;
  std::uint16_t Port_ = 0;

  Server Server_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsUp_ = false;
  bool IsWithoutPower_ = false;
  bool IsEnding_ = false;
  std::uint64_t Life_ = 0;
  std::uint64_t Sequence_ = 0;
  std::int64_t BornMs_ = 0;
  Clock::time_point BornAt_;
  Clock::time_point DownSince_;
  Clock::time_point NextBeatAt_;
  bool IsListed_ = false;
  std::uint64_t Token_ = 0;
  std::int64_t DeadlineMs_ = 0;
  std::uint64_t LastEnd_ = 0;
  std::map<std::string, ActiveRun> Runs_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::deque<End> Ends_;
  std::thread Thread_;
};

} // namespace review

#endif // REVIEW_STANDIN_WORKER_H
