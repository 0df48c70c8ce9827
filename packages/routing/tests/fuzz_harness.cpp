#include "fuzz_harness.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing::routing_test {
namespace {

constexpr int EndpointCount = 6;
constexpr std::int64_t Slots = 2;
constexpr std::int64_t Rate = 200;
constexpr std::int64_t Concurrency = 8;
constexpr Duration ArrivalDeadline = 400ms;

const std::vector<ZoneName> ZoneNames = {
    ZoneName("bodrum"), ZoneName("kusadasi"), ZoneName("marmaris")};
const std::vector<std::string> ContractNames = {"a", "b"};

EndpointName endpointName(std::uint32_t Index) {
  return EndpointName("e" + std::to_string(Index % EndpointCount));
}

/// Duplicates mayHaveRun() independently, so that a mistake there is detected.
bool knownNotRun(AttemptResult Result) {
  return Result == AttemptResult::ConnectFailed ||
         Result == AttemptResult::RefusedBusy ||
         Result == AttemptResult::RefusedLeaving;
}

/// Returns the bucket capacity of a share for a burst time of 100 ms.
double maxBurst(std::int32_t Permille) {
  double Tokens = 0.1 * static_cast<double>(Rate * Permille) / 1000.0;
  return Permille == 0 ? 0.0 : std::max(1.0, Tokens);
}

std::vector<Contract> contractsInMask(std::uint32_t Mask) {
  std::vector<Contract> Selected;
  for (std::size_t Index = 0; Index < ContractNames.size(); ++Index)
    if (((Mask >> Index) & 1U) != 0)
      Selected.push_back(contract(ContractNames[Index], Rate, Concurrency));
  // Contract "b" excludes one zone.
  for (Contract &Terms : Selected)
    if (Terms.Name_.str() == "b")
      Terms.Zones_ = {ZoneNames[0], ZoneNames[1]};
  return Selected;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const Step &CurrentStep) {
  return Out << "step " << static_cast<int>(CurrentStep.Kind_) << "("
             << CurrentStep.A_ << ", " << CurrentStep.B_ << ", "
             << CurrentStep.C_ << ")";
}

bool FuzzHarness::RequestRecord::mayHaveRun() const {
  return std::ranges::any_of(Attempts_, [](const AttemptRecord &Attempt) {
    return !Attempt.Active_ && !knownNotRun(Attempt.Result_);
  });
}

bool FuzzHarness::RequestRecord::active() const {
  return std::ranges::any_of(Attempts_, &AttemptRecord::Active_);
}

bool FuzzHarness::RequestRecord::holdsPermit(TimePoint Now) const {
  auto MayRun = [&](const AttemptRecord &Attempt) {
    if (Attempt.Active_)
      return true;
    bool Over = Attempt.Result_ == AttemptResult::Completed ||
                knownNotRun(Attempt.Result_);
    return !Over && Now < Deadline_;
  };
  return std::ranges::any_of(Attempts_, MayRun);
}

FuzzHarness::FuzzHarness(std::uint64_t Seed, EndpointPolicy Policy) {
  Fixture_.Config_.Policy_ = Policy;
  Fixture_.Config_.MaxQueued_ = 8;
  Fixture_.Router_ = Router(Fixture_.Config_, Seed);
  AccruedAt_ = Fixture_.Now_;
  changeContracts(3);
  for (const std::string &Name : ContractNames) {
    changeShare(ContractName(Name), 500);
  }
  list({StepKind::EndpointList, 0x3F, 0, 0});
}

void FuzzHarness::run(const Step &CurrentStep) {
  switch (CurrentStep.Kind_) {
  case StepKind::Arrive:
    arrive(CurrentStep);
    break;
  case StepKind::AdvanceTime:
    advanceTime(Duration((CurrentStep.A_ % 200) * 1000));
    break;
  case StepKind::EndAttempt:
    endAttempt(CurrentStep.A_, CurrentStep.B_, CurrentStep.C_);
    break;
  case StepKind::EndAttempts:
    for (std::uint32_t Count = 0; Count < 4; ++Count)
      endAttempt(CurrentStep.A_ + Count,
                 CurrentStep.B_ + Count * CurrentStep.C_, CurrentStep.C_);
    break;
  case StepKind::CallerDisconnects:
    handle(CallerDisconnected{CurrentStep.A_ % NextTicket_});
    break;
  case StepKind::EndpointList:
    list(CurrentStep);
    break;
  case StepKind::PeerReport: {
    EndpointName Name = endpointName(CurrentStep.A_);
    bool Leaving = CurrentStep.B_ % 8 == 0;
    if (Leaving)
      recordLeaving(Name);
    handle(PeerEndpointReports{{{Name, CurrentStep.C_ % 4, Leaving, 10ms}}});
    break;
  }
  case StepKind::Zone: {
    const ZoneName &Zone = ZoneNames[CurrentStep.A_ % ZoneNames.size()];
    bool InService = CurrentStep.B_ % 2 == 0;
    if (InService)
      ZonesOut_.erase(Zone);
    else
      ZonesOut_.insert(Zone);
    handle(ZoneChanged{Zone, InService});
    break;
  }
  case StepKind::Share: {
    ContractName Name(ContractNames[CurrentStep.A_ % ContractNames.size()]);
    advanceTime(Duration::zero());
    changeShare(Name, static_cast<std::int32_t>(CurrentStep.B_ % 5) * 250);
    break;
  }
  case StepKind::Contracts:
    changeContracts(CurrentStep.A_ % 8 == 0 ? CurrentStep.B_ % 4 : 3);
    break;
  case StepKind::Drain:
    Draining_ = CurrentStep.A_ % 16 == 0;
    if (Draining_)
      handle(DrainStarted{});
    break;
  }
}

void FuzzHarness::finish() {
  advanceTime(ArrivalDeadline + Fixture_.Config_.AnswerGrace_);
  for (const auto &[Ticket, Record] : Requests_)
    expect(Record.Answers_ == 1, "each ticket is answered once in time");
  for (std::size_t Remaining = Requests_.size() * 4; Remaining > 0; --Remaining)
    endAttempt(0, 0, 0);
  RouterCounts Counts = Fixture_.Router_.counts();
  expect(Counts.Queued_ == 0, "nothing stays queued");
  expect(Counts.InFlight_ == 0, "nothing stays in flight");
}

void FuzzHarness::arrive(const Step &CurrentStep) {
  ContractName Name(ContractNames[CurrentStep.A_ % ContractNames.size()]);
  Duration Limit = ArrivalDeadline / (1 + CurrentStep.C_ % 4);
  std::uint64_t Ticket = NextTicket_++;
  Requests_[Ticket] = {
      Name, CurrentStep.B_ % 2 == 0, Fixture_.Now_ + Limit, 0, {}};
  handle(RequestArrived{Ticket, RequestId("r"), Name, ServiceName("check"),
                        Fixture_.Now_ + Limit, CurrentStep.B_ % 2 == 0});
  // The request was admitted unless it was answered without an attempt.
  if (Requests_[Ticket].Answers_ == 0 || !Requests_[Ticket].Attempts_.empty())
    TokenBalance_[Name] -= 1.0;
  expect(TokenBalance_[Name] > -1e-6,
         "admissions stay within the rate's share");
}

void FuzzHarness::endAttempt(std::uint32_t AttemptDraw,
                             std::uint32_t ResultDraw, std::uint32_t Load) {
  std::vector<std::pair<std::uint64_t, std::size_t>> Active;
  for (const auto &[Ticket, Record] : Requests_)
    for (std::size_t Index = 0; Index < Record.Attempts_.size(); ++Index)
      if (Record.Attempts_[Index].Active_)
        Active.emplace_back(Ticket, Index);
  if (Active.empty())
    return;
  auto [Ticket, Index] = Active[AttemptDraw % Active.size()];
  AttemptRecord &EndedAttempt = Requests_[Ticket].Attempts_[Index];
  // At least half of the attempts complete.
  constexpr std::uint32_t Results = AttemptResultNames.size();
  std::uint32_t Drawn = ResultDraw % (2 * Results);
  EndedAttempt.Result_ = Drawn < Results ? AttemptResultNames[Drawn].Value_
                                         : AttemptResult::Completed;
  EndedAttempt.Active_ = false;
  AttemptEnded Event{Ticket,
                     static_cast<AttemptNumber>(Index) + 1,
                     EndedAttempt.Endpoint_,
                     EndedAttempt.Result_,
                     {},
                     Fixture_.Now_ - EndedAttempt.SentAt_};
  if (Load % 2 == 0)
    Event.Load_ = ObservedLoad{Load % 3, Slots, Load % 16 == 0};
  bool Leaving = EndedAttempt.Result_ == AttemptResult::RefusedLeaving ||
                 (Event.Load_ && Event.Load_->Leaving_);
  if (Leaving)
    recordLeaving(EndedAttempt.Endpoint_);
  CurrentEnd_ = &Event;
  handle(Event);
  CurrentEnd_ = nullptr;
  // A duplicate AttemptEnded must have no effect.
  if (ResultDraw % 5 == 0)
    handle(Event);
}

void FuzzHarness::list(const Step &CurrentStep) {
  EndpointsListed Event;
  Listed_.clear();
  for (std::uint32_t Index = 0; Index < EndpointCount; ++Index) {
    if (((CurrentStep.A_ >> Index) & 1U) == 0)
      continue;
    ListedInstance Instance =
        executor(endpointName(Index).str(),
                 ZoneNames[Index % ZoneNames.size()].str(), Slots);
    if (((CurrentStep.B_ >> Index) & 7U) == 7U) {
      Instance.State_ = InstanceState::Leaving;
      Leaving_.insert(endpointName(Index));
    }
    Listed_[endpointName(Index)] = Instance;
    Event.Instances_.push_back(Instance);
  }
  handle(Event);
}

void FuzzHarness::recordLeaving(const EndpointName &Name) {
  // A router ignores reports on endpoints that were never listed.
  if (Listed_.contains(Name))
    Leaving_.insert(Name);
}

void FuzzHarness::changeShare(const ContractName &Name, std::int32_t Permille) {
  Shares_[Name] = Permille;
  TokenBalance_[Name] = std::min(TokenBalance_[Name], maxBurst(Permille));
  if (Permille > 0 && InitialTokenGranted_.insert(Name).second)
    TokenBalance_[Name] = 1.0;
  handle(ShareChanged{Name, Permille});
}

void FuzzHarness::changeContracts(std::uint32_t Mask) {
  advanceTime(Duration::zero());
  ContractsChanged Event{contractsInMask(Mask)};
  std::map<ContractName, Contract> Before = std::exchange(Contracts_, {});
  for (const Contract &Terms : Event.Contracts_) {
    Contracts_[Terms.Name_] = Terms;
    // A contract that was removed and added again may start with one token.
    if (Before.contains(Terms.Name_))
      continue;
    if (Shares_[Terms.Name_] == 0)
      InitialTokenGranted_.erase(Terms.Name_);
    else if (InitialTokenGranted_.contains(Terms.Name_))
      TokenBalance_[Terms.Name_] = std::max(TokenBalance_[Terms.Name_], 1.0);
  }
  handle(Event);
}

void FuzzHarness::advanceTime(Duration Time) {
  TimePoint End = Fixture_.Now_ + Time;
  bool More = true;
  while (More) {
    std::optional<TimePoint> Wake = Fixture_.Router_.nextWake();
    More = Wake && *Wake <= End;
    if (!More)
      break;
    Fixture_.Now_ = std::max(Fixture_.Now_, *Wake);
    handle(Tick{});
  }
  Fixture_.Now_ = End;
  double Elapsed = std::chrono::duration<double>(End - AccruedAt_).count();
  AccruedAt_ = End;
  for (const std::string &Text : ContractNames) {
    ContractName Name(Text);
    std::int32_t Share = Shares_[Name];
    double Earned = Elapsed * static_cast<double>(Rate * Share) / 1000.0;
    double &Balance = TokenBalance_[Name];
    Balance = std::min(Balance + Earned, maxBurst(Share));
  }
}

void FuzzHarness::handle(const RoutingEvent &Event) {
  for (const RoutingAction &Action : Fixture_.handle(Event))
    check(Action);
}

void FuzzHarness::check(const RoutingAction &Action) {
  if (const auto *Sent = std::get_if<SendAttempt>(&Action))
    checkSend(*Sent);
  if (const auto *Answer = std::get_if<AnswerCaller>(&Action))
    checkAnswer(*Answer);
  if (const auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
    const RequestRecord &Record = Requests_[Cancel->Ticket_];
    expect(Record.Idempotent_, "only idempotent requests are cancelled");
    expect(Record.Answers_ == 1, "a request is cancelled after its answer");
  }
  if (const auto *Drop = std::get_if<DropConnections>(&Action))
    checkDrop(*Drop);
}

void FuzzHarness::checkDrop(const DropConnections &Drop) {
  expect(Drop.OpenedBefore_ == Fixture_.Now_, "only older connections go");
  bool TimedOut = CurrentEnd_ &&
                  CurrentEnd_->Result_ == AttemptResult::TimedOut &&
                  CurrentEnd_->Endpoint_ == Drop.Endpoint_;
  auto IsWaiting = [&](const AttemptRecord &Attempt) {
    return Attempt.Active_ && Attempt.Endpoint_ == Drop.Endpoint_ &&
           Attempt.SentAt_ < Fixture_.Now_;
  };
  bool Overdue = std::ranges::any_of(Requests_, [&](const auto &Entry) {
    return std::ranges::any_of(Entry.second.Attempts_, IsWaiting);
  });
  expect(TimedOut || Overdue, "connections are dropped after silence");
}

void FuzzHarness::checkSend(const SendAttempt &Sent) {
  RequestRecord &Record = Requests_[Sent.Ticket_];
  expect(Record.Answers_ == 0, "no attempt follows the answer");
  auto Listed = Listed_.find(Sent.Endpoint_);
  expect(Listed != Listed_.end(), "attempts go to listed endpoints");
  expect(!Leaving_.contains(Sent.Endpoint_),
         "no attempt goes to an endpoint known to be leaving");
  expect(!ZonesOut_.contains(Sent.Zone_),
         "no attempt goes to a zone out of service");
  auto Terms = Contracts_.find(Record.Contract_);
  expect(Terms != Contracts_.end() && Terms->second.allowsZone(Sent.Zone_),
         "attempts keep to the contract's zones");
  bool MayRepeat = !Record.active() && !Record.mayHaveRun();
  expect(Record.Idempotent_ || MayRepeat,
         "a non-idempotent request has one attempt that may run");
  expect(Fixture_.Now_ <= Record.Deadline_, "no attempt follows the deadline");
  expect(Sent.Timeout_ <= Record.Deadline_ - Fixture_.Now_,
         "no attempt outlasts the deadline");
  bool HeldPermit =
      Record.holdsPermit(Fixture_.Now_) || !Record.Attempts_.empty();
  Record.Attempts_.push_back(
      {Sent.Endpoint_, true, AttemptResult::ConnectionLost, Fixture_.Now_});
  expect(static_cast<std::size_t>(Sent.Attempt_) == Record.Attempts_.size(),
         "attempts are counted from 1");
  auto Refused =
      std::ranges::count_if(Record.Attempts_, [](const AttemptRecord &Attempt) {
        return !Attempt.Active_ &&
               (Attempt.Result_ == AttemptResult::RefusedBusy ||
                Attempt.Result_ == AttemptResult::RefusedLeaving);
      });
  auto Total = static_cast<std::ptrdiff_t>(Record.Attempts_.size());
  expect(Refused <= 16, "refused attempts of a request are bounded");
  expect(Total - Refused <= 4, "attempts of a request are bounded");
  if (!HeldPermit)
    expect(permitsInUse(Record.Contract_) <= concurrencyLimit(Record.Contract_),
           "concurrency stays within the share");
}

void FuzzHarness::checkAnswer(const AnswerCaller &Answer) {
  RequestRecord &Record = Requests_[Answer.Ticket_];
  ++Record.Answers_;
  ++Outcomes_[Answer.Outcome_];
  expect(Record.Answers_ == 1, "a ticket is answered once");
  TimePoint Latest = Record.Deadline_ + Fixture_.Config_.AnswerGrace_;
  expect(Fixture_.Now_ <= Latest, "answers come in time");
  switch (Answer.Outcome_) {
  case RequestOutcome::Completed:
    expect(CurrentEnd_ && CurrentEnd_->Ticket_ == Answer.Ticket_ &&
               CurrentEnd_->Attempt_ == Answer.Attempt_ &&
               CurrentEnd_->Result_ == AttemptResult::Completed,
           "a completed request has the answer of its own attempt");
    break;
  case RequestOutcome::NotRun:
    expect(!Record.active() && !Record.mayHaveRun(), "not run was not run");
    break;
  case RequestOutcome::Unknown:
    expect(Record.active() || Record.mayHaveRun(),
           "unknown is said only of what may have run");
    break;
  }
}

std::int64_t FuzzHarness::permitsInUse(const ContractName &Name) const {
  std::int64_t Count = 0;
  for (const auto &[Ticket, Record] : Requests_)
    if (Record.Contract_ == Name && Record.holdsPermit(Fixture_.Now_))
      ++Count;
  return Count;
}

std::int64_t FuzzHarness::concurrencyLimit(const ContractName &Name) const {
  auto Share = Shares_.find(Name);
  return Share == Shares_.end() ? 0 : Concurrency * Share->second / 1000;
}

void FuzzHarness::expect(bool Holds, const std::string &Rule) {
  if (!Holds && FirstViolation_.empty())
    FirstViolation_ = Rule;
}

} // namespace filbertspring::routing::routing_test
