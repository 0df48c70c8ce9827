#ifndef FILBERTSPRING_BENCHMARK_ROUTING_WORLD_H
#define FILBERTSPRING_BENCHMARK_ROUTING_WORLD_H

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

/// The shape of a world.
struct WorldShape {
  int Executors_ = 50;
  std::int64_t Slots_ = 8;
  /// Requests that an executor holds beyond its slots before it refuses.
  std::int64_t Backlog_ = 52;
  int Zones_ = 3;
  /// Share of the arrivals of each entry instance; zones in turn.
  std::vector<double> EntryShares_ = {1, 1, 1, 1, 1, 1};
  Duration MeanService_ = std::chrono::milliseconds(20);
  /// Of the logarithm of the service time.
  double ServiceSigma_ = 0.6;
  Duration LocalDelay_ = std::chrono::microseconds(250);
  Duration InterZoneDelay_ = std::chrono::milliseconds(4);
  Duration ClientDelay_ = std::chrono::milliseconds(1);
  Duration Deadline_ = std::chrono::seconds(2);
  std::vector<CallerStream> Streams_;
  RouterConfig Router_;
  Duration WarmUp_ = std::chrono::seconds(1);
  Duration Measured_ = std::chrono::seconds(5);
  /// Arrivals go on for this long after the measured time.
  Duration Tail_{};
};

/// An executor of the world.
struct ExecutorModel {
  std::string Name_;
  int Zone_ = 0;
  double Slowness_ = 1.0;
  bool Reachable_ = true;
  bool Alive_ = true;
  bool Leaving_ = false;
  std::int64_t Running_ = 0;
  std::deque<std::function<void()>> Waiting_;
  /// Requests that it ran.
  std::int64_t Runs_ = 0;
};

/// What became of one request.
struct RequestRecord {
  std::size_t Stream_ = 0;
  TimePoint Intended_;
  RequestOutcome Outcome_ = RequestOutcome::Unknown;
  /// From the intended time to the answer at the caller.
  Duration Latency_{};
};

/// Counts of a run within its measured time.
struct WorldCounts {
  std::int64_t Requests_ = 0;
  std::int64_t Attempts_ = 0;
  /// Requests with at least one attempt.
  std::int64_t Sent_ = 0;
  std::int64_t Busy_ = 0;
  std::int64_t Remote_ = 0;
};

/// Runs one world. Not thread-safe.
class RoutingWorld {
public:
  RoutingWorld(WorldShape Shape, std::uint64_t Seed);
  ~RoutingWorld();
  RoutingWorld(const RoutingWorld &) = delete;
  RoutingWorld &operator=(const RoutingWorld &) = delete;

  /// Runs \p Action at \p After from the start.
  void at(Duration After, std::function<void()> Action);
  void run();

  std::vector<ExecutorModel> Executors_;
  /// The share of arrivals of each entry instance; may change while it runs.
  std::vector<double> EntryShares_;
  std::vector<RequestRecord> Records_;
  WorldCounts Counts_;

  /// Shows all entry instances the executors for which \p Listed holds.
  void showList(const std::function<bool(const ExecutorModel &)> &Listed);
  /// Makes all open connections from entry instances to \p Executor silent.
  void silenceConnections(int Executor);
  /// The executors' zone \p Zone neither receives nor answers any more.
  void loseZone(int Zone);

private:
  struct Entry;
  struct Flight;

  void send(Entry &From, const SendAttempt &Sent);
  void arriveAtExecutor(std::size_t Entry, std::uint64_t Flight);
  void startOn(ExecutorModel &Node, std::size_t Entry, std::uint64_t Flight);
  void answerFrom(ExecutorModel &Node, std::size_t Entry, std::uint64_t Flight,
                  AttemptResult Result);
  void endFlight(std::size_t Entry, std::uint64_t Flight, AttemptResult Result,
                 std::optional<ObservedLoad> Load);
  void carryOut(Entry &From, const std::vector<RoutingAction> &Out);
  void tell(Entry &To, const RoutingEvent &Event);
  void armTick(Entry &From);
  void arrival(std::size_t Stream);
  void scheduleArrival(std::size_t Stream);
  void answered(const AnswerCaller &Answer);
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

  WorldShape Shape_;
  pcg64 Random_;
  TimePoint Start_{std::chrono::hours(1)};
  TimePoint Now_ = Start_;
  std::priority_queue<Event> Events_;
  std::uint64_t NextEvent_ = 0;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::map<EndpointName, std::size_t> ByName_;
};

/// Returns the name of the zone with number \p Zone.
ZoneName zoneName(int Zone);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_WORLD_H
