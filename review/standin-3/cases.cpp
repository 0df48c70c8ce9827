/// \file
/// Plays the cases of the third review that are scripts. Usage, from the
/// repository's root: cases NAME RECORD. Exits with 1 if the rule was broken,
/// 0 if it held, 2 if the case could not run. With TROUBLE=0 in the
/// environment it plays the same without the disruption.

#include "platform.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace review {
namespace {

bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

/// A small deployment: the store, executors, and three processes in two zones.
struct Deployment {
  explicit Deployment(const std::string &Folder) : Folder_(Folder) {}

  void addExecutors(
      int Count,
      const std::function<void(ExecutorSettings &)> &Adjust = nullptr) {
    for (int Number = 1; Number <= Count; ++Number) {
      ExecutorSettings Settings;
      Settings.Name_ = "e" + std::to_string(Number);
      Settings.Zone_ = Number % 2 == 0 ? "zone-b" : "zone-a";
      // Racks of four.
      Settings.Rack_ = "r" + std::string(Number % 2 == 0 ? "2-" : "1-") +
                       std::to_string(1 + (Number - 1) / 8);
      if (Adjust)
        Adjust(Settings);
      Executors_.push_back(
          std::make_unique<Executor>(Settings, Platform_, Runs_));
      Executors_.back()->start();
    }
  }

