#ifndef REVIEW_STANDIN_3_PLATFORM_H
#define REVIEW_STANDIN_3_PLATFORM_H

/// \file
/// Stand-ins of the users' platform for the cases of the third review: its
/// store of rows, executors, clients, and the processes under test. Everything
/// listens on loopback addresses and free ports.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
std::int64_t wallMs();
void sleepMs(std::int64_t Milliseconds);
/// Sleeps until \p Milliseconds after the start of the program.
void sleepUntilMs(std::int64_t Milliseconds);

/// Writes what was sent, answered and run, one line each with its time.
class Record {
public:
  static void open(const std::string &Path);
  static void line(const std::string &Text);
};

struct Request {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// Names are in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct Response {
  int Status_ = 200;
  std::string Body_;
};

/// A server with a thread for each connection.
class Server {
public:
  /// Returns nothing if the request is not answered; its connection is closed.
  using Handler = std::function<std::optional<Response>(const Request &)>;

  explicit Server(Handler Handle) : Handle_(std::move(Handle)) {}
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Listens on \p Port, or on a free one if it is 0.
  void start(std::uint16_t Port = 0);
  /// Closes the listener and resets all connections but those that are silent.
  void stop();
  /// To be called by the handler of a request: its connection goes silent, and
  /// is not reset when the server stops.
  void goSilent();
  std::uint16_t port() const { return Port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

private:
  void serve(int Socket);

  Handler Handle_;
  std::uint16_t Port_ = 0;
  int Listener_ = -1;
  std::thread Acceptor_;
  std::mutex Mutex_;
  std::set<int> Sockets_;
  std::vector<std::thread> Threads_;
  std::set<std::thread::id> SilentThreads_;
  std::set<int> SilentSockets_;
  std::map<std::thread::id, int> SocketOfThread_;
  std::atomic<bool> IsStopped_{true};
};

std::uint16_t freePort();

/// Sends one request on a new connection. Status 0: no complete answer.
Response call(const std::string &Address, const std::string &Method,
              const std::string &Path, const std::string &Host,
              const std::string &Body = "", int TimeoutMs = 3000);

/// The platform's store of rows.
class Store {
public:
  Store();
  /// The address of the store for one machine.
  std::string addPort();

  void put(const std::string &Table, const std::string &Key, const Json &Value);
  void remove(const std::string &Table, const std::string &Key);
  std::string get(const std::string &Table, const std::string &Part,
                  const std::string &Key);

private:
  using RowId = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value_;
    std::uint64_t Version_ = 0;
    bool IsRemoved_ = false;
  };

  std::optional<Response> handle(const Request &Asked);
  Response transact(const Json &Transaction);
  Response read(const Request &Asked);
  Response feed(const Request &Asked);
  Json encode(const RowId &Id, const Row &Stored) const;

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<RowId, Row> Rows_;
  std::uint64_t Version_ = 1;
  std::vector<std::unique_ptr<Server>> Servers_;
};

/// What one run did, as seen by its executor.
struct RunSeen {
  std::string Task_;
  std::uint64_t Run_ = 0;
  std::string Executor_;
  std::int64_t StartedMs_ = 0;
  /// -1 while it works.
  std::int64_t EndedMs_ = -1;
  /// done, failed, stopped, lapsed or crashed.
  std::string How_;
};

/// All runs of all executors, in the order of their starts.
class RunLog {
public:
  std::size_t started(const std::string &Task, std::uint64_t Run,
                      const std::string &Executor);
  void ended(std::size_t Index, const std::string &How);
  std::vector<RunSeen> all();
  /// How many runs of the tasks of \p Job have ended in the manner \p How.
  std::size_t count(const std::string &Job, const std::string &How);

private:
  std::mutex Mutex_;
  std::vector<RunSeen> Runs_;
};

struct ExecutorSettings {
  std::string Name_;
  std::string Service_ = "desk";
  std::string Zone_ = "zone-a";
  std::string Rack_ = "r1-1";
  std::int64_t MilliCpu_ = 64'000;
  std::int64_t MemoryMb_ = 256'000;
  std::int64_t HeartbeatMs_ = 1500;
  std::int64_t MaxHoldMs_ = 6000;
  /// The next life has the id of the one before.
  bool KeepsId_ = false;
  /// When the next life writes its entry for the first time.
  std::int64_t FirstBeatMs_ = 0;
};

