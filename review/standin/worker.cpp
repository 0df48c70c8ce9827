#include "worker.h"

#include "record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

constexpr Milliseconds HeartbeatInterval(1500);
constexpr std::int64_t MaxHoldMs = 6000;
/// A stop takes this long; KillTimeoutMs is 200.
constexpr Milliseconds StopTime(60);
/// Ends that one answer lists.
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr Milliseconds WorkInterval(5);

} // namespace

void RunLog::add(const std::string &Worker, const std::string &Task,
                 std::uint64_t Run, const std::string &What) {
  record("run     " + Worker + " " + What + " " + Task + " run " +
         std::to_string(Run));
  std::lock_guard<std::mutex> Lock(Mutex_);
  Events_.push_back({elapsed(), Worker, Task, Run, What});
}

std::vector<RunEvent> RunLog::events() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Events_;
}

std::size_t RunLog::count(const std::string &What) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return static_cast<std::size_t>(
      std::count_if(Events_.begin(), Events_.end(),
                    [&](const RunEvent &Each) { return Each.What_ == What; }));
}

Worker::Worker(Store &Platform, RunLog &Log, WorkOf Decide, std::string Id,
               std::string Zone, std::vector<std::string> Labels)
    : Platform_(Platform), Log_(Log), Decide_(std::move(Decide)),
      Id_(std::move(Id)), Zone_(std::move(Zone)), Labels_(std::move(Labels)),
      Server_([this](const Request &Call) { return handle(Call); }),
      Thread_([this] { work(); }) {}

Worker::~Worker() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    IsEnding_ = true;
    ++Life_;
  }
  Changed_.notify_all();
  Thread_.join();
  Server_.stop();
}

void Worker::start(const std::string &Ip) {
  Ip_ = Ip;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++Life_;
  }
  Changed_.notify_all();
  Server_.stop();
  Server_.start(Ip, Port_);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Port_ = Server_.port();
  BornMs_ = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  BornAt_ = Clock::now();
  Sequence_ = 0;
  Token_ = 0;
  DeadlineMs_ = 0;
  LastEnd_ = 0;
  Runs_.clear();
  HighestEnded_.clear();
  Ends_.clear();
  IsUp_ = true;
  IsWithoutPower_ = false;
  NextBeatAt_ = Clock::now();
  record("worker  " + Id_ + " up, born " + std::to_string(BornMs_));
}

void Worker::crash() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    IsUp_ = false;
    ++Life_;
    DownSince_ = Clock::now();
    record("worker  " + Id_ + " crashes");
    for (const auto &[Task, Active] : Runs_)
      Log_.add(Id_, Task, Active.Run_, "crashed");
    Runs_.clear();
  }
  Changed_.notify_all();
  Server_.stop();
}

void Worker::losePower() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    IsUp_ = false;
    IsWithoutPower_ = true;
    ++Life_;
    DownSince_ = Clock::now();
    record("worker  " + Id_ + " loses power");
    for (const auto &[Task, Active] : Runs_)
      Log_.add(Id_, Task, Active.Run_, "crashed");
    Runs_.clear();
  }
  Changed_.notify_all();
}

std::size_t Worker::running() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_.size();
}

std::size_t Worker::openEnds() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Ends_.size();
}

std::int64_t Worker::clockMs() const {
  return 1000 + std::chrono::duration_cast<Milliseconds>(Clock::now() - BornAt_)
                    .count();
}

Answer Worker::reply(int Status, const std::string &Reason) const {
  json Body = {{"ClockMs", clockMs()}};
  if (!Reason.empty())
    Body["Reason"] = Reason;
  return {Status, Body.dump()};
}

std::optional<Answer> Worker::handle(const Request &Call) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  // Nothing that arrives without power is ever answered.
  std::uint64_t Life = Life_;
  if (IsWithoutPower_)
    Changed_.wait(Lock, [&] { return Life_ != Life || IsEnding_; });
  if (!IsUp_ || Life_ != Life)
    return std::nullopt;
  auto Expected = Call.Headers_.find("x-filbertspring-expected-instance");
  if (Expected != Call.Headers_.end() && Expected->second != Id_)
    return reply(421, "");
  json Body = json::parse(Call.Body_, nullptr, false);
  if (!Body.is_object())
    return reply(400, "");
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < Token_)
    return reply(409, "fence");
  Token_ = Token;
  if (Call.Path_ == "/run-start")
    return startRun(Call.Body_);
  if (Call.Path_ == "/run-stop")
    return stopRun(Call.Body_);
  if (Call.Path_ == "/hold")
    return hold(Call.Body_, Lock);
  return Call.Path_ == "/pace" ? reply(200, "") : reply(404, "");
}

/// A deadline applies to everything that runs here, never shortens, and is at
/// most MaxHoldMs away.
void Worker::extendLease(std::int64_t DeadlineMs) {
  DeadlineMs_ =
      std::max(DeadlineMs_, std::min(DeadlineMs, clockMs() + MaxHoldMs));
}

