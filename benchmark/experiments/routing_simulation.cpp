#include "routing_simulation.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <unordered_map>

namespace filbertspring::benchmark {

/// An attempt that has not ended at its sender.
struct RoutingSimulation::PendingAttempt {
  SendAttempt Sent_;
  std::size_t Executor_ = 0;
  TimePoint SentAt_;
  TimePoint Opened_;
};

/// An entry instance.
struct RoutingSimulation::Entry {
  Entry(const RouterConfig &Config, std::uint64_t Seed)
      : Router_(Config, Seed) {}

  std::size_t Index_ = 0;
  int Zone_ = 0;
  Router Router_;
  TimePoint NextTickAt_ = TimePoint::max();
  std::unordered_map<std::uint64_t, PendingAttempt> PendingAttempts_;
  std::map<std::pair<std::uint64_t, AttemptNumber>, std::uint64_t> IdByAttempt_;
  std::uint64_t LastAttemptId_ = 0;
  /// When the idle connections to each executor were opened.
  std::vector<std::vector<TimePoint>> Idle_;
  /// Connections to each executor that were opened earlier drop all messages.
  std::vector<TimePoint> SilentBefore_;
};

ZoneName zoneName(int Zone) { return ZoneName(fmt::format("zone-{}", Zone)); }

RoutingSimulation::RoutingSimulation(SimulationSettings Settings,
                                     std::uint64_t Seed)
    : EntryShares_(Settings.EntryShares_), Settings_(std::move(Settings)),
      Random_(Seed) {
  for (int Index = 0; Index < Settings_.Executors_; ++Index) {
    ExecutorModel Node;
    Node.Name_ = fmt::format("executor-{}", Index);
    Node.Zone_ = Index % Settings_.Zones_;
    ExecutorIndexes_[EndpointName(Node.Name_)] = Executors_.size();
    Executors_.push_back(std::move(Node));
  }
  ContractsChanged Contracts;
  for (const CallerStream &Stream : Settings_.Streams_) {
    Contract Terms;
    Terms.Name_ = Stream.Contract_;
    Terms.Services_ = {{ServiceName("check"), std::chrono::milliseconds(250),
                        0.99, Stream.RatePerSecond_, Stream.Concurrency_,
                        Settings_.Deadline_, true}};
    Contracts.Contracts_.push_back(Terms);
  }
  double Sum = std::accumulate(EntryShares_.begin(), EntryShares_.end(), 0.0);
  for (std::size_t Index = 0; Index < EntryShares_.size(); ++Index) {
    RouterConfig Config = Settings_.Router_;
    int Zone = static_cast<int>(Index) % Settings_.Zones_;
    Config.Zone_ = zoneName(Zone);
    Config.InterZoneRoundTrip_ = Settings_.InterZoneDelay_ * 2;
    auto NewEntry = std::make_unique<Entry>(Config, Seed * 1000 + Index);
    NewEntry->Index_ = Index;
    NewEntry->Zone_ = Zone;
    NewEntry->Idle_.resize(Executors_.size());
    NewEntry->SilentBefore_.resize(Executors_.size());
    deliver(*NewEntry, Contracts);
    auto Permille =
        static_cast<std::int32_t>(1000.0 * EntryShares_[Index] / Sum);
    for (const CallerStream &Stream : Settings_.Streams_)
      deliver(*NewEntry, ShareChanged{Stream.Contract_, Permille});
    Entries_.push_back(std::move(NewEntry));
  }
  publishEndpointList([](const ExecutorModel &) { return true; });
}

RoutingSimulation::~RoutingSimulation() = default;

void RoutingSimulation::at(Duration After, std::function<void()> Action) {
  Events_.push({Start_ + After, NextEvent_++, std::move(Action)});
}

void RoutingSimulation::run() {
  for (std::size_t Stream = 0; Stream < Settings_.Streams_.size(); ++Stream)
    scheduleArrival(Stream);
  TimePoint End = Start_ + Settings_.WarmUp_ + Settings_.Measured_ +
                  Settings_.ExtraArrivalTime_ + Settings_.Deadline_ +
                  std::chrono::seconds(1);
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At_;
    Next.Action_();
  }
}

