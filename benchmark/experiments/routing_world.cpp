#include "routing_world.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <unordered_map>

namespace filbertspring::benchmark {

/// An attempt that its sender waits for.
struct RoutingWorld::Flight {
  SendAttempt Sent_;
  std::size_t Executor_ = 0;
  TimePoint SentAt_;
  TimePoint Opened_;
};

/// An entry instance.
struct RoutingWorld::Entry {
  Entry(const RouterConfig &Config, std::uint64_t Seed)
      : Router_(Config, Seed) {}

  std::size_t Index_ = 0;
  int Zone_ = 0;
  Router Router_;
  TimePoint ArmedFor_ = TimePoint::max();
  std::unordered_map<std::uint64_t, Flight> Flights_;
  std::map<std::pair<std::uint64_t, AttemptNumber>, std::uint64_t> ByAttempt_;
  std::uint64_t NextFlight_ = 0;
  /// When the idle connections to each executor were opened.
  std::vector<std::vector<TimePoint>> Idle_;
  /// Connections to each executor that were opened before are silent.
  std::vector<TimePoint> SilentBefore_;
};

ZoneName zoneName(int Zone) { return ZoneName(fmt::format("zone-{}", Zone)); }

RoutingWorld::RoutingWorld(WorldShape Shape, std::uint64_t Seed)
    : EntryShares_(Shape.EntryShares_), Shape_(std::move(Shape)),
      Random_(Seed) {
  for (int Index = 0; Index < Shape_.Executors_; ++Index) {
    ExecutorModel Node;
    Node.Name_ = fmt::format("executor-{}", Index);
    Node.Zone_ = Index % Shape_.Zones_;
    ByName_[EndpointName(Node.Name_)] = Executors_.size();
    Executors_.push_back(std::move(Node));
  }
  ContractsChanged Contracts;
  for (const CallerStream &Stream : Shape_.Streams_) {
    Contract Terms;
    Terms.Name_ = Stream.Contract_;
    Terms.Services_ = {{ServiceName("check"), std::chrono::milliseconds(250),
                        0.99, Stream.RatePerSecond_, Stream.Concurrency_,
                        Shape_.Deadline_, true}};
    Contracts.Contracts_.push_back(Terms);
  }
  double Sum = std::accumulate(EntryShares_.begin(), EntryShares_.end(), 0.0);
  for (std::size_t Index = 0; Index < EntryShares_.size(); ++Index) {
    RouterConfig Config = Shape_.Router_;
    int Zone = static_cast<int>(Index) % Shape_.Zones_;
    Config.Zone_ = zoneName(Zone);
    Config.InterZoneRoundTrip_ = Shape_.InterZoneDelay_ * 2;
    auto Made = std::make_unique<Entry>(Config, Seed * 1000 + Index);
    Made->Index_ = Index;
    Made->Zone_ = Zone;
    Made->Idle_.resize(Executors_.size());
    Made->SilentBefore_.resize(Executors_.size());
    tell(*Made, Contracts);
    auto Permille =
        static_cast<std::int32_t>(1000.0 * EntryShares_[Index] / Sum);
    for (const CallerStream &Stream : Shape_.Streams_)
      tell(*Made, ShareChanged{Stream.Contract_, Permille});
    Entries_.push_back(std::move(Made));
  }
  showList([](const ExecutorModel &) { return true; });
}

RoutingWorld::~RoutingWorld() = default;

void RoutingWorld::at(Duration After, std::function<void()> Action) {
  Events_.push({Start_ + After, NextEvent_++, std::move(Action)});
}

void RoutingWorld::run() {
  for (std::size_t Stream = 0; Stream < Shape_.Streams_.size(); ++Stream)
    scheduleArrival(Stream);
  TimePoint End = Start_ + Shape_.WarmUp_ + Shape_.Measured_ + Shape_.Tail_ +
                  Shape_.Deadline_ + std::chrono::seconds(1);
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At_;
    Next.Action_();
  }
}

void RoutingWorld::showList(
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
    Instance.Slots_ = Shape_.Slots_;
    Instance.Http_ = {"127.0.0.1", 1};
    List.Instances_.push_back(Instance);
  }
  for (const std::unique_ptr<Entry> &To : Entries_)
    tell(*To, List);
}

void RoutingWorld::silenceConnections(int Executor) {
  for (const std::unique_ptr<Entry> &From : Entries_)
    From->SilentBefore_[static_cast<std::size_t>(Executor)] = Now_;
}

void RoutingWorld::loseZone(int Zone) {
  for (ExecutorModel &Node : Executors_)
    if (Node.Zone_ == Zone)
      Node.Reachable_ = false;
  for (const std::unique_ptr<Entry> &From : Entries_)
    if (From->Zone_ == Zone)
      EntryShares_[From->Index_] = 0.0;
}

