/// \file
/// The cases of the review that are scripts. Usage: scene CASE TROUBLE RECORD
///
/// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
/// run.

#include "platform.h"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <iostream>
#include <set>

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// Less than 2.6 times the 11.6 jobs a second of denizkul-plan.
constexpr int WideJobs = 900;
constexpr std::chrono::milliseconds WideInterval{33};

struct Route {
  std::string Name_;
  int Priority_ = 0;
  int Attempts_ = 3;
};

std::string configuration(int Version, const std::vector<Route> &Routes) {
  nlohmann::json List = nlohmann::json::array();
  for (const Route &Each : Routes)
    List.push_back({{"Name", Each.Name_},
                    {"Host", "review.example"},
                    {"PathPrefix", "/" + Each.Name_ + "/"},
                    {"Type", "non_idempotent"},
                    {"TimeoutMs", 3000},
                    {"TargetLatencyMs", 1000},
                    {"Priority", Each.Priority_},
                    {"Service", "desk"},
                    {"Attempts", Each.Attempts_},
                    {"SlackFactor", 2.0}});
  return nlohmann::json{
      {"Version", Version},
      {"Routes", List},
      {"Services", {{{"Name", "desk"}, {"EnforceCapacity", false}}}},
      {"Limits", {{"MaxBodyBytes", 262144}}}}
      .dump();
}

SceneSettings smallDeployment() {
  SceneSettings Settings;
  Settings.Configuration_ = configuration(3, {{"filing", 2}, {"quote"}});
  Settings.Executor_.Service_ = "desk";
  Settings.Executor_.Cpu_ = 64000;
  Settings.Executor_.MemMb_ = 256000;
  Settings.Executor_.WorkOf_ = [](const std::string &, std::uint64_t) {
    return Work{500ms};
  };
  return Settings;
}

/// Hands a job of two tasks in and waits until it is completed, so that a scene
/// begins with a deployment that works.
bool isWorking(Scene &Stage) {
  const std::string Path = "/quote/00000000000000f0";
  Reply Accepted = Stage.client(
      0, "POST", Path,
      R"({"Spec":"first","Steps":[{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":500}]})",
      20);
  return Accepted.Status_ == 200 && Stage.eventually(15000, [&] {
    return Stage.client(1, "GET", Path).state() == "completed";
  });
}

int verdict(Scene &Stage, bool IsBroken, const std::string &Text) {
  Stage.log().line((IsBroken ? "BROKEN: " : "held: ") + Text);
  std::cout << (IsBroken ? "BROKEN: " : "held: ") << Text << "\n";
  return IsBroken ? Broken : Held;
}

/// A job whose number of tasks overflows is accepted, and ends each owner.
int overflow(Record &Log, bool HasTrouble) {
  Scene Stage(Log, smallDeployment());
  if (!Stage.start() || !isWorking(Stage))
    return CannotRun;
  if (HasTrouble)
    Stage.client(
        1, "POST", "/filing/00000000000000b1",
        R"({"Spec":"x","Steps":[{"Count":4294967295,"Cpu":1000,"MemMb":64},)"
        R"({"Count":4294967295,"Cpu":1000,"MemMb":64},)"
        R"({"Count":2,"Cpu":1000,"MemMb":64}],)"
        R"("RepeatCount":2147483648,"IntervalMs":1000})",
        1);
  std::this_thread::sleep_for(2s);
  const std::string Job = "00000000000000a1";
  Reply Accepted = Stage.client(
      2, "POST", "/quote/" + Job,
      R"({"Spec":"honest","Steps":[{"Count":4,"Cpu":1000,"MemMb":64,"EstimateMs":500}]})",
      20);
  if (Accepted.Status_ != 200)
    return CannotRun;
  // With no answer, a client asks other nodes.
  bool IsCompleted = Stage.eventually(30000, [&] {
    std::this_thread::sleep_for(500ms);
    return Stage.client(2, "GET", "/quote/" + Job).state() == "completed";
  });
  auto Runs = Stage.runs().entries();
  auto Started =
      std::count_if(Runs.begin(), Runs.end(), [&Job](const RunEntry &Each) {
        return Each.Task_.starts_with(Job);
      });
  std::string Ends;
  for (const Node &Each : Stage.nodes())
    Ends += fmt::format(" {}: {} ended by itself, {} over its memory;",
                        Each.Name_, Each.OwnEnds_, Each.MemoryKills_);
  return verdict(Stage, !IsCompleted,
                 fmt::format("an accepted job of 4 tasks, {} started, {} "
                             "completed within 30 s.{}",
                             Started, IsCompleted ? "is" : "is not", Ends));
}

