/// \file
/// Randomized soak: runs the real programs as separate processes, injects
/// overlapping faults from outside and checks what callers, executors and
/// workers see. Usage: soak [--seed N] [--seconds S]

#include "cluster.h"
#include "oracle.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace filbertspring::tests {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int Callers = 4;
/// Time after the last fault in which everything accepted must end: expiry of
/// leases, a takeover and the waiting tasks.
constexpr int RecoverySeconds = 90;

ClusterOptions soakOptions() {
  ClusterOptions Options;
  Options.EntriesPerZone_ = 2;
  Options.ExtraSettings_ = R"({"leases": {
    "worker_lease": "3s", "renew_every": "500ms", "cut_off_grace": "3s",
    "heartbeat_every": "1s", "instance_lapse": "3s"}})";
  return Options;
}

/// What callers were told.
struct CallerLog {
  std::mutex Mutex_;
  /// The last outcome of each request, and those of keyed requests.
  std::map<std::string, std::string> Outcomes_;
  std::map<std::string, std::string> KeyedOutcomes_;
  std::vector<std::string> Jobs_;
};

class Soak {
public:
  Soak(std::uint64_t Seed, int Seconds)
      : Random_(Seed), Seconds_(Seconds), System_(soakOptions()) {}

  /// Returns the broken promises.
  std::vector<std::string> run() {
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([this, Caller] { callUntilStopped(Caller); });
    auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(Seconds_);
    while (std::chrono::steady_clock::now() < End) {
      injectFault();
      std::this_thread::sleep_for(std::chrono::milliseconds(draw(100, 2500)));
    }
    endFaults();
    IsStopped_ = true;
    for (std::thread &Each : Threads)
      Each.join();
    check();
    return std::move(Violations_);
  }

private:
  int draw(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }

  // Callers.

  void callUntilStopped(int Caller) {
    std::mt19937_64 Random(static_cast<std::uint64_t>(Caller) + 1);
    for (int Number = 0; !IsStopped_; ++Number) {
      // The processes behind the entries change, their ports do not.
      const Node &Entry = System_.entries()[Random() % EntryCount];
      std::string Id = fmt::format("c{}-{}", Caller, Number);
      if (Number % 10 == 0)
        submitJob(Entry, Id);
      else
        sendRequest(Entry, Id, Number % 2 == 0);
      std::this_thread::sleep_for(20ms);
    }
  }

  void sendRequest(const Node &Entry, const std::string &Id, bool IsKeyed) {
    Reply Answer = System_.request(Entry, Id, IsKeyed ? "key-" + Id : "");
    std::string Outcome =
        Answer.Status_ == 0 ? "lost" : Answer.header("x-outcome");
    std::lock_guard<std::mutex> Lock(Log_.Mutex_);
    (IsKeyed ? Log_.KeyedOutcomes_ : Log_.Outcomes_)[Id] = Outcome;
  }

  void submitJob(const Node &Entry, const std::string &Id) {
    Reply Answer = System_.submit(Entry, "job-" + Id, 2, 800);
    if (Answer.Status_ != 200 && Answer.Status_ != 201)
      return;
    std::lock_guard<std::mutex> Lock(Log_.Mutex_);
    Log_.Jobs_.push_back(Answer.json()["job"]);
  }

  // Faults.

  void injectFault() {
    Node &Entry = System_.entries()[static_cast<std::size_t>(
        draw(0, static_cast<int>(EntryCount) - 1))];
    switch (draw(0, 6)) {
    case 0:
      return restart(Entry, SIGKILL);
    case 1:
      return restart(Entry, SIGTERM);
    case 2:
      return pause(Entry);
    case 3:
      return System_.setFaults({{"down", true}});
    case 4:
      return System_.setFaults({{"lose_answers", draw(1, 5)}});
    case 5:
      return System_.setFaults(
          {{"cut_zones", {draw(0, 1) ? "bodrum" : "kusadasi"}}});
    default:
      return System_.setFaults({{"down", false},
                                {"delay_ms", draw(0, 300)},
                                {"cut_zones", json::array()}});
    }
  }

