#include "scenarios.h"

#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace review {
namespace {

constexpr const char *Zones[] = {"zone-a", "zone-b", "zone-c"};

void pause(double Seconds) {
  std::this_thread::sleep_for(
      Milliseconds(static_cast<std::int64_t>(Seconds * 1000)));
}

std::string submitted(const Answer &Reply) {
  return Reply.Status_ == 200 ? "" : "not accepted";
}

/// Adds \p Count executors, spread over the zones and over racks.
void addWorkers(Deployment &Site, int Count, const WorkOf &Decide) {
  for (int Number = 1; Number <= Count; ++Number)
    Site.addWorker("i-" + std::to_string(Number), Zones[Number % 3],
                   {"a", "r" + std::to_string(Number % 3) + "-1"}, Decide);
}

/// Returns the number of starts that break the rule on tasks that run twice,
/// and records each. All ends must have been acknowledged.
std::size_t countDoubleRuns(const Deployment &Site) {
  std::map<std::string, bool> IsDone;
  std::map<std::string, std::string> RunsOn;
  std::size_t Broken = 0;
  for (const RunEvent &Event : Site.Log_.events()) {
    if (Event.What_ != "start") {
      IsDone[Event.Task_] |= Event.What_ == "done";
      RunsOn.erase(Event.Task_);
      continue;
    }
    if (IsDone[Event.Task_] || RunsOn.contains(Event.Task_)) {
      ++Broken;
      record("broken  " + Event.Task_ + " starts on " + Event.Worker_ + " at " +
             std::to_string(Event.At_) + " s " +
             (IsDone[Event.Task_] ? "after it was done"
                                  : "while it runs elsewhere"));
    }
    RunsOn[Event.Task_] = Event.Worker_;
  }
  return Broken;
}

} // namespace