Answer Worker::startRun(const std::string &Text) {
  json Body = json::parse(Text);
  std::string Task = Body.at("Task");
  std::uint64_t Run = Body.at("Run");
  std::int64_t DeadlineMs = Body.at("DeadlineMs");
  auto Active = Runs_.find(Task);
  if (Active != Runs_.end() && Active->second.Run_ == Run)
    return reply(200, "");
  if (DeadlineMs <= clockMs())
    return reply(409, "late");
  extendLease(DeadlineMs);
  if (Active != Runs_.end() || Run <= HighestEnded_[Task])
    return reply(409, "old");
  Runs_[Task] = {Run, Clock::now(), Decide_(Task), {}};
  Log_.add(Id_, Task, Run, "start");
  return reply(200, "");
}

Answer Worker::stopRun(const std::string &Text) {
  json Body = json::parse(Text);
  std::string Task = Body.at("Task");
  std::uint64_t Run = Body.at("Run");
  HighestEnded_[Task] = std::max(HighestEnded_[Task], Run);
  auto Active = Runs_.find(Task);
  if (Active != Runs_.end() && Active->second.Run_ <= Run &&
      !Active->second.StopsAt_)
    Active->second.StopsAt_ = Clock::now() + StopTime;
  return reply(200, "");
}

Answer Worker::hold(const std::string &Text,
                    std::unique_lock<std::mutex> &Lock) {
  json Body = json::parse(Text);
  if (Body.contains("DeadlineMs"))
    extendLease(Body["DeadlineMs"].get<std::int64_t>());
  auto LastSeen = Body.value("LastSeen", std::uint64_t{0});
  while (!Ends_.empty() && Ends_.front().Number_ <= LastSeen)
    Ends_.pop_front();
  std::int64_t WaitMs =
      std::min(MaxWaitMs, Body.value("WaitMs", std::int64_t{0}));
  std::uint64_t Life = Life_;
  Changed_.wait_until(Lock, Clock::now() + Milliseconds(WaitMs),
                      [&] { return !Ends_.empty() || Life_ != Life; });
  json Running = json::array();
  for (const auto &[Task, Active] : Runs_)
    Running.push_back({Task, Active.Run_, "", 100, 500});
  json Finished = json::array();
  for (const End &Each : Ends_) {
    if (Finished.size() == MaxListedEnds)
      break;
    Finished.push_back({Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
  }
  return {200, json{{"ClockMs", clockMs()},
                    {"born", BornMs_},
                    {"Running", Running},
                    {"Finished", Finished}}
                   .dump()};
}

void Worker::endRun(const std::string &Task, const std::string &How) {
  auto Ended = Runs_.find(Task);
  Log_.add(Id_, Task, Ended->second.Run_, How);
  HighestEnded_[Task] = std::max(HighestEnded_[Task], Ended->second.Run_);
  Ends_.push_back({++LastEnd_, Task, Ended->second.Run_, How});
  Runs_.erase(Ended);
}

void Worker::registerAlive() {
  NextBeatAt_ = Clock::now() + HeartbeatInterval;
  IsListed_ = true;
  json Entry = {{"Service", "desk"},
                {"Address", Ip_ + ":" + std::to_string(Port_)},
                {"Zone", Zone_},
                {"Version", "1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity", {{"Cpu", 64000}, {"MemMb", 256000}, {"Gpu", 0}}},
                {"Labels", Labels_},
                {"Machine", "m-" + Id_},
                {"born", BornMs_},
                {"Sequence", ++Sequence_}};
  Platform_.put("servers", Id_, Entry.dump());
}

/// Ends runs whose work is done or whose lease has expired, and writes the
/// entry in the store.
void Worker::work() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (!IsEnding_) {
    Clock::time_point Now = Clock::now();
    if (IsUp_) {
      std::map<std::string, std::string> Ended;
      for (const auto &[Task, Active] : Runs_) {
        if (Active.StopsAt_ && Now >= *Active.StopsAt_)
          Ended[Task] = "stopped";
        else if (Active.Work_.Duration_ &&
                 Now - Active.StartedAt_ >= *Active.Work_.Duration_)
          Ended[Task] = Active.Work_.Fails_ ? "failed" : "done";
        else if (clockMs() > DeadlineMs_)
          Ended[Task] = "lapsed";
      }
      for (const auto &[Task, How] : Ended)
        endRun(Task, How);
      if (!Ended.empty())
        Changed_.notify_all();
      if (Now >= NextBeatAt_)
        registerAlive();
    } else if (IsListed_ && Now - DownSince_ > 3 * HeartbeatInterval) {
      IsListed_ = false;
      Platform_.remove("servers", Id_);
    }
    Lock.unlock();
    std::this_thread::sleep_for(WorkInterval);
    Lock.lock();
  }
}

} // namespace review