  /// Ends the process with \p Signal and starts it again.
  void restart(Node &Entry, int Signal) {
    resume();
    Entry.Process_.signal(Signal);
    if (!Entry.Process_.wait(DrainSeconds))
      Violations_.push_back(Entry.Name_ + " did not end after a signal");
    System_.restartEntry(Entry);
  }

  /// Stops a process, which goes on with the next fault that concerns it.
  void pause(Node &Entry) {
    resume();
    Entry.Process_.signal(SIGSTOP);
    Paused_ = &Entry;
  }

  void resume() {
    if (Paused_)
      Paused_->Process_.signal(SIGCONT);
    Paused_ = nullptr;
  }

  void endFaults() {
    resume();
    System_.setFaults({{"down", false},
                       {"delay_ms", 0},
                       {"lose_answers", 0},
                       {"cut_zones", json::array()}});
  }

  // Promises.

  void check() {
    for (const Node &Entry : System_.entries())
      if (!eventually(
              [&] {
                return System_.request(Entry, "last-" + Entry.Name_)
                           .header("x-outcome") == "completed";
              },
              RecoverySeconds))
        Violations_.push_back(Entry.Name_ + " serves no requests");
    checkJobs();
    checkRequests();
    for (const std::string &Overlap : findOverlaps(taskRunIntervals(System_)))
      Violations_.push_back("task in two places: " + Overlap);
  }

  void checkJobs() {
    const Node &Entry = System_.entries().front();
    for (const std::string &Job : Log_.Jobs_)
      if (!eventually(
              [&] { return countTaskStates(Entry, Job)["finished"] == 2; },
              RecoverySeconds))
        Violations_.push_back(
            fmt::format("accepted job {} does not finish", Job));
  }

  void checkRequests() {
    std::map<std::string, int> Runs = runsByRequest(System_);
    auto Check = [&](const auto &Outcomes, bool IsKeyed) {
      for (const auto &[Id, Outcome] : Outcomes) {
        int Count = Runs.contains(Id) ? Runs[Id] : 0;
        if (Outcome == "not-run" && Count > 0)
          Violations_.push_back(Id + " was answered not-run and has run");
        if (Outcome == "completed" && Count == 0)
          Violations_.push_back(Id + " was answered completed and has not run");
        if (IsKeyed && Count > 1)
          Violations_.push_back(fmt::format("{} ran {} times", Id, Count));
      }
    };
    Check(Log_.Outcomes_, false);
    Check(Log_.KeyedOutcomes_, true);
    std::cout << fmt::format("{} requests, {} keyed, {} jobs\n",
                             Log_.Outcomes_.size(), Log_.KeyedOutcomes_.size(),
                             Log_.Jobs_.size());
  }

  static constexpr std::size_t EntryCount = 4;
  static constexpr int DrainSeconds = 60;

  std::mt19937_64 Random_;
  int Seconds_;
  Cluster System_;
  CallerLog Log_;
  std::atomic<bool> IsStopped_{false};
  Node *Paused_ = nullptr;
  std::vector<std::string> Violations_;
};

int runSoak(int Count, char **Arguments) {
  cxxopts::Options Options("soak", "Randomized soak with injected faults.");
  Options.add_options()("seed", "seed of the faults",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "time with faults",
      cxxopts::value<int>()->default_value("20"))("help", "print this help");
  try {
    cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    auto Seed = Parsed["seed"].as<std::uint64_t>();
    Soak Run(Seed, Parsed["seconds"].as<int>());
    std::vector<std::string> Violations = Run.run();
    for (const std::string &Each : Violations)
      std::cout << fmt::format("seed {}: BROKEN: {}\n", Seed, Each);
    if (Violations.empty())
      std::cout << fmt::format("seed {}: no broken promise\n", Seed);
    return Violations.empty() ? 0 : 1;
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}

} // namespace
} // namespace filbertspring::tests

int main(int Count, char **Arguments) {
  return filbertspring::tests::runSoak(Count, Arguments);
}
