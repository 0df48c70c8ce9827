#include "executor.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace review {

using filbertspring::AsyncHttpServer;
using filbertspring::AsyncServerLimits;
using filbertspring::Duration;
using filbertspring::HttpAnswer;
using filbertspring::HttpRequest;
using filbertspring::HttpResponder;
using filbertspring::SchedulerClock;
using filbertspring::TimePoint;

namespace {

constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;
constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(5);

} // namespace

std::size_t RunList::add(RunEntry Entry) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Entries_.push_back(std::move(Entry));
  return Entries_.size() - 1;
}

void RunList::end(std::size_t Index, std::int64_t Ms, const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Entries_[Index].EndedMs_ = Ms;
  Entries_[Index].How_ = How;
}

void RunList::noteTaken(std::size_t Index, std::int64_t Ms) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Entries_[Index].TakenMs_ = Ms;
}

std::vector<RunEntry> RunList::entries() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Entries_;
}

Executor::Executor(Record &Log, RunList &Runs, const ExecutorSettings &Settings,
                   std::string Id, std::string Zone, std::string Rack,
                   std::string Address)
    : Log_(Log), RunList_(Runs), Settings_(Settings), Id_(std::move(Id)),
      Zone_(std::move(Zone)), Rack_(std::move(Rack)),
      Address_(std::move(Address)) {}

Executor::~Executor() {
  if (isUp())
    crash();
}

void Executor::start(Duration Delay) {
  Loop_ = std::make_unique<filbertspring::EventLoop>();
  Server_ = std::make_unique<AsyncHttpServer>(
      *Loop_, AsyncServerLimits(),
      [this](const HttpRequest &Request, const HttpResponder &Respond) {
        handle(Request, Respond);
      });
  if (!Server_->listen(Address_))
    throw std::runtime_error("an executor cannot listen");
  StartedAt_ = SchedulerClock::now();
  BornMs_ = std::max(filbertspring::wallMilliseconds(), BornMs_ + 1);
  NextRegistrationAt_ = StartedAt_ + Delay;
  Sequence_ = Token_ = LastEnd_ = 0;
  DeadlineMs_ = 0;
  HighestEnded_.clear();
  Ends_.clear();
  Log_.line("executor " + Id_ + " starts, born " + std::to_string(BornMs_));
  Thread_ = std::thread([this] {
    repeatAdvance();
    Loop_->run();
  });
}

void Executor::repeatAdvance() {
  advance();
  Loop_->after(TickInterval, [this] { repeatAdvance(); });
}

void Executor::crash() {
  Loop_->stop();
  Thread_.join();
  Log_.line("executor " + Id_ + " crashes with " +
            std::to_string(Runs_.size()) + " runs");
  for (const auto &[Task, Active] : Runs_)
    RunList_.end(Active.Entry_, Log_.now(), "crashed");
  Runs_.clear();
  Waiting_.clear();
  Server_.reset();
  Loop_.reset();
}

std::int64_t Executor::clockMs() const {
  return (SchedulerClock::now() - StartedAt_) / Millisecond;
}

HttpAnswer Executor::answer(int Status, Json Body) const {
  Body["ClockMs"] = clockMs();
  HttpAnswer Answer;
  Answer.Status_ = Status;
  Answer.Body_ = Body.dump();
  return Answer;
}

void Executor::handle(const HttpRequest &Request,
                      const HttpResponder &Respond) {
  Duration Delay = Request.Path_ == "/hold"
                       ? std::exchange(HoldDelay_, Duration::zero())
                       : Duration::zero();
  if (Delay > Duration::zero()) {
    Log_.line("a renewal of executor " + Id_ +
              " is on its way for long: " + Request.Body_);
    return Loop_->after(Delay, [this, Request, Respond] {
      Log_.line("that renewal arrives at executor " + Id_);
      handle(Request, Respond);
    });
  }
  Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return Respond(answer(400, Json::object()));
  if (Request.header("X-Filbertspring-Expected-Instance") != Id_)
    return Respond(answer(421, Json::object()));
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < Token_)
    return Respond(answer(409, {{"Reason", "fence"}}));
  Token_ = Token;
  if (Request.Path_ == "/run-start")
    return Respond(startRun(Body));
  if (Request.Path_ == "/run-stop")
    return Respond(stopRun(Body));
  if (Request.Path_ == "/hold")
    return hold(Body, Respond);
  Respond(answer(200, Json::object()));
}

void Executor::hold(const Json &Body, const HttpResponder &Respond) {
  LastHoldMs_ = Log_.now();
  if (Body.contains("DeadlineMs"))
    extendLease(Body["DeadlineMs"]);
  auto LastSeen = Body.value("LastSeen", std::uint64_t{0});
  for (; !Ends_.empty() && Ends_.front().Number_ <= LastSeen;
       Ends_.pop_front()) {
    const End &Seen = Ends_.front();
    RunList_.noteTaken(Seen.Entry_, Log_.now());
    Log_.line("executor " + Id_ + ": LastSeen " + std::to_string(LastSeen) +
              " takes note of end " + std::to_string(Seen.Number_) + ", task " +
              Seen.Task_ + " run " + std::to_string(Seen.Run_) + " " +
              Seen.How_);
  }
  std::int64_t WaitMs =
      std::min(MaxWaitMs, Body.value("WaitMs", std::int64_t{0}));
  Waiting_.push_back({SchedulerClock::now() + WaitMs * Millisecond, Respond});
  advance();
}