/// An executor. The text of a job's Spec tells what its tasks do: "work=MS"
/// work for so long and end done; "work=MS fail=N" fail in their first N runs.
class Executor {
public:
  Executor(ExecutorSettings Settings, Store &Platform, RunLog &Runs);
  ~Executor();

  void start();
  /// Ends without a word, as after a loss of power.
  void crash();
  /// Reports that it drains, as before a planned shutdown.
  void drain();
  /// Ends, as planned, and takes its entry away.
  void shutDown();
  bool isUp() const { return IsUp_; }
  std::string id();
  std::size_t running();
  const ExecutorSettings &settings() const { return Settings_; }

  /// From now on, calls that \p Matches are kept back: they get no answer, and
  /// are executed by executeHeld().
  void holdBack(std::function<bool(const Request &)> Matches);
  bool hasHeld();
  /// Executes the calls that were kept back, in the present life, and keeps
  /// back no more.
  void executeHeld();

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::size_t LogIndex_ = 0;
    /// On the executor's clock; -1: until it is stopped.
    std::int64_t EndMs_ = -1;
    bool Fails_ = false;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };

  void end();
  std::optional<Response> handle(const Request &Asked);
  std::optional<Response> execute(const Request &Asked);
  Response startRun(const Json &Body);
  Response stopRun(const Json &Body);
  Response report();
  Response answer(int Status, Json Body) const;
  Response reject(const char *Reason) const;
  std::int64_t clockMs() const;
  void extendLease(const Json &Body);
  void endRun(const std::string &Task, const std::string &How);
  void work();
  void beat();

  ExecutorSettings Settings_;
  Store &Platform_;
  RunLog &Log_;
  std::unique_ptr<Server> Server_;
  /// Those of earlier lives, whose silent connections end last.
  std::vector<std::unique_ptr<Server>> FormerServers_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> IsUp_{false};
  std::thread Worker_;

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::function<bool(const Request &)> HoldsBack_;
  std::vector<Request> Held_;
  int Life_ = 0;
  std::string Id_;
  std::int64_t BornMs_ = 0;
  std::int64_t ClockBaseMs_ = 0;
  std::uint64_t Token_ = 0;
  std::int64_t LeaseEndMs_ = 0;
  std::map<std::string, Run> Runs_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::deque<End> Ends_;
  std::uint64_t LastEnd_ = 0;
  std::uint64_t Sequence_ = 0;
  bool IsDraining_ = false;
  std::int64_t LastBeatMs_ = 0;
  /// The ids of earlier lives, and when their entries go: after three
  /// heartbeats of silence.
  std::deque<std::pair<std::string, std::int64_t>> Expiring_;
  /// How often each task has failed here or elsewhere.
  static std::mutex FailuresMutex_;
  static std::map<std::string, int> Failures_;
};

/// A process of the product, started as the deploy file says.
class Node {
public:
  Node(std::string Name, std::string Zone, const std::string &StoreAddress,
       const std::string &Folder);
  ~Node();

  void start();
  /// Kills the process, if it runs, and waits for its end.
  void kill();
  /// Waits until it is ready to serve; false after \p TimeoutMs.
  bool waitUntilReady(int TimeoutMs);
  const std::string &name() const { return Name_; }

  Response send(const std::string &Method, const std::string &Path,
                const std::string &Body = "", int TimeoutMs = 3000);

private:
  std::string Name_;
  std::string Folder_;
  std::string Settings_;
  std::string Front_;
  std::string Readiness_;
  pid_t Pid_ = -1;
};

/// Returns a configuration with one queue, "requests", at the path "/q/" of
/// the host "desk.example", unless \p HasQueue is false, and an idle queue.
Json makeConfiguration(int Version, bool HasQueue, int Attempts);

inline constexpr const char *QueueHost = "desk.example";

} // namespace review

#endif // REVIEW_STANDIN_3_PLATFORM_H