void RoutingSimulation::publishEndpointList(
    const std::function<bool(const ExecutorModel &)> &Listed) {
  EndpointsListed List;
  for (const ExecutorModel &Node : Executors_) {
    if (!Listed(Node))
      continue;
    ListedInstance Instance;
    Instance.Name_ = InstanceName(Node.Name_);
    Instance.Role_ = InstanceRole::Executor;
    Instance.Zone_ = zoneName(Node.Zone_);
    Instance.Service_ = ServiceName("check");
    Instance.Slots_ = Settings_.Slots_;
    Instance.Http_ = {"127.0.0.1", 1};
    List.Instances_.push_back(Instance);
  }
  for (const std::unique_ptr<Entry> &To : Entries_)
    deliver(*To, List);
}

void RoutingSimulation::silenceConnections(int Executor) {
  for (const std::unique_ptr<Entry> &From : Entries_)
    From->SilentBefore_[static_cast<std::size_t>(Executor)] = Now_;
}

void RoutingSimulation::disconnectZone(int Zone) {
  for (ExecutorModel &Node : Executors_)
    if (Node.Zone_ == Zone)
      Node.Reachable_ = false;
  for (const std::unique_ptr<Entry> &From : Entries_)
    if (From->Zone_ == Zone)
      EntryShares_[From->Index_] = 0.0;
}

void RoutingSimulation::deliver(Entry &To, const RoutingEvent &Event) {
  std::vector<RoutingAction> Out;
  To.Router_.handle(Event, Now_, Out);
  performActions(To, Out);
  scheduleTick(To);
}

void RoutingSimulation::scheduleTick(Entry &From) {
  std::optional<TimePoint> Wake = From.Router_.nextWake();
  if (!Wake || *Wake >= From.NextTickAt_)
    return;
  From.NextTickAt_ = *Wake;
  at(*Wake - Start_, [this, &From, Due = *Wake] {
    if (From.NextTickAt_ != Due)
      return;
    From.NextTickAt_ = TimePoint::max();
    deliver(From, Tick{});
  });
}

void RoutingSimulation::performActions(Entry &From,
                                       const std::vector<RoutingAction> &Out) {
  for (const RoutingAction &Action : Out) {
    if (const auto *Sent = std::get_if<SendAttempt>(&Action))
      send(From, *Sent);
    if (const auto *Answer = std::get_if<AnswerCaller>(&Action))
      recordAnswer(*Answer);
    if (const auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
      std::uint64_t Number =
          From.IdByAttempt_.at({Cancel->Ticket_, Cancel->Attempt_});
      at(Now_ - Start_, [this, Index = From.Index_, Number] {
        finishAttempt(Index, Number, AttemptResult::Cancelled, {});
      });
    }
    if (const auto *Drop = std::get_if<DropConnections>(&Action)) {
      std::vector<TimePoint> &Idle =
          From.Idle_[ExecutorIndexes_.at(Drop->Endpoint_)];
      std::erase_if(
          Idle, [&](TimePoint Opened) { return Opened < Drop->OpenedBefore_; });
    }
  }
}