void RoutingWorld::tell(Entry &To, const RoutingEvent &Event) {
  std::vector<RoutingAction> Out;
  To.Router_.handle(Event, Now_, Out);
  carryOut(To, Out);
  armTick(To);
}

void RoutingWorld::armTick(Entry &From) {
  std::optional<TimePoint> Wake = From.Router_.nextWake();
  if (!Wake || *Wake >= From.ArmedFor_)
    return;
  From.ArmedFor_ = *Wake;
  at(*Wake - Start_, [this, &From, Due = *Wake] {
    if (From.ArmedFor_ != Due)
      return;
    From.ArmedFor_ = TimePoint::max();
    tell(From, Tick{});
  });
}

void RoutingWorld::carryOut(Entry &From,
                            const std::vector<RoutingAction> &Out) {
  for (const RoutingAction &Action : Out) {
    if (const auto *Sent = std::get_if<SendAttempt>(&Action))
      send(From, *Sent);
    if (const auto *Answer = std::get_if<AnswerCaller>(&Action))
      answered(*Answer);
    if (const auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
      std::uint64_t Number =
          From.ByAttempt_.at({Cancel->Ticket_, Cancel->Attempt_});
      at(Now_ - Start_, [this, Index = From.Index_, Number] {
        endFlight(Index, Number, AttemptResult::Cancelled, {});
      });
    }
    if (const auto *Drop = std::get_if<DropConnections>(&Action)) {
      std::vector<TimePoint> &Idle = From.Idle_[ByName_.at(Drop->Endpoint_)];
      std::erase_if(
          Idle, [&](TimePoint Opened) { return Opened < Drop->OpenedBefore_; });
    }
  }
}

void RoutingWorld::send(Entry &From, const SendAttempt &Sent) {
  std::size_t Target = ByName_.at(Sent.Endpoint_);
  const ExecutorModel &Node = Executors_[Target];
  if (measuring()) {
    ++Counts_.Attempts_;
    Counts_.Sent_ += Sent.Attempt_ == 1 ? 1 : 0;
  }
  std::uint64_t Number = ++From.NextFlight_;
  Flight Item{Sent, Target, Now_, Now_};
  std::vector<TimePoint> &Idle = From.Idle_[Target];
  Duration Way = delay(From.Zone_, Node.Zone_);
  bool Reuse = !Sent.FreshConnection_ && !Idle.empty();
  if (Reuse) {
    Item.Opened_ = Idle.back();
    Idle.pop_back();
  }
  bool Silent = Reuse && Item.Opened_ < From.SilentBefore_[Target];
  From.ByAttempt_[{Sent.Ticket_, Sent.Attempt_}] = Number;
  From.Flights_.emplace(Number, Item);
  Duration After = Now_ - Start_;
  std::size_t Index = From.Index_;
  at(After + Sent.Timeout_, [this, Index, Number] {
    endFlight(Index, Number, AttemptResult::TimedOut, {});
  });
  if (Silent || !Node.Reachable_)
    return;
  if (!Node.Alive_) {
    at(After + Way * 2, [this, Index, Number] {
      endFlight(Index, Number, AttemptResult::ConnectFailed, {});
    });
    return;
  }
  // A new connection costs one round trip before the request.
  Duration Handshake = Reuse ? Duration::zero() : Way * 2;
  at(After + Handshake + Way,
     [this, Index, Number] { arriveAtExecutor(Index, Number); });
}

void RoutingWorld::arriveAtExecutor(std::size_t From, std::uint64_t Number) {
  auto Known = Entries_[From]->Flights_.find(Number);
  if (Known == Entries_[From]->Flights_.end())
    return; // The sender closed the connection.
  ExecutorModel &Node = Executors_[Known->second.Executor_];
  if (!Node.Alive_ || !Node.Reachable_)
    return;
  if (Node.Leaving_) {
    answerFrom(Node, From, Number, AttemptResult::RefusedLeaving);
    return;
  }
  auto Held = Node.Running_ + static_cast<std::int64_t>(Node.Waiting_.size());
  if (Held >= Shape_.Slots_ + Shape_.Backlog_) {
    answerFrom(Node, From, Number, AttemptResult::RefusedBusy);
    return;
  }
  if (Node.Running_ < Shape_.Slots_) {
    startOn(Node, From, Number);
    return;
  }
  Node.Waiting_.emplace_back(
      [this, &Node, From, Number] { startOn(Node, From, Number); });
}

