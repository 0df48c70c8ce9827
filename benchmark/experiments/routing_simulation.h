#ifndef FILBERTSPRING_BENCHMARK_ROUTING_SIMULATION_H
#define FILBERTSPRING_BENCHMARK_ROUTING_SIMULATION_H

/// \file
/// Entry instances with a router each, executors and open-loop callers, in
/// virtual time.

#include "filbertspring/routing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::benchmark {

using namespace routing;

/// One contract's Poisson arrivals.
struct CallerStream {
  ContractName Contract_;
  double PerSecond_ = 0.0;
  /// Limits of its contract, over all instances.
  std::int64_t RatePerSecond_ = 1'000'000;
  std::int64_t Concurrency_ = 100'000;
  bool Idempotent_ = true;
};

/// Settings of a simulation.
struct SimulationSettings {
  int Executors_ = 50;
  std::int64_t Slots_ = 8;
  /// Requests that an executor queues beyond its slots before it refuses.
  std::int64_t Backlog_ = 52;
  int Zones_ = 3;
  /// Share of the arrivals of each entry instance; instances are assigned to
  /// zones in rotation.
  std::vector<double> EntryShares_ = {1, 1, 1, 1, 1, 1};
  Duration MeanService_ = std::chrono::milliseconds(20);
  /// Standard deviation of the logarithm of the service time.
  double ServiceSigma_ = 0.6;
  Duration LocalDelay_ = std::chrono::microseconds(250);
  Duration InterZoneDelay_ = std::chrono::milliseconds(4);
  Duration ClientDelay_ = std::chrono::milliseconds(1);
  Duration Deadline_ = std::chrono::seconds(2);
  std::vector<CallerStream> Streams_;
  RouterConfig Router_;
  Duration WarmUp_ = std::chrono::seconds(1);
  Duration Measured_ = std::chrono::seconds(5);
  /// Time for which arrivals continue after the measured time.
  Duration ExtraArrivalTime_{};
};

/// A simulated executor.
struct ExecutorModel {
  std::string Name_;
  int Zone_ = 0;
  double SlowdownFactor_ = 1.0;
  bool Reachable_ = true;
  bool Alive_ = true;
  bool Leaving_ = false;
  std::int64_t Running_ = 0;
  std::deque<std::function<void()>> Waiting_;
  /// Requests that were started.
  std::int64_t Runs_ = 0;
};

/// The outcome of one request.
struct RequestRecord {
  std::size_t Stream_ = 0;
  TimePoint IntendedAt_;
  RequestOutcome Outcome_ = RequestOutcome::Unknown;
  /// Time from the intended arrival to the answer at the caller.
  Duration Latency_{};
};

/// Counts of a run within its measured time.
struct SimulationCounts {
  std::int64_t Requests_ = 0;
  std::int64_t Attempts_ = 0;
  /// Requests with at least one attempt.
  std::int64_t Sent_ = 0;
  std::int64_t Busy_ = 0;
  std::int64_t Remote_ = 0;
};

/// Discrete event simulation of request routing. Not thread-safe.
class RoutingSimulation {
public:
  RoutingSimulation(SimulationSettings Settings, std::uint64_t Seed);
  ~RoutingSimulation();
  RoutingSimulation(const RoutingSimulation &) = delete;
  RoutingSimulation &operator=(const RoutingSimulation &) = delete;

  /// Runs \p Action at \p After from the start.
  void at(Duration After, std::function<void()> Action);
  void run();

  std::vector<ExecutorModel> Executors_;
  /// The share of arrivals of each entry instance; may change while it runs.
  std::vector<double> EntryShares_;
  std::vector<RequestRecord> Records_;
  SimulationCounts Counts_;

  /// Sends all entry instances the list of executors for which \p Listed
  /// returns true.
  void
  publishEndpointList(const std::function<bool(const ExecutorModel &)> &Listed);
  /// Drops all messages on the connections that are open from entry instances
  /// to \p Executor.
  void silenceConnections(int Executor);
  /// Makes the executors in \p Zone unreachable and stops arrivals at its entry
  /// instances.
  void disconnectZone(int Zone);

private:
  struct Entry;
  struct PendingAttempt;

  void send(Entry &From, const SendAttempt &Sent);
  void arriveAtExecutor(std::size_t Entry, std::uint64_t PendingAttempt);
  void startOn(ExecutorModel &Node, std::size_t Entry,
               std::uint64_t PendingAttempt);
  void answerFrom(ExecutorModel &Node, std::size_t Entry,
                  std::uint64_t PendingAttempt, AttemptResult Result);
  void finishAttempt(std::size_t Entry, std::uint64_t PendingAttempt,
                     AttemptResult Result, std::optional<ObservedLoad> Load);
  void performActions(Entry &From, const std::vector<RoutingAction> &Out);
  void deliver(Entry &To, const RoutingEvent &Event);
  void scheduleTick(Entry &From);
  void handleArrival(std::size_t Stream);
  void scheduleArrival(std::size_t Stream);
  void recordAnswer(const AnswerCaller &Answer);
  Duration delay(int From, int To);
  Duration serviceTime(const ExecutorModel &Node);
  double uniform();
  bool measuring() const;

  struct Event {
    TimePoint At_;
    std::uint64_t Number_ = 0;
    std::function<void()> Action_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Number_) < std::pair(At_, Number_);
    }
  };

  SimulationSettings Settings_;
  pcg64 Random_;
  TimePoint Start_{std::chrono::hours(1)};
  TimePoint Now_ = Start_;
  std::priority_queue<Event> Events_;
  std::uint64_t NextEvent_ = 0;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::map<EndpointName, std::size_t> ExecutorIndexes_;
};

/// Returns the name of the zone with number \p Zone.
ZoneName zoneName(int Zone);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_WORLD_H