void RoutingSimulation::send(Entry &From, const SendAttempt &Sent) {
  std::size_t Target = ExecutorIndexes_.at(Sent.Endpoint_);
  const ExecutorModel &Node = Executors_[Target];
  if (measuring()) {
    ++Counts_.Attempts_;
    Counts_.Sent_ += Sent.Attempt_ == 1 ? 1 : 0;
  }
  std::uint64_t Number = ++From.LastAttemptId_;
  PendingAttempt Item{Sent, Target, Now_, Now_};
  std::vector<TimePoint> &Idle = From.Idle_[Target];
  Duration OneWayDelay = delay(From.Zone_, Node.Zone_);
  bool Reuse = !Sent.FreshConnection_ && !Idle.empty();
  if (Reuse) {
    Item.Opened_ = Idle.back();
    Idle.pop_back();
  }
  bool Silent = Reuse && Item.Opened_ < From.SilentBefore_[Target];
  From.IdByAttempt_[{Sent.Ticket_, Sent.Attempt_}] = Number;
  From.PendingAttempts_.emplace(Number, Item);
  Duration After = Now_ - Start_;
  std::size_t Index = From.Index_;
  at(After + Sent.Timeout_, [this, Index, Number] {
    finishAttempt(Index, Number, AttemptResult::TimedOut, {});
  });
  if (Silent || !Node.Reachable_)
    return;
  if (!Node.Alive_) {
    at(After + OneWayDelay * 2, [this, Index, Number] {
      finishAttempt(Index, Number, AttemptResult::ConnectFailed, {});
    });
    return;
  }
  // A new connection costs one round trip before the request.
  Duration Handshake = Reuse ? Duration::zero() : OneWayDelay * 2;
  at(After + Handshake + OneWayDelay,
     [this, Index, Number] { arriveAtExecutor(Index, Number); });
}

void RoutingSimulation::arriveAtExecutor(std::size_t From,
                                         std::uint64_t Number) {
  auto It = Entries_[From]->PendingAttempts_.find(Number);
  if (It == Entries_[From]->PendingAttempts_.end())
    return; // The sender closed the connection.
  ExecutorModel &Node = Executors_[It->second.Executor_];
  if (!Node.Alive_ || !Node.Reachable_)
    return;
  if (Node.Leaving_) {
    answerFrom(Node, From, Number, AttemptResult::RefusedLeaving);
    return;
  }
  auto RequestCount =
      Node.Running_ + static_cast<std::int64_t>(Node.Waiting_.size());
  if (RequestCount >= Settings_.Slots_ + Settings_.Backlog_) {
    answerFrom(Node, From, Number, AttemptResult::RefusedBusy);
    return;
  }
  if (Node.Running_ < Settings_.Slots_) {
    startOn(Node, From, Number);
    return;
  }
  Node.Waiting_.emplace_back(
      [this, &Node, From, Number] { startOn(Node, From, Number); });
}

void RoutingSimulation::startOn(ExecutorModel &Node, std::size_t From,
                                std::uint64_t Number) {
  ++Node.Running_;
  ++Node.Runs_;
  at(Now_ - Start_ + serviceTime(Node), [this, &Node, From, Number] {
    --Node.Running_;
    answerFrom(Node, From, Number, AttemptResult::Completed);
    if (Node.Waiting_.empty())
      return;
    std::function<void()> Next = std::move(Node.Waiting_.front());
    Node.Waiting_.pop_front();
    Next();
  });
}

void RoutingSimulation::answerFrom(ExecutorModel &Node, std::size_t From,
                                   std::uint64_t Number, AttemptResult Result) {
  if (!Node.Alive_ || !Node.Reachable_)
    return;
  auto RequestCount =
      Node.Running_ + static_cast<std::int64_t>(Node.Waiting_.size());
  ObservedLoad Load{RequestCount, Settings_.Slots_, Node.Leaving_};
  Duration OneWayDelay = delay(Entries_[From]->Zone_, Node.Zone_);
  at(Now_ - Start_ + OneWayDelay, [this, From, Number, Result, Load] {
    finishAttempt(From, Number, Result, Load);
  });
}