void Executor::extendLease(std::int64_t DeadlineMs) {
  DeadlineMs_ = std::max(
      DeadlineMs_, std::min(DeadlineMs, clockMs() + Settings_.MaxHoldMs_));
}

HttpAnswer Executor::startRun(const Json &Body) {
  std::string Task = Body.at("Task");
  std::uint64_t Run = Body.at("Run");
  std::int64_t Deadline = Body.at("DeadlineMs");
  if (Body.value("Spec", "").size() > Settings_.MaxSpecBytes_)
    return answer(400, Json::object());
  auto Active = Runs_.find(Task);
  if (Active != Runs_.end() && Active->second.Run_ == Run)
    return answer(200, Json::object());
  if (Deadline <= clockMs())
    return answer(409, {{"Reason", "late"}});
  extendLease(Deadline);
  if (Active != Runs_.end() || Run <= HighestEnded_[Task])
    return answer(409, {{"Reason", "old"}});
  Work Planned = Settings_.WorkOf_(Task, Run);
  std::size_t Entry = RunList_.add({Task, Run, Id_, Log_.now(), -1, ""});
  Runs_[Task] = {Run, Entry, SchedulerClock::now() + Planned.Time_,
                 Planned.How_, false};
  Log_.line("executor " + Id_ + " starts task " + Task + " run " +
            std::to_string(Run) + " at its clock " + std::to_string(clockMs()));
  return answer(200, Json::object());
}

HttpAnswer Executor::stopRun(const Json &Body) {
  std::string Task = Body.at("Task");
  std::uint64_t Run = Body.at("Run");
  std::uint64_t &Highest = HighestEnded_[Task];
  Highest = std::max(Highest, Run);
  auto Active = Runs_.find(Task);
  if (Active != Runs_.end() && Active->second.Run_ <= Run &&
      !Active->second.IsStopping_) {
    Log_.line("executor " + Id_ + " is told to stop task " + Task + " run " +
              std::to_string(Active->second.Run_));
    Active->second.IsStopping_ = true;
    Active->second.How_ = "stopped";
    Active->second.EndsAt_ =
        SchedulerClock::now() + Settings_.StopMs_ * Millisecond;
  }
  return answer(200, Json::object());
}

HttpAnswer Executor::report() const {
  Json Running = Json::array();
  for (const auto &[Task, Active] : Runs_)
    Running.push_back({Task, Active.Run_, "", 100, 1});
  Json Finished = Json::array();
  for (const End &Each : Ends_)
    if (Finished.size() < MaxListedEnds)
      Finished.push_back({Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
  return answer(
      200, {{"born", BornMs_}, {"Running", Running}, {"Finished", Finished}});
}

void Executor::end(const std::string &Task, const std::string &How) {
  ActiveRun Ended = Runs_.at(Task);
  Runs_.erase(Task);
  RunList_.end(Ended.Entry_, Log_.now(), How);
  std::uint64_t &Highest = HighestEnded_[Task];
  Highest = std::max(Highest, Ended.Run_);
  Ends_.push_back({++LastEnd_, Task, Ended.Run_, How, Ended.Entry_});
  Log_.line("executor " + Id_ + " ends task " + Task + " run " +
            std::to_string(Ended.Run_) + " as " + How);
}

void Executor::advance() {
  TimePoint Now = SchedulerClock::now();
  std::vector<std::pair<std::string, std::string>> Over;
  for (const auto &[Task, Active] : Runs_)
    if (Active.EndsAt_ <= Now)
      Over.emplace_back(Task, Active.How_);
    else if (clockMs() > DeadlineMs_)
      Over.emplace_back(Task, "lapsed");
  for (const auto &[Task, How] : Over)
    end(Task, How);
  for (Waiting &Renewal : std::exchange(Waiting_, {}))
    if (Ends_.empty() && Now < Renewal.Until_)
      Waiting_.push_back(std::move(Renewal));
    else
      Renewal.Respond_(report());
  if (Now >= NextRegistrationAt_)
    registerNow();
}

void Executor::registerNow() {
  NextRegistrationAt_ =
      SchedulerClock::now() + Settings_.HeartbeatMs_ * Millisecond;
  Json Entry = {
      {"Service", Settings_.Service_},
      {"Address", Address_},
      {"Zone", Zone_},
      {"Version", "1"},
      {"Slots", 8},
      {"State", "ready"},
      {"ColdLeftMs", 0},
      {"Capacity",
       {{"Cpu", Settings_.Cpu_}, {"MemMb", Settings_.MemMb_}, {"Gpu", 0}}},
      {"Labels", {"a", Rack_}},
      {"born", BornMs_},
      {"Sequence", ++Sequence_}};
  Settings_.Register_(Id_, Entry.dump());
}

} // namespace review