/// Executors that joined a second ago crash and are back at once. They accept
/// starts before their registration shows that they have restarted. The other
/// executors are full until just before that.
int restart(Record &Log, bool HasTrouble) {
  SceneSettings Settings = smallDeployment();
  Settings.Executor_.WorkOf_ = [](const std::string &Task, std::uint64_t) {
    if (Task.starts_with("00000000000000f0"))
      return Work{500ms};
    return Work{Task.starts_with("00000000000000a7") ? 5000ms : 4000ms};
  };
  Settings.Executors_ = 48;
  Scene Stage(Log, std::move(Settings));
  const std::vector<std::size_t> Joining = {44, 45, 46, 47};
  if (!Stage.start(Joining) || !isWorking(Stage))
    return CannotRun;
  auto CountRuns = [&Stage](const std::string &Job) {
    std::vector<RunEntry> Runs = Stage.runs().entries();
    return std::count_if(Runs.begin(), Runs.end(), [&](const RunEntry &Each) {
      return Each.Task_.starts_with(Job);
    });
  };
  Reply First = Stage.client(
      1, "POST", "/quote/00000000000000a7",
      R"({"Spec":"first","Steps":[{"Count":352,"Cpu":8000,"MemMb":1024,"EstimateMs":5000}]})",
      20);
  if (First.Status_ != 200 || !Stage.eventually(5000, [&] {
        return CountRuns("00000000000000a7") == 352;
      }))
    return CannotRun;
  std::this_thread::sleep_for(3100ms);
  for (std::size_t Index : Joining)
    Stage.executor(Index).start(0ms);
  std::this_thread::sleep_for(1000ms);
  if (HasTrouble) {
    for (std::size_t Index : Joining)
      Stage.executor(Index).crash();
    std::this_thread::sleep_for(100ms);
    for (std::size_t Index : Joining)
      Stage.executor(Index).start(1000ms);
  }
  std::this_thread::sleep_for(500ms);
  const std::string Job = "00000000000000a2";
  Reply Accepted = Stage.client(
      0, "POST", "/filing/" + Job,
      R"({"Spec":"work","Steps":[{"Count":24,"Cpu":8000,"MemMb":1024,"EstimateMs":5000}]})",
      20);
  if (Accepted.Status_ != 200 || !Stage.eventually(30000, [&] {
        std::this_thread::sleep_for(500ms);
        return Stage.client(1, "GET", "/filing/" + Job).state() == "completed";
      }))
    return CannotRun;
  std::vector<RunEntry> Runs = Stage.runs().entries();
  std::size_t Doubled = 0;
  std::int64_t Longest = 0;
  for (const RunEntry &Early : Runs)
    for (const RunEntry &Late : Runs) {
      bool IsLater = Late.StartedMs_ > Early.StartedMs_ ||
                     (Late.StartedMs_ == Early.StartedMs_ && &Late > &Early);
      std::int64_t Both = std::min(Early.EndedMs_, Late.EndedMs_) -
                          std::max(Early.StartedMs_, Late.StartedMs_);
      if (Early.Task_ != Late.Task_ || !IsLater || Both <= 0)
        continue;
      ++Doubled;
      Longest = std::max(Longest, Both);
      Log.line(fmt::format("task {} ran twice for {} ms: run {} on {} from {} "
                           "to {} ms ({}), run "
                           "{} on {} from {} to {} ms ({})",
                           Early.Task_, Both, Early.Run_, Early.Executor_,
                           Early.StartedMs_, Early.EndedMs_, Early.How_,
                           Late.Run_, Late.Executor_, Late.StartedMs_,
                           Late.EndedMs_, Late.How_));
    }
  return verdict(
      Stage, Doubled > 0,
      fmt::format("{} tasks of 24 had two runs at the same time, for "
                  "{} ms at most",
                  Doubled, Longest));
}