/// Hundreds of short tasks end while the owner of the cell has no power, so
/// that executors list more ends than fit into one answer.
Verdict manyEnds(const std::string &Folder, bool HasTrouble) {
  constexpr int Workers = 3;
  constexpr int JobCount = 3;
  constexpr int Tasks = 700;
  constexpr double EndsAfter = 16.0;
  constexpr double EndsWithin = 3.0;
  constexpr double DownFor = 3.2;
  Deployment Site(Folder);
  Clock::time_point FirstEnd = Clock::now() + std::chrono::hours(1);
  auto Decide = [&FirstEnd](const std::string &Task) {
    // The tasks end one after the other, in the order of their numbers.
    int Index = std::atoi(Task.c_str() + Task.rfind('.') + 1);
    auto EndsAt = FirstEnd + Milliseconds(static_cast<std::int64_t>(
                                 EndsWithin * 1000 * Index / Tasks));
    auto Left = std::chrono::duration_cast<Milliseconds>(EndsAt - Clock::now());
    return Work{std::max(Left, Milliseconds(500)), false};
  };
  addWorkers(Site, Workers, Decide);
  Site.configure(1, true);
  Site.start();
  FirstEnd =
      Clock::now() + Milliseconds(static_cast<std::int64_t>(EndsAfter * 1000));
  std::vector<std::string> Jobs;
  for (int Number = 1; Number <= JobCount; ++Number) {
    Jobs.push_back("00000000000000a" + std::to_string(Number));
    Answer Reply = Site.callAny(
        "POST", "/album/" + Jobs.back(),
        R"({"Spec":"quote","Steps":[{"Count":)" + std::to_string(Tasks) +
            R"(,"Cpu":80,"MemMb":100,"EstimateMs":12000}]})");
    if (!submitted(Reply).empty())
      return Verdict::NotRun;
  }
  std::size_t AllTasks = static_cast<std::size_t>(JobCount) * Tasks;
  bool AllStarted =
      waitUntil([&] { return Site.Log_.count("start") >= AllTasks; },
                Milliseconds(15'000));
  record("check   " + std::to_string(Site.Log_.count("start")) +
         " starts before the first task ends");
  if (!AllStarted)
    return Verdict::NotRun;
  std::this_thread::sleep_until(FirstEnd - Milliseconds(100));
  Node *Owner = Site.owner();
  if (HasTrouble && Owner)
    Owner->signal(SIGKILL);
  pause(DownFor);
  for (const auto &Each : Site.Workers_)
    record("check   an executor has " + std::to_string(Each->openEnds()) +
           " ends that are not acknowledged");
  if (HasTrouble && Owner)
    Owner->start();
  bool AllDone = waitUntil(
      [&] {
        return std::all_of(Jobs.begin(), Jobs.end(), [&](const auto &Job) {
          return Site.stateOf(Job) == "completed";
        });
      },
      Milliseconds(40'000));
  bool AllTaken = waitUntil(
      [&] {
        return std::all_of(
            Site.Workers_.begin(), Site.Workers_.end(),
            [](const auto &Each) { return Each->openEnds() == 0; });
      },
      Milliseconds(10'000));
  std::size_t Broken = countDoubleRuns(Site);
  record("check   jobs completed: " + std::to_string(AllDone) +
         ", all ends taken note of: " + std::to_string(AllTaken) +
         ", starts that break the rule: " + std::to_string(Broken));
  if (!AllTaken)
    return Verdict::NotRun;
  return Broken > 0 ? Verdict::Broken : Verdict::Held;
}

/// The only executor of a kind goes down and up some times, and is sound
/// afterwards. A task that lasts needs that kind.
Verdict crashLoop(const std::string &Folder, bool HasTrouble) {
  constexpr int Crashes = 8;
  constexpr double DownFor = 1.0;
  constexpr double UpFor = 1.2;
  constexpr const char *Job = "00000000000000b1";
  Deployment Site(Folder);
  auto Decide = [](const std::string &) { return Work{}; };
  addWorkers(Site, 19, Decide);
  Site.addWorker("i-special", "zone-a", {"b", "r0-2"}, Decide);
  Site.configure(1, true);
  Site.start();
  Worker &Special = *Site.Workers_.back();
  const std::string Ip = "127.0.1.20";
  Answer Reply = Site.callAny(
      "POST", std::string("/album/") + Job,
      R"({"Spec":"watch","Steps":[{"Count":1,"Cpu":13000,"MemMb":26000,)"
      R"("EstimateMs":320,"Persistent":true,"Constraints":"b"}]})");
  if (!submitted(Reply).empty())
    return Verdict::NotRun;
  if (!waitUntil([&] { return Special.running() == 1; }, Milliseconds(10'000)))
    return Verdict::NotRun;
  pause(2.0);
  for (int Number = 0; Number < Crashes; ++Number) {
    if (HasTrouble)
      Special.crash();
    pause(DownFor);
    if (HasTrouble)
      Special.start(Ip);
    pause(UpFor);
  }
  // Far more than the 6 s after which a task that lasts has to run again.
  pause(20.0);
  std::string State = Site.stateOf(Job);
  std::size_t Failed = Site.Log_.count("failed");
  record(std::string("check   the job is shown as ") + State + "; " +
         std::to_string(Failed) + " runs ended failed; " +
         std::to_string(Special.running()) + " tasks at work");
  if (State == "running" && Special.running() == 1)
    return Verdict::Held;
  return State == "failed" && Failed == 0 ? Verdict::Broken : Verdict::NotRun;
}

/// A node stands still while a client hands a job in. The client gives up,
/// cancels the job at another node, and is told that there is none.
Verdict cancelledUnseen(const std::string &Folder, bool HasTrouble) {
  constexpr double CancelS = 3.0;
  constexpr double FrozenFor = 3.8;
  constexpr const char *Path = "/album/00000000000000c1";
  Deployment Site(Folder);
  auto Decide = [](const std::string &) {
    return Work{Milliseconds(4000), false};
  };
  addWorkers(Site, 6, Decide);
  Site.configure(1, true);
  Site.start();
  Node *Owner = Site.owner();
  if (!Owner)
    return Verdict::NotRun;
  Node &Frozen = Site.otherThan(Owner);
  if (HasTrouble)
    Frozen.signal(SIGSTOP);
  Clock::time_point FrozenAt = Clock::now();
  Answer Sent = Frozen.call(
      "POST", Path,
      R"({"Spec":"permit","Steps":[{"Count":2,"Cpu":7000,"MemMb":13000,)"
      R"("EstimateMs":4000},{"Count":2,"Cpu":7000,"MemMb":13000,)"
      R"("EstimateMs":4000,"After":[0]}]})");
  Answer Cancelled = Owner->call("DELETE", Path, "");
  double CancelledAt = elapsed();
  if (HasTrouble) {
    std::this_thread::sleep_until(
        FrozenAt + Milliseconds(static_cast<std::int64_t>(FrozenFor * 1000)));
    Frozen.signal(SIGCONT);
  }
  pause(16.0);
  Answer Shown = Owner->call("GET", Path, "");
  if (Cancelled.Status_ != 200 && Cancelled.Status_ != 410)
    return Verdict::NotRun;
  std::size_t Broken = 0;
  for (const RunEvent &Event : Site.Log_.events())
    if (Event.What_ == "start" && Event.At_ > CancelledAt + CancelS) {
      ++Broken;
      record("broken  " + Event.Task_ + " starts on " + Event.Worker_ + " " +
             std::to_string(Event.At_ - CancelledAt) +
             " s after the cancelling was acknowledged");
    }
  record("check   handed in: " + std::to_string(Sent.Status_) +
         ", cancelled: " + std::to_string(Cancelled.Status_) +
         ", shown at the end: " + std::to_string(Shown.Status_) + " " +
         Shown.Body_);
  return Broken > 0 ? Verdict::Broken : Verdict::Held;
}

/// An executor loses power just before it gets work, and the owner of the cell
/// stands still. Both are back at the same time, when another node owns the
/// cell.
Verdict staleStart(const std::string &Folder, bool HasTrouble) {
  constexpr double FreezeAt = 0.4;
  constexpr double BackAt = 4.35;
  constexpr const char *Job = "00000000000000f1";
  Deployment Site(Folder);
  auto Decide = [](const std::string &) {
    return Work{Milliseconds(3000), false};
  };
  addWorkers(Site, 8, Decide);
  Site.configure(1, true);
  Site.start();
  Node *Owner = Site.owner();
  if (!Owner)
    return Verdict::NotRun;
  Worker &Lost = *Site.Workers_[3];
  Clock::time_point Begin = Clock::now();
  auto SleepUntil = [Begin](double Seconds) {
    std::this_thread::sleep_until(
        Begin + Milliseconds(static_cast<std::int64_t>(Seconds * 1000)));
  };
  if (HasTrouble)
    Lost.losePower();
  SleepUntil(0.05);
  Answer Reply = Site.otherThan(Owner).call(
      "POST", std::string("/album/") + Job,
      R"({"Spec":"quote","Steps":[{"Count":32,"AntiAffinity":4,"Cpu":4100,"MemMb":8200,)"
      R"("EstimateMs":3000}]})");
  if (!submitted(Reply).empty())
    return Verdict::NotRun;
  SleepUntil(FreezeAt);
  if (HasTrouble)
    Owner->signal(SIGSTOP);
  SleepUntil(BackAt);
  if (HasTrouble) {
    Lost.start("127.0.1.4");
    Owner->signal(SIGCONT);
  }
  waitUntil([&] { return Site.stateOf(Job) == "completed"; },
            Milliseconds(40'000));
  pause(2.0);
  std::size_t Broken = countDoubleRuns(Site);
  record("check   starts that break the rule: " + std::to_string(Broken));
  return Broken > 0 ? Verdict::Broken : Verdict::Held;
}

/// A queue is removed from the configuration and added again while a job runs
/// of which a task fails once; the queue allows for three attempts.
Verdict queueRemoved(const std::string &Folder, bool HasTrouble) {
  constexpr const char *Job = "00000000000000d1";
  Deployment Site(Folder);
  std::atomic<int> Runs = 0;
  auto Decide = [&Runs](const std::string &) {
    return Work{Milliseconds(6000), Runs++ == 0};
  };
  addWorkers(Site, 6, Decide);
  Site.configure(1, true);
  Site.start();
  Answer Reply = Site.callAny(
      "POST", std::string("/album/") + Job,
      R"({"Spec":"permit","Steps":[{"Count":1,"Cpu":7000,"MemMb":13000,)"
      R"("EstimateMs":6000}]})");
  if (!submitted(Reply).empty())
    return Verdict::NotRun;
  pause(3.0);
  if (HasTrouble)
    Site.configure(4, false);
  pause(6.0);
  if (HasTrouble)
    Site.configure(9, true);
  pause(4.0);
  std::string State = Site.stateOf(Job);
  waitUntil(
      [&] {
        State = Site.stateOf(Job);
        return State == "completed" || State == "failed";
      },
      Milliseconds(30'000));
  std::size_t Failed = Site.Log_.count("failed");
  record(std::string("check   the job is shown as ") + State + "; " +
         std::to_string(Failed) + " runs ended failed, 3 attempts");
  if (State == "completed")
    return Verdict::Held;
  return State == "failed" && Failed < 3 ? Verdict::Broken : Verdict::NotRun;
}

} // namespace review