void RoutingWorld::startOn(ExecutorModel &Node, std::size_t From,
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

void RoutingWorld::answerFrom(ExecutorModel &Node, std::size_t From,
                              std::uint64_t Number, AttemptResult Result) {
  if (!Node.Alive_ || !Node.Reachable_)
    return;
  auto Held = Node.Running_ + static_cast<std::int64_t>(Node.Waiting_.size());
  ObservedLoad Load{Held, Shape_.Slots_, Node.Leaving_};
  Duration Way = delay(Entries_[From]->Zone_, Node.Zone_);
  at(Now_ - Start_ + Way, [this, From, Number, Result, Load] {
    endFlight(From, Number, Result, Load);
  });
}

void RoutingWorld::endFlight(std::size_t From, std::uint64_t Number,
                             AttemptResult Result,
                             std::optional<ObservedLoad> Load) {
  Entry &Sender = *Entries_[From];
  auto Known = Sender.Flights_.find(Number);
  if (Known == Sender.Flights_.end())
    return;
  Flight Item = std::move(Known->second);
  Sender.Flights_.erase(Known);
  Sender.ByAttempt_.erase({Item.Sent_.Ticket_, Item.Sent_.Attempt_});
  bool Answered = Load.has_value();
  if (Answered)
    Sender.Idle_[Item.Executor_].push_back(Item.Opened_);
  if (measuring()) {
    Counts_.Busy_ += Result == AttemptResult::RefusedBusy ? 1 : 0;
    bool Remote = Executors_[Item.Executor_].Zone_ != Sender.Zone_;
    Counts_.Remote_ += Result == AttemptResult::Completed && Remote ? 1 : 0;
  }
  tell(Sender,
       AttemptEnded{Item.Sent_.Ticket_, Item.Sent_.Attempt_,
                    Item.Sent_.Endpoint_, Result, Load, Now_ - Item.SentAt_});
}

void RoutingWorld::scheduleArrival(std::size_t Stream) {
  double PerSecond = Shape_.Streams_[Stream].PerSecond_;
  double Gap = -std::log(1.0 - uniform()) / PerSecond;
  Duration After = Now_ - Start_ + Duration(std::llround(Gap * 1e6));
  if (After > Shape_.WarmUp_ + Shape_.Measured_ + Shape_.Tail_)
    return;
  at(After, [this, Stream] {
    arrival(Stream);
    scheduleArrival(Stream);
  });
}

void RoutingWorld::arrival(std::size_t Stream) {
  double Sum = std::accumulate(EntryShares_.begin(), EntryShares_.end(), 0.0);
  double Drawn = uniform() * Sum;
  std::size_t Index = 0;
  while (Index + 1 < EntryShares_.size() && Drawn >= EntryShares_[Index])
    Drawn -= EntryShares_[Index++];
  if (measuring())
    ++Counts_.Requests_;
  std::uint64_t Ticket = Records_.size();
  Records_.push_back({Stream, Now_});
  const CallerStream &Caller = Shape_.Streams_[Stream];
  RequestArrived Event{Ticket,
                       RequestId(),
                       Caller.Contract_,
                       ServiceName("check"),
                       Now_ + Shape_.Deadline_,
                       Caller.Idempotent_};
  at(Now_ - Start_ + Shape_.ClientDelay_,
     [this, Index, Event] { tell(*Entries_[Index], Event); });
}

void RoutingWorld::answered(const AnswerCaller &Answer) {
  RequestRecord &Record = Records_[Answer.Ticket_];
  Record.Outcome_ = Answer.Outcome_;
  Record.Latency_ = Now_ + Shape_.ClientDelay_ - Record.Intended_;
}

Duration RoutingWorld::delay(int From, int To) {
  Duration Base = From == To ? Shape_.LocalDelay_ : Shape_.InterZoneDelay_;
  // Up to a fifth more, at random.
  return Base + Duration(static_cast<std::int64_t>(
                    uniform() * 0.2 * static_cast<double>(Base.count())));
}

Duration RoutingWorld::serviceTime(const ExecutorModel &Node) {
  double Sigma = Shape_.ServiceSigma_;
  auto Mean = static_cast<double>(Shape_.MeanService_.count());
  std::lognormal_distribution<double> Draw(std::log(Mean) - Sigma * Sigma / 2,
                                           Sigma);
  return Duration(std::llround(Draw(Random_) * Node.Slowness_) + 1);
}

double RoutingWorld::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Random_);
}

bool RoutingWorld::measuring() const {
  Duration Since = Now_ - Start_;
  return Since >= Shape_.WarmUp_ && Since < Shape_.WarmUp_ + Shape_.Measured_;
}

} // namespace filbertspring::benchmark