/// Jobs of the most tasks that are accepted come at a rate of the deployment's
/// bursts. Their tasks do not fit into the memory of the owner.
int wide(Record &Log, bool HasTrouble) {
  SceneSettings Settings = smallDeployment();
  Settings.Executor_.WorkOf_ = [](const std::string &Task, std::uint64_t) {
    return Work{Task.starts_with("0000000000000") ? 500ms : 2700ms};
  };
  Scene Stage(Log, std::move(Settings));
  if (!Stage.start() || !isWorking(Stage))
    return CannotRun;
  int Accepted = 0;
  int Refused = 0;
  for (int Number = 0; Number < WideJobs; ++Number) {
    std::this_thread::sleep_for(WideInterval);
    std::string Body = fmt::format(
        R"({{"Spec":"wide","Steps":[{{"Count":{},"Cpu":7000,"MemMb":13000,"EstimateMs":2700}}]}})",
        HasTrouble ? 2000 : 8);
    Reply Answer = Stage.client(
        static_cast<std::size_t>(Number) % 3, "POST",
        fmt::format("/filing/{:016x}", 0xabc0000 + Number), Body, 2);
    ++(Answer.Status_ == 200 ? Accepted : Refused);
  }
  const std::string Job = "00000000000000a5";
  Reply Honest = Stage.client(
      2, "POST", "/quote/" + Job,
      R"({"Spec":"honest","Steps":[{"Count":4,"Cpu":1000,"MemMb":64,"EstimateMs":500}]})",
      20);
  if (Honest.Status_ != 200)
    return CannotRun;
  bool IsCompleted = Stage.eventually(30000, [&] {
    std::this_thread::sleep_for(500ms);
    return Stage.client(2, "GET", "/quote/" + Job).state() == "completed";
  });
  std::string Ends;
  for (const Node &Each : Stage.nodes())
    Ends += fmt::format(" {}: {} MB at most, {} ended by itself, {} over its "
                        "memory;",
                        Each.Name_, Each.HighestMb_, Each.OwnEnds_,
                        Each.MemoryKills_);
  return verdict(Stage, !IsCompleted,
                 fmt::format("{} wide jobs accepted, {} refused; the last job, "
                             "of 4 tasks and the first priority, {} completed "
                             "within 30 s.{}",
                             Accepted, Refused, IsCompleted ? "is" : "is not",
                             Ends));
}

