#include "fuzz_world.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing::routing_test {
namespace {

constexpr int EndpointCount = 6;
constexpr std::int64_t Slots = 2;
constexpr std::int64_t Rate = 200;
constexpr std::int64_t Concurrency = 8;
constexpr Duration ArrivalDeadline = 400ms;

const std::vector<ZoneName> Zones = {ZoneName("bodrum"), ZoneName("kusadasi"),
                                     ZoneName("marmaris")};
const std::vector<std::string> Names = {"a", "b"};

EndpointName endpointName(std::uint32_t Index) {
  return EndpointName("e" + std::to_string(Index % EndpointCount));
}

/// Written out here so that a mistake in mayHaveRun() is found.
bool surelyNotRun(AttemptResult Result) {
  return Result == AttemptResult::ConnectFailed ||
         Result == AttemptResult::RefusedBusy ||
         Result == AttemptResult::RefusedLeaving;
}

/// The most tokens that a share can save up in a tenth of a second.
double burst(std::int32_t Permille) {
  double Tokens = 0.1 * static_cast<double>(Rate * Permille) / 1000.0;
  return Permille == 0 ? 0.0 : std::max(1.0, Tokens);
}

std::vector<Contract> contractsOf(std::uint32_t Mask) {
  std::vector<Contract> Found;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (((Mask >> Index) & 1U) != 0)
      Found.push_back(contract(Names[Index], Rate, Concurrency));
  // Contract "b" keeps out of one zone.
  for (Contract &Terms : Found)
    if (Terms.Name_.str() == "b")
      Terms.Zones_ = {Zones[0], Zones[1]};
  return Found;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const Step &Item) {
  return Out << "step " << static_cast<int>(Item.Kind_) << "(" << Item.A_
             << ", " << Item.B_ << ", " << Item.C_ << ")";
}

bool FuzzWorld::Ticket::mayHaveRun() const {
  return std::ranges::any_of(Tries_, [](const Try &Item) {
    return !Item.Active_ && !surelyNotRun(Item.Result_);
  });
}

bool FuzzWorld::Ticket::active() const {
  return std::ranges::any_of(Tries_, &Try::Active_);
}

bool FuzzWorld::Ticket::holds(TimePoint Now) const {
  auto MayRun = [&](const Try &Item) {
    if (Item.Active_)
      return true;
    bool Over =
        Item.Result_ == AttemptResult::Completed || surelyNotRun(Item.Result_);
    return !Over && Now < Deadline_;
  };
  return std::ranges::any_of(Tries_, MayRun);
}

FuzzWorld::FuzzWorld(std::uint64_t Seed, EndpointPolicy Policy) {
  Fixture_.Config_.Policy_ = Policy;
  Fixture_.Config_.MaxQueued_ = 8;
  Fixture_.Router_ = Router(Fixture_.Config_, Seed);
  AccruedAt_ = Fixture_.Now_;
  changeContracts(3);
  for (const std::string &Name : Names) {
    changeShare(ContractName(Name), 500);
  }
  list({StepKind::List, 0x3F, 0, 0});
}

void FuzzWorld::run(const Step &Item) {
  switch (Item.Kind_) {
  case StepKind::Arrive:
    arrive(Item);
    break;
  case StepKind::Pass:
    pass(Duration((Item.A_ % 200) * 1000));
    break;
  case StepKind::EndOne:
    endOne(Item.A_, Item.B_, Item.C_);
    break;
  case StepKind::EndMany:
    for (std::uint32_t Count = 0; Count < 4; ++Count)
      endOne(Item.A_ + Count, Item.B_ + Count * Item.C_, Item.C_);
    break;
  case StepKind::CallerLeaves:
    tell(CallerDisconnected{Item.A_ % NextTicket_});
    break;
  case StepKind::List:
    list(Item);
    break;
  case StepKind::PeerReport: {
    EndpointName Name = endpointName(Item.A_);
    bool Leaving = Item.B_ % 8 == 0;
    if (Leaving)
      knowLeaving(Name);
    tell(PeerEndpointReports{{{Name, Item.C_ % 4, Leaving, 10ms}}});
    break;
  }
  case StepKind::Zone: {
    const ZoneName &Zone = Zones[Item.A_ % Zones.size()];
    bool InService = Item.B_ % 2 == 0;
    if (InService)
      ZonesOut_.erase(Zone);
    else
      ZonesOut_.insert(Zone);
    tell(ZoneChanged{Zone, InService});
    break;
  }
  case StepKind::Share: {
    ContractName Name(Names[Item.A_ % Names.size()]);
    pass(Duration::zero());
    changeShare(Name, static_cast<std::int32_t>(Item.B_ % 5) * 250);
    break;
  }
  case StepKind::Contracts:
    changeContracts(Item.A_ % 8 == 0 ? Item.B_ % 4 : 3);
    break;
  case StepKind::Drain:
    Draining_ = Item.A_ % 16 == 0;
    if (Draining_)
      tell(DrainStarted{});
    break;
  }
}

void FuzzWorld::finish() {
  pass(ArrivalDeadline + Fixture_.Config_.AnswerGrace_);
  for (const auto &[Number, Item] : Tickets_)
    expect(Item.Answers_ == 1, "each ticket is answered once in time");
  for (std::size_t Left = Tickets_.size() * 4; Left > 0; --Left)
    endOne(0, 0, 0);
  RouterCounts Counts = Fixture_.Router_.counts();
  expect(Counts.Queued_ == 0, "nothing stays queued");
  expect(Counts.InFlight_ == 0, "nothing stays in flight");
}

void FuzzWorld::arrive(const Step &Item) {
  ContractName Name(Names[Item.A_ % Names.size()]);
  Duration Limit = ArrivalDeadline / (1 + Item.C_ % 4);
  std::uint64_t Number = NextTicket_++;
  Tickets_[Number] = {Name, Item.B_ % 2 == 0, Fixture_.Now_ + Limit, 0, {}};
  tell(RequestArrived{Number, RequestId("r"), Name, ServiceName("check"),
                      Fixture_.Now_ + Limit, Item.B_ % 2 == 0});
  // Admitted unless it was answered at once.
  if (Tickets_[Number].Answers_ == 0 || !Tickets_[Number].Tries_.empty())
    Allowance_[Name] -= 1.0;
  expect(Allowance_[Name] > -1e-6, "admissions stay within the rate's share");
}

void FuzzWorld::endOne(std::uint32_t Which, std::uint32_t How,
                       std::uint32_t Load) {
  std::vector<std::pair<std::uint64_t, std::size_t>> Active;
  for (const auto &[Number, Item] : Tickets_)
    for (std::size_t Index = 0; Index < Item.Tries_.size(); ++Index)
      if (Item.Tries_[Index].Active_)
        Active.emplace_back(Number, Index);
  if (Active.empty())
    return;
  auto [Number, Index] = Active[Which % Active.size()];
  Try &Ended = Tickets_[Number].Tries_[Index];
  // Half of them complete.
  constexpr std::uint32_t Results = AttemptResultNames.size();
  std::uint32_t Drawn = How % (2 * Results);
  Ended.Result_ = Drawn < Results ? AttemptResultNames[Drawn].Value_
                                  : AttemptResult::Completed;
  Ended.Active_ = false;
  AttemptEnded Event{Number,
                     static_cast<AttemptNumber>(Index) + 1,
                     Ended.Endpoint_,
                     Ended.Result_,
                     {},
                     Fixture_.Now_ - Ended.SentAt_};
  if (Load % 2 == 0)
    Event.Load_ = ObservedLoad{Load % 3, Slots, Load % 16 == 0};
  bool Leaving = Ended.Result_ == AttemptResult::RefusedLeaving ||
                 (Event.Load_ && Event.Load_->Leaving_);
  if (Leaving)
    knowLeaving(Ended.Endpoint_);
  Ending_ = &Event;
  tell(Event);
  Ending_ = nullptr;
  // A second end of the same attempt changes nothing.
  if (How % 5 == 0)
    tell(Event);
}

void FuzzWorld::list(const Step &Item) {
  EndpointsListed Event;
  Listed_.clear();
  for (std::uint32_t Index = 0; Index < EndpointCount; ++Index) {
    if (((Item.A_ >> Index) & 1U) == 0)
      continue;
    ListedInstance Instance = executor(
        endpointName(Index).str(), Zones[Index % Zones.size()].str(), Slots);
    if (((Item.B_ >> Index) & 7U) == 7U) {
      Instance.State_ = InstanceState::Leaving;
      Leaving_.insert(endpointName(Index));
    }
    Listed_[endpointName(Index)] = Instance;
    Event.Instances_.push_back(Instance);
  }
  tell(Event);
}

void FuzzWorld::knowLeaving(const EndpointName &Name) {
  // A router knows nothing of endpoints that it was never shown.
  if (Listed_.contains(Name))
    Leaving_.insert(Name);
}

void FuzzWorld::changeShare(const ContractName &Name, std::int32_t Permille) {
  Shares_[Name] = Permille;
  Allowance_[Name] = std::min(Allowance_[Name], burst(Permille));
  if (Permille > 0 && Started_.insert(Name).second)
    Allowance_[Name] = 1.0;
  tell(ShareChanged{Name, Permille});
}

void FuzzWorld::changeContracts(std::uint32_t Mask) {
  pass(Duration::zero());
  ContractsChanged Event{contractsOf(Mask)};
  std::map<ContractName, Contract> Before = std::exchange(Contracts_, {});
  for (const Contract &Terms : Event.Contracts_) {
    Contracts_[Terms.Name_] = Terms;
    // A contract that comes back may start with one token again.
    if (Before.contains(Terms.Name_))
      continue;
    if (Shares_[Terms.Name_] == 0)
      Started_.erase(Terms.Name_);
    else if (Started_.contains(Terms.Name_))
      Allowance_[Terms.Name_] = std::max(Allowance_[Terms.Name_], 1.0);
  }
  tell(Event);
}

void FuzzWorld::pass(Duration Time) {
  TimePoint End = Fixture_.Now_ + Time;
  bool More = true;
  while (More) {
    std::optional<TimePoint> Wake = Fixture_.Router_.nextWake();
    More = Wake && *Wake <= End;
    if (!More)
      break;
    Fixture_.Now_ = std::max(Fixture_.Now_, *Wake);
    tell(Tick{});
  }
  Fixture_.Now_ = End;
  double Elapsed = std::chrono::duration<double>(End - AccruedAt_).count();
  AccruedAt_ = End;
  for (const std::string &Text : Names) {
    ContractName Name(Text);
    std::int32_t Share = Shares_[Name];
    double Earned = Elapsed * static_cast<double>(Rate * Share) / 1000.0;
    double &Allowed = Allowance_[Name];
    Allowed = std::min(Allowed + Earned, burst(Share));
  }
}

void FuzzWorld::tell(const RoutingEvent &Event) {
  for (const RoutingAction &Action : Fixture_.tell(Event))
    check(Action);
}

void FuzzWorld::check(const RoutingAction &Action) {
  if (const auto *Sent = std::get_if<SendAttempt>(&Action))
    checkSend(*Sent);
  if (const auto *Answer = std::get_if<AnswerCaller>(&Action))
    checkAnswer(*Answer);
  if (const auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
    const Ticket &Item = Tickets_[Cancel->Ticket_];
    expect(Item.Idempotent_, "only idempotent requests are cancelled");
    expect(Item.Answers_ == 1, "a request is cancelled after its answer");
  }
  if (const auto *Drop = std::get_if<DropConnections>(&Action))
    checkDrop(*Drop);
}

void FuzzWorld::checkDrop(const DropConnections &Drop) {
  expect(Drop.OpenedBefore_ == Fixture_.Now_, "only older connections go");
  bool Silent = Ending_ && Ending_->Result_ == AttemptResult::TimedOut &&
                Ending_->Endpoint_ == Drop.Endpoint_;
  auto Waits = [&](const Try &Made) {
    return Made.Active_ && Made.Endpoint_ == Drop.Endpoint_ &&
           Made.SentAt_ < Fixture_.Now_;
  };
  bool Overdue = std::ranges::any_of(Tickets_, [&](const auto &Entry) {
    return std::ranges::any_of(Entry.second.Tries_, Waits);
  });
  expect(Silent || Overdue, "connections are dropped after silence");
}

void FuzzWorld::checkSend(const SendAttempt &Sent) {
  Ticket &Item = Tickets_[Sent.Ticket_];
  expect(Item.Answers_ == 0, "no attempt follows the answer");
  auto Node = Listed_.find(Sent.Endpoint_);
  expect(Node != Listed_.end(), "attempts go to listed endpoints");
  expect(!Leaving_.contains(Sent.Endpoint_),
         "no attempt goes to an endpoint known to be leaving");
  expect(!ZonesOut_.contains(Sent.Zone_),
         "no attempt goes to a zone out of service");
  auto Terms = Contracts_.find(Item.Contract_);
  expect(Terms != Contracts_.end() && Terms->second.allowsZone(Sent.Zone_),
         "attempts keep to the contract's zones");
  bool MayRepeat = !Item.active() && !Item.mayHaveRun();
  expect(Item.Idempotent_ || MayRepeat,
         "a non-idempotent request has one attempt that may run");
  expect(Fixture_.Now_ <= Item.Deadline_, "no attempt follows the deadline");
  expect(Sent.Timeout_ <= Item.Deadline_ - Fixture_.Now_,
         "no attempt outlasts the deadline");
  bool Held = Item.holds(Fixture_.Now_) || !Item.Tries_.empty();
  Item.Tries_.push_back(
      {Sent.Endpoint_, true, AttemptResult::ConnectionLost, Fixture_.Now_});
  expect(static_cast<std::size_t>(Sent.Attempt_) == Item.Tries_.size(),
         "attempts are counted from 1");
  auto Refused = std::ranges::count_if(Item.Tries_, [](const Try &Made) {
    return !Made.Active_ && (Made.Result_ == AttemptResult::RefusedBusy ||
                             Made.Result_ == AttemptResult::RefusedLeaving);
  });
  auto Made = static_cast<std::ptrdiff_t>(Item.Tries_.size());
  expect(Refused <= 16, "refused attempts of a request are bounded");
  expect(Made - Refused <= 4, "attempts of a request are bounded");
  if (!Held)
    expect(held(Item.Contract_) <= limitOf(Item.Contract_),
           "concurrency stays within the share");
}

void FuzzWorld::checkAnswer(const AnswerCaller &Answer) {
  Ticket &Item = Tickets_[Answer.Ticket_];
  ++Item.Answers_;
  ++Outcomes_[Answer.Outcome_];
  expect(Item.Answers_ == 1, "a ticket is answered once");
  TimePoint Latest = Item.Deadline_ + Fixture_.Config_.AnswerGrace_;
  expect(Fixture_.Now_ <= Latest, "answers come in time");
  switch (Answer.Outcome_) {
  case RequestOutcome::Completed:
    expect(Ending_ && Ending_->Ticket_ == Answer.Ticket_ &&
               Ending_->Attempt_ == Answer.Attempt_ &&
               Ending_->Result_ == AttemptResult::Completed,
           "a completed request has the answer of its own attempt");
    break;
  case RequestOutcome::NotRun:
    expect(!Item.active() && !Item.mayHaveRun(), "not run was not run");
    break;
  case RequestOutcome::Unknown:
    expect(Item.active() || Item.mayHaveRun(),
           "unknown is said only of what may have run");
    break;
  }
}

std::int64_t FuzzWorld::held(const ContractName &Name) const {
  std::int64_t Count = 0;
  for (const auto &[Number, Item] : Tickets_)
    if (Item.Contract_ == Name && Item.holds(Fixture_.Now_))
      ++Count;
  return Count;
}

std::int64_t FuzzWorld::limitOf(const ContractName &Name) const {
  auto Share = Shares_.find(Name);
  return Share == Shares_.end() ? 0 : Concurrency * Share->second / 1000;
}

void FuzzWorld::expect(bool Holds, const std::string &Rule) {
  if (!Holds && Problem_.empty())
    Problem_ = Rule;
}

} // namespace filbertspring::routing::routing_test