void RoutingSimulation::finishAttempt(std::size_t From, std::uint64_t Number,
                                      AttemptResult Result,
                                      std::optional<ObservedLoad> Load) {
  Entry &Sender = *Entries_[From];
  auto It = Sender.PendingAttempts_.find(Number);
  if (It == Sender.PendingAttempts_.end())
    return;
  PendingAttempt Item = std::move(It->second);
  Sender.PendingAttempts_.erase(It);
  Sender.IdByAttempt_.erase({Item.Sent_.Ticket_, Item.Sent_.Attempt_});
  bool Answered = Load.has_value();
  if (Answered)
    Sender.Idle_[Item.Executor_].push_back(Item.Opened_);
  if (measuring()) {
    Counts_.Busy_ += Result == AttemptResult::RefusedBusy ? 1 : 0;
    bool Remote = Executors_[Item.Executor_].Zone_ != Sender.Zone_;
    Counts_.Remote_ += Result == AttemptResult::Completed && Remote ? 1 : 0;
  }
  deliver(Sender, AttemptEnded{Item.Sent_.Ticket_, Item.Sent_.Attempt_,
                               Item.Sent_.Endpoint_, Result, Load,
                               Now_ - Item.SentAt_});
}

void RoutingSimulation::scheduleArrival(std::size_t Stream) {
  double PerSecond = Settings_.Streams_[Stream].PerSecond_;
  double Gap = -std::log(1.0 - uniform()) / PerSecond;
  Duration After = Now_ - Start_ + Duration(std::llround(Gap * 1e6));
  if (After >
      Settings_.WarmUp_ + Settings_.Measured_ + Settings_.ExtraArrivalTime_)
    return;
  at(After, [this, Stream] {
    handleArrival(Stream);
    scheduleArrival(Stream);
  });
}

void RoutingSimulation::handleArrival(std::size_t Stream) {
  double Sum = std::accumulate(EntryShares_.begin(), EntryShares_.end(), 0.0);
  double Drawn = uniform() * Sum;
  std::size_t Index = 0;
  while (Index + 1 < EntryShares_.size() && Drawn >= EntryShares_[Index])
    Drawn -= EntryShares_[Index++];
  if (measuring())
    ++Counts_.Requests_;
  std::uint64_t Ticket = Records_.size();
  Records_.push_back({Stream, Now_});
  const CallerStream &Caller = Settings_.Streams_[Stream];
  RequestArrived Event{Ticket,
                       RequestId(),
                       Caller.Contract_,
                       ServiceName("check"),
                       Now_ + Settings_.Deadline_,
                       Caller.Idempotent_};
  at(Now_ - Start_ + Settings_.ClientDelay_,
     [this, Index, Event] { deliver(*Entries_[Index], Event); });
}

void RoutingSimulation::recordAnswer(const AnswerCaller &Answer) {
  RequestRecord &Record = Records_[Answer.Ticket_];
  Record.Outcome_ = Answer.Outcome_;
  Record.Latency_ = Now_ + Settings_.ClientDelay_ - Record.IntendedAt_;
}

Duration RoutingSimulation::delay(int From, int To) {
  Duration Base =
      From == To ? Settings_.LocalDelay_ : Settings_.InterZoneDelay_;
  // Adds random jitter of up to 20 %.
  return Base + Duration(static_cast<std::int64_t>(
                    uniform() * 0.2 * static_cast<double>(Base.count())));
}

Duration RoutingSimulation::serviceTime(const ExecutorModel &Node) {
  double Sigma = Settings_.ServiceSigma_;
  auto Mean = static_cast<double>(Settings_.MeanService_.count());
  std::lognormal_distribution<double> Draw(std::log(Mean) - Sigma * Sigma / 2,
                                           Sigma);
  return Duration(std::llround(Draw(Random_) * Node.SlowdownFactor_) + 1);
}

double RoutingSimulation::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Random_);
}

bool RoutingSimulation::measuring() const {
  Duration Since = Now_ - Start_;
  return Since >= Settings_.WarmUp_ &&
         Since < Settings_.WarmUp_ + Settings_.Measured_;
}

} // namespace filbertspring::benchmark