/// An executor that has done tasks before restarts unseen. A renewal with the
/// LastSeen of its earlier life arrives when the new life has an end to list.
int acknowledged(Record &Log, bool HasTrouble) {
  SceneSettings Settings = smallDeployment();
  Settings.Executor_.WorkOf_ = [](const std::string &Task, std::uint64_t) {
    return Work{Task.starts_with("00000000000000a7") ? 12000ms : 300ms};
  };
  Scene Stage(Log, std::move(Settings));
  if (!Stage.start() || !isWorking(Stage))
    return CannotRun;
  // Eight tasks on each of the eight executors, and then one on seven of them.
  Reply First = Stage.client(
      1, "POST", "/quote/00000000000000a8",
      R"({"Spec":"first","Steps":[{"Count":64,"Cpu":8000,"MemMb":1024,"EstimateMs":300}]})",
      20);
  auto AreAllTaken = [&Stage] {
    std::vector<RunEntry> Runs = Stage.runs().entries();
    return Runs.size() >= 66 &&
           std::all_of(Runs.begin(), Runs.end(),
                       [](const RunEntry &Each) { return Each.TakenMs_ >= 0; });
  };
  if (First.Status_ != 200 || !Stage.eventually(10000, AreAllTaken))
    return CannotRun;
  Reply Second = Stage.client(
      1, "POST", "/quote/00000000000000a7",
      R"({"Spec":"second","Steps":[{"Count":7,"Cpu":60000,"MemMb":1024,"EstimateMs":12000}]})",
      20);
  std::set<std::string> Busy;
  if (Second.Status_ != 200 || !Stage.eventually(5000, [&] {
        for (const RunEntry &Each : Stage.runs().entries())
          if (Each.Task_.starts_with("00000000000000a7"))
            Busy.insert(Each.Executor_);
        return Busy.size() == 7;
      }))
    return CannotRun;
  std::size_t Idle = 0;
  while (Busy.contains(Stage.executor(Idle).id()))
    ++Idle;
  Executor &Restarted = Stage.executor(Idle);
  // The owner asks an idle executor each 2 s.
  std::int64_t Asked = Restarted.lastHoldMs();
  if (!Stage.eventually(5000, [&] { return Restarted.lastHoldMs() != Asked; }))
    return CannotRun;
  std::this_thread::sleep_for(200ms);
  if (HasTrouble) {
    Restarted.crash();
    std::this_thread::sleep_for(50ms);
    Restarted.delayFirstHold(1000ms);
    Restarted.start(1500ms);
  }
  std::this_thread::sleep_for(50ms);
  const std::string Job = "00000000000000a6";
  Reply Accepted = Stage.client(
      0, "POST", "/filing/" + Job,
      R"({"Spec":"filing","Steps":[{"Count":2,"Cpu":8000,"MemMb":1024,"EstimateMs":300}]})",
      20);
  if (Accepted.Status_ != 200 || !Stage.eventually(20000, [&] {
        std::this_thread::sleep_for(300ms);
        return Stage.client(1, "GET", "/filing/" + Job).state() == "completed";
      }))
    return CannotRun;
  std::this_thread::sleep_for(2500ms);
  std::vector<RunEntry> Runs = Stage.runs().entries();
  int Again = 0;
  for (const RunEntry &Early : Runs)
    for (const RunEntry &Late : Runs) {
      if (Early.Task_ != Late.Task_ || Early.How_ != "done" ||
          Early.TakenMs_ < 0 || Late.StartedMs_ <= Early.EndedMs_)
        continue;
      ++Again;
      Log.line(fmt::format(
          "task {} starts again as run {} on {} at {} ms; its run {} on {} "
          "ended 'done' at {} ms, and LastSeen reached that end at {} ms",
          Late.Task_, Late.Run_, Late.Executor_, Late.StartedMs_, Early.Run_,
          Early.Executor_, Early.EndedMs_, Early.TakenMs_));
    }
  return verdict(
      Stage, Again > 0,
      fmt::format("{} tasks of 2 started again after a run had ended "
                  "'done' and that end had been taken note of",
                  Again));
}

int run(const std::string &Case, bool HasTrouble, Record &Log) {
  if (Case == "acknowledged")
    return acknowledged(Log, HasTrouble);
  if (Case == "wide")
    return wide(Log, HasTrouble);
  if (Case == "restart")
    return restart(Log, HasTrouble);
  if (Case == "overflow")
    return overflow(Log, HasTrouble);
  return CannotRun;
}

} // namespace
} // namespace review

int main(int Count, char **Arguments) {
  if (Count != 4)
    return 2;
  review::endNodesOnSignals();
  try {
    review::Record Log(Arguments[3]);
    if (!Log.isOpen())
      return 2;
    return review::run(Arguments[1], std::string(Arguments[2]) != "0", Log);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}