  void addNodes() {
    for (const char *Name : {"node-a1", "node-a2", "node-b1"})
      Nodes_.push_back(
          std::make_unique<Node>(Name, Name[5] == 'a' ? "zone-a" : "zone-b",
                                 Platform_.addPort(), Folder_));
    for (const std::unique_ptr<Node> &Each : Nodes_)
      Each->start();
    for (const std::unique_ptr<Node> &Each : Nodes_)
      if (!Each->waitUntilReady(20'000))
        throw std::runtime_error("process " + Each->name() +
                                 " does not become ready");
  }

  /// Submits a job until it is accepted.
  void submit(const std::string &Path, const Json &Job) {
    for (int Try = 0; Try < 20; ++Try) {
      int Status = Nodes_[static_cast<std::size_t>(Try) % Nodes_.size()]
                       ->send("POST", Path, Job.dump())
                       .Status_;
      if (Status == 200)
        return;
      sleepMs(300);
    }
    throw std::runtime_error("the job " + Path + " is not accepted");
  }

  /// Returns the status and the state of a job.
  std::pair<int, std::string> stateOf(const std::string &Path) {
    Response Answer = Nodes_.front()->send("GET", Path);
    Json Body = Json::parse(Answer.Body_, nullptr, false);
    return {Answer.Status_, Body.is_object() ? Body.value("State", "") : ""};
  }

  std::string Folder_;
  RunLog Runs_;
  Store Platform_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  std::vector<std::unique_ptr<Node>> Nodes_;
};

/// The route of a queue is removed and added again while a job of it runs, and
/// the executor fails one run of a task meanwhile. The queue has four attempts
/// in each version that has it.
int playRemovedRoute(Deployment &Site) {
  constexpr int Attempts = 4;
  Site.Platform_.put("op", "config", makeConfiguration(3, true, Attempts));
  Site.addExecutors(8);
  Site.addNodes();
  const std::string Job = "00000000000000a1";
  const std::string Path = "/q/" + Job;
  Site.submit(Path, {{"Spec", "work=6000 fail=1"},
                     {"Steps",
                      {{{"Count", 3},
                        {"Cpu", 1000},
                        {"MemMb", 256},
                        {"EstimateMs", 6000}}}}});
  std::int64_t Begin = nowMs();
  while (Site.Runs_.all().size() < 3 && nowMs() < Begin + 10'000)
    sleepMs(50);
  if (Site.Runs_.all().size() < 3)
    throw std::runtime_error("the tasks do not start");
  sleepMs(1000);
  if (hasTrouble()) {
    Site.Platform_.put("op", "config", makeConfiguration(5, false, Attempts));
    Record::line("operator: version 5, without the route of the queue");
  }
  sleepMs(9000);
  if (hasTrouble()) {
    Site.Platform_.put("op", "config", makeConfiguration(9, true, Attempts));
    Record::line("operator: version 9, with the same route as version 3");
  }
  // More than ConfigApplyMs.
  sleepMs(4000);
  std::pair<int, std::string> State;
  for (std::int64_t End = nowMs() + 25'000; nowMs() < End; sleepMs(1000)) {
    State = Site.stateOf(Path);
    if (State.second == "completed" || State.second == "failed")
      break;
  }
  std::map<std::string, int> Failed;
  int MostFailed = 0;
  for (const RunSeen &Each : Site.Runs_.all())
    if (Each.How_ == "failed")
      MostFailed = std::max(MostFailed, ++Failed[Each.Task_]);
  Record::line(
      "result: the job is shown as " + State.second +
      "; the most ends 'failed' of one task: " + std::to_string(MostFailed) +
      " of " + std::to_string(Attempts) + " attempts");
  if (State.first != 200 ||
      (State.second != "completed" && State.second != "failed"))
    throw std::runtime_error("the job has no final state");
  return State.second == "failed" && MostFailed < Attempts ? 1 : 0;
}

/// Executors crash at random and come back. No run ends 'failed', and nobody
/// cancels a job.
int playCrashes(Deployment &Site) {
  constexpr int Executors = 16;
  /// 0.14 of them, rounded down.
  constexpr int CrashedAtOnce = 2;
  constexpr int Jobs = 24;
  constexpr int Waves = 36;
  constexpr int WaveMs = 2400;
  constexpr int DownMs = 1000;
  Site.Platform_.put("op", "config", makeConfiguration(3, true, 2));
  Site.addExecutors(Executors);
  Site.addNodes();
  std::vector<std::string> Paths;
  for (int Number = 0; Number < Jobs; ++Number) {
    char Id[20];
    std::snprintf(Id, sizeof(Id), "%016x", 0xb00 + Number);
    Paths.push_back(std::string("/q/") + Id);
    Site.submit(Paths.back(), {{"Spec", "serve"},
                               {"Steps",
                                {{{"Count", 6},
                                  {"Cpu", 3000},
                                  {"MemMb", 512},
                                  {"EstimateMs", 1000},
                                  {"Persistent", true}}}}});
  }
  sleepMs(2500);
  std::mt19937 Random(std::random_device{}());
  for (int Wave = 0; Wave < Waves; ++Wave) {
    std::int64_t Begin = nowMs();
    std::vector<std::size_t> Order(Executors);
    for (std::size_t Index = 0; Index < Order.size(); ++Index)
      Order[Index] = Index;
    std::shuffle(Order.begin(), Order.end(), Random);
    Order.resize(CrashedAtOnce);
    if (hasTrouble())
      for (std::size_t Index : Order)
        Site.Executors_[Index]->crash();
    sleepUntilMs(Begin + DownMs);
    if (hasTrouble())
      for (std::size_t Index : Order)
        Site.Executors_[Index]->start();
    sleepUntilMs(Begin + WaveMs);
  }
  sleepMs(6000);
  int Wrong = 0;
  for (const std::string &Path : Paths) {
    std::string State = Site.stateOf(Path).second;
    std::size_t Failed = Site.Runs_.count(Path.substr(3), "failed");
    if (State != "failed" && State != "cancelled")
      continue;
    ++Wrong;
    Record::line("result: " + Path + " is shown as " + State + " with " +
                 std::to_string(Failed) + " ends 'failed'");
  }
  Record::line("result: " + std::to_string(Wrong) + " of " +
               std::to_string(Jobs) +
               " jobs that nobody cancelled and of "
               "which no run has ended 'failed' are shown as failed or "
               "cancelled");
  return Wrong > 0 ? 1 : 0;
}

/// Another program writes an entry under the id of an executor that works. It
/// lacks fields, so it names no executor to use. The executor's own entry
/// follows with its next heartbeat.
int playOddEntry(Deployment &Site) {
  Site.Platform_.put("op", "config", makeConfiguration(3, true, 2));
  Site.addExecutors(8);
  Site.addNodes();
  const std::string Job = "00000000000000c1";
  Site.submit("/q/" + Job, {{"Spec", "work=15000"},
                            {"Steps",
                             {{{"Count", 4},
                               {"Cpu", 4000},
                               {"MemMb", 512},
                               {"EstimateMs", 15'000}}}}});
  for (std::int64_t End = nowMs() + 10'000;
       Site.Runs_.all().size() < 4 && nowMs() < End;)
    sleepMs(50);
  if (Site.Runs_.all().size() < 4)
    throw std::runtime_error("the tasks do not start");
  sleepMs(3000);
  auto Busy = std::max_element(Site.Executors_.begin(), Site.Executors_.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left->running() < Right->running();
                               });
  if (hasTrouble()) {
    Json Entry = {{"Service", "desk"},
                  {"Address", "127.0.0.1:" + std::to_string(freePort())},
                  {"Zone", (*Busy)->settings().Zone_},
                  {"State", "ready"},
                  {"Capacity", {{"Cpu", 64'000}, {"MemMb", 256'000}}}};
    Site.Platform_.put("servers", (*Busy)->id(), Entry);
    Record::line("another program writes servers/" + (*Busy)->id() + ": " +
                 Entry.dump());
  }
  sleepMs(10'000);
  std::vector<RunSeen> Runs = Site.Runs_.all();
  int Twice = 0;
  for (std::size_t Later = 0; Later < Runs.size(); ++Later)
    for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
      const RunSeen &First = Runs[Earlier];
      const RunSeen &Second = Runs[Later];
      std::int64_t EndMs = First.EndedMs_ < 0 ? nowMs() : First.EndedMs_;
      if (First.Task_ != Second.Task_ || Second.StartedMs_ >= EndMs)
        continue;
      ++Twice;
      Record::line("result: " + First.Task_ + " runs on " + First.Executor_ +
                   " and on " + Second.Executor_ + " at the same time");
    }
  Record::line("result: " + std::to_string(Twice) + " tasks ran twice");
  return Twice > 0 ? 1 : 0;
}

/// An executor is lost for good, and the process that owns the cell is killed a
/// second later and starts again.
int playLostOwner(Deployment &Site) {
  constexpr std::size_t Tasks = 6;
  /// From 6 s after its last run a task must not be away for 3 s, of which the
  /// 4 s before are calm, too; and a second more.
  constexpr std::int64_t LongestAwayMs = 10'000;
  Site.Platform_.put("op", "config", makeConfiguration(3, true, 2));
  Site.addExecutors(8);
  Site.addNodes();
  const std::string Job = "00000000000000d1";
  Site.submit("/q/" + Job, {{"Spec", "serve"},
                            {"Steps",
                             {{{"Count", Tasks},
                               {"Cpu", 4000},
                               {"MemMb", 512},
                               {"EstimateMs", 1000},
                               {"Persistent", true}}}}});
  for (std::int64_t End = nowMs() + 10'000;
       Site.Runs_.all().size() < Tasks && nowMs() < End;)
    sleepMs(50);
  if (Site.Runs_.all().size() < Tasks)
    throw std::runtime_error("the tasks do not start");
  sleepMs(6000);
  std::int64_t LostMs = nowMs();
  if (hasTrouble()) {
    Executor &Lost =
        **std::max_element(Site.Executors_.begin(), Site.Executors_.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left->running() < Right->running();
                           });
    Lost.crash();
    sleepUntilMs(LostMs + 1000);
    std::string Owner = Site.Platform_.get("cells", "cell", "owner");
    for (const std::unique_ptr<Node> &Each : Site.Nodes_)
      if (Owner.find('"' + Each->name() + '"') != std::string::npos) {
        Record::line("process " + Each->name() + " is killed");
        Each->kill();
        sleepMs(500);
        Each->start();
      }
    // Three heartbeats after the last one.
    sleepUntilMs(LostMs + 3 * Lost.settings().HeartbeatMs_);
    Site.Platform_.remove("servers", Lost.id());
  }
  sleepUntilMs(LostMs + 25'000);
  std::map<std::string, std::int64_t> AwaySince;
  std::int64_t LongestMs = 0;
  for (const RunSeen &Each : Site.Runs_.all()) {
    auto Away = AwaySince.find(Each.Task_);
    if (Away != AwaySince.end())
      LongestMs = std::max(LongestMs, Each.StartedMs_ - Away->second);
    AwaySince.erase(Each.Task_);
    if (Each.EndedMs_ >= 0)
      AwaySince[Each.Task_] = Each.EndedMs_;
  }
  for (const auto &[Task, SinceMs] : AwaySince)
    LongestMs = std::max(LongestMs, nowMs() - SinceMs);
  Record::line("result: a task that lasts was away for " +
               std::to_string(LongestMs) +
               " ms, with room for it on 7 idle "
               "executors");
  return LongestMs > LongestAwayMs ? 1 : 0;
}

int play(const std::string &Name, const std::string &RecordPath) {
  Record::open(RecordPath);
  Record::line("case " + Name +
               (hasTrouble() ? "" : " without the disruption"));
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("no temporary folder");
  int Result = 2;
  try {
    Deployment Site(Pattern);
    if (Name == "removed-route")
      Result = playRemovedRoute(Site);
    else if (Name == "lost-owner")
      Result = playLostOwner(Site);
    else if (Name == "odd-entry")
      Result = playOddEntry(Site);
    else if (Name == "crashes")
      Result = playCrashes(Site);
    else
      throw std::runtime_error("no such case");
  } catch (const std::exception &Problem) {
    Record::line(std::string("cannot run: ") + Problem.what());
    std::cerr << "cannot run: " << Problem.what() << '\n';
    Result = 2;
  }
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(Pattern);
  else
    std::cerr << Pattern << '\n';
  Record::line("exit " + std::to_string(Result));
  return Result;
}

} // namespace
} // namespace review

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3)
    return 2;
  try {
    return review::play(Arguments[1], Arguments[2]);
  } catch (const std::exception &Problem) {
    std::cerr << "cannot run: " << Problem.what() << '\n';
    return 2;
  }
}
