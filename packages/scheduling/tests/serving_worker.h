#ifndef FILBERTSPRING_SCHEDULING_TESTS_SERVING_WORKER_H
#define FILBERTSPRING_SCHEDULING_TESTS_SERVING_WORKER_H

/// \file
/// A simulation in virtual time of one worker whose fillers lengthen the tail
/// latency of a serving task.

#include "cell_fixture.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

namespace filbertspring::scheduling::test {

/// What is lost of a call. The caller learns of it after a timeout. A delayed
/// call has no answer and is executed later than the next ones.
enum class LostCall { None, Command, Answer, Delayed };

class ServingWorker : private Cell {
public:
  ServingWorker();

  void startServing();
  /// Submits \p Jobs jobs of \p Width fillers each, of several images.
  void submitFillers(int Jobs, std::uint32_t Width);
  void run(Duration Time);

  /// Sets what a filler that uses the whole worker adds to the logarithm of the
  /// tail latency.
  void setEffect(double Effect) { Effect_ = Effect; }
  /// Reported tail latencies vary as those of real workers.
  void setReportNoise(std::uint64_t Seed) {
    Random_.seed(Seed);
    HasNoise_ = true;
  }
  /// The answers to renewals take this much longer.
  void setReportDelay(Duration Delay) { ReportDelay_ = Delay; }
  /// The first call of each kind for each run is lost. Suspensions and other
  /// paces are of different kinds.
  void loseFirstPaces(LostCall Lost) { LostPaces_ = Lost; }
  void loseFirstStops(LostCall Lost) { LostStops_ = Lost; }
  void loseFirstStarts(LostCall Lost) { LostStarts_ = Lost; }
  /// Changes the queues and registers the worker again.
  void reconfigure(bool HasSecondQueue);

  /// Returns the number of fillers with a pace above 0.
  std::size_t workingFillers() const;
  /// Returns the longest time for which the tail latency of each half second
  /// was over its target because of fillers.
  Duration longestHarm() const { return LongestHarm_; }

private:
  struct Active {
    TaskName Name_;
    std::uint64_t Run_ = 0;
    bool IsFiller_ = false;
    int PacePercent_ = 100;
    Duration Work_{};
  };

  void tick();
  void work();
  void execute(const Action &NextAction);
  void start(const StartTask &Start);
  void stop(const StopTask &Stop);
  void pace(const PaceTask &Pace);
  void answerDueRenewals();
  void write();
  void endRun(const std::string &Text, EndReason Reason);
  void after(Duration Delay, std::function<void()> Act) {
    Calls_.emplace(Now_ + Delay, std::move(Act));
  }
  /// Returns what is lost of a call, and notes that it was made.
  static LostCall loss(LostCall OfFirst, std::set<std::uint64_t> &Seen,
                       std::uint64_t Run);
  double tailMs() const;
  double reportedTailMs();

  struct Waiting {
    RenewLease Renewal_;
    TimePoint Until_;
  };

  double Effect_ = 0;
  bool HasNoise_ = false;
  Duration ReportDelay_{};
  LostCall LostPaces_ = LostCall::None;
  LostCall LostStops_ = LostCall::None;
  LostCall LostStarts_ = LostCall::None;
  std::set<std::uint64_t> PacedRuns_;
  std::set<std::uint64_t> SuspendedRuns_;
  std::set<std::uint64_t> StoppedRuns_;
  std::set<std::uint64_t> StartedRuns_;
  std::mt19937_64 Random_;
  std::multimap<TimePoint, std::function<void()>> Calls_;
  std::map<std::string, Active> Active_;
  std::vector<EndedTask> Ends_;
  std::uint64_t NextEnd_ = 1;
  std::map<std::string, std::uint64_t> HighestEndedRuns_;
  std::vector<Waiting> WaitingRenewals_;
  bool IsWriting_ = false;
  /// The tail latencies of the last half second.
  std::deque<double> Tails_;
  std::optional<TimePoint> HarmSince_;
  Duration LongestHarm_{};
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_SERVING_WORKER_H
