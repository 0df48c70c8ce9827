#include "virtual_cluster_parts.h"

#include <algorithm>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

void VirtualCluster::commit(Node &Each, const Transaction &Request) {
  TransactionId Id = Request.Id_;
  bool Noisy = !Quiet_ && chance(Case_.Noise_ * 4);
  std::uint32_t Kind = Random_(4);
  if (!tableReachable(Each) || (Noisy && Kind == 0)) {
    bool Surely = chance(0.5);
    answerCommit(Each, Id,
                 {Surely ? CommitOutcome::NotCommitted : CommitOutcome::Unknown,
                  AbsentVersion,
                  {}});
    return;
  }
  if (Noisy && Kind == 1) { // It takes effect later, after its answer.
    answerCommit(Each, Id, {});
    at(Now_ + pick(1ms, 20s), [this, Request] { apply(Request); });
    return;
  }
  at(Now_ + latency(), [this, &Each, Id, Request, Noisy] {
    TableUse &Use = useNow();
    ++Use.Commits_;
    Use.RowsWritten_ += Request.Changes_.size();
    CommitResult Answer = apply(Request);
    answerCommit(Each, Id, Noisy ? CommitResult{} : Answer);
  });
}

void VirtualCluster::answerCommit(Node &Each, const TransactionId &Id,
                                  CommitResult Answer) {
  bool Trusting = Case_.Sabotage_ == Sabotage::TrustUnknownCommits &&
                  Answer.Outcome_ == CommitOutcome::Unknown;
  if (Trusting)
    Answer = {CommitOutcome::Committed, 1'000'000'000 + ++HarnessWrites_, {}};
  std::uint64_t Incarnation = Each.Incarnation_;
  at(Now_ + latency(), [this, &Each, Id, Answer, Incarnation] {
    if (Each.Incarnation_ == Incarnation)
      deliver(Each, CommitDone{Id, Answer});
  });
}

CommitResult VirtualCluster::apply(Transaction Request) {
  sabotageTransaction(Request);
  CommitResult Answer = Table_.commit(Request);
  if (Answer.Outcome_ != CommitOutcome::Committed)
    return Answer;
  for (const Change &Each : Request.Changes_)
    Oracle_.rowWritten({Each.Key_, Answer.Version_, Request.Id_, *Each.Value_},
                       Now_);
  Oracle_.transactionEnded();
  return Answer;
}

void VirtualCluster::sabotageTransaction(Transaction &Request) {
  if (Case_.Sabotage_ == Sabotage::NoZoneGuard)
    std::erase_if(Request.Guards_, [](const Guard &Each) {
      return Each.Key_.Kind_ == RowKind::Zone;
    });
  std::optional<RowKind> Blind;
  if (Case_.Sabotage_ == Sabotage::BlindRackWrites)
    Blind = RowKind::Rack;
  if (Case_.Sabotage_ == Sabotage::BlindLedgerWrites)
    Blind = RowKind::QuotaLedger;
  for (Change &Each : Request.Changes_)
    if (Blind && Each.Key_.Kind_ == *Blind) {
      std::optional<StoredRow> Row = Table_.read(Each.Key_);
      Each.Expected_ = Row ? Row->Version_ : AbsentVersion;
    }
}

void VirtualCluster::read(Node &Each, const ReadRows &Request) {
  std::uint64_t Incarnation = Each.Incarnation_;
  bool Fails = !tableReachable(Each) || (!Quiet_ && chance(Case_.Noise_));
  at(Now_ + latency(), [this, &Each, Request, Fails, Incarnation] {
    PlacementEvent Event = ReadFailed{Request.Read_};
    if (!Fails) {
      RowsRead Answer;
      Answer.Read_ = Request.Read_;
      if (Request.Scan_)
        Answer.Rows_ = Table_.scan(*Request.Scan_);
      for (const RowKey &Key : Request.Keys_) {
        std::optional<StoredRow> Row = Table_.read(Key);
        if (Row)
          Answer.Rows_.push_back(*Row);
        else
          Answer.Absent_.push_back(Key);
      }
      ++useNow().Reads_;
      useNow().RowsRead_ += Answer.Rows_.size();
      Event = std::move(Answer);
    }
    at(Now_ + latency(), [this, &Each, Event, Incarnation] {
      if (Each.Incarnation_ == Incarnation)
        deliver(Each, Event);
    });
  });
}

void VirtualCluster::exchange(Node &Each, const SendCommands &Request) {
  auto Found = std::ranges::find_if(Workers_, [&](const auto &Candidate) {
    return Candidate->Name_ == Request.Worker_;
  });
  const Worker &Target = **Found;
  if (Now_ < Target.RefusingUntil_) {
    at(Now_ + latency(), [this, &Each, Request] {
      deliver(Each,
              WorkerUnreachable{Request.Worker_, Request.Exchange_, true});
    });
    return;
  }
  bool Noisy = !Quiet_ && chance(Case_.Noise_);
  bool Cut = Now_ < Target.SilentUntil_ || Now_ < Each.WorkersCutUntil_;
  if (Cut || (Noisy && chance(0.5)))
    return;
  at(Now_ + latency(), [this, &Each, Request] { obey(Each, Request, true); });
  if (Noisy) // A copy wanders about.
    at(Now_ + pick(1ms, 15s),
       [this, &Each, Request] { obey(Each, Request, chance(0.5)); });
}

void VirtualCluster::obey(Node &Each, const SendCommands &Request,
                          bool Answered) {
  auto Found = std::ranges::find_if(Workers_, [&](const auto &Candidate) {
    return Candidate->Name_ == Request.Worker_;
  });
  Worker &Target = **Found;
  WorkerCommands Commands = Request.Commands_;
  sabotageCommands(Target, Commands);
  observe(Target, Commands);
  WorkerAnswer Answer = Target.Model_.obey(Commands, Target.clock(Now_));
  if (Answer.Accepted_)
    for (const StartCommand &Start : Commands.Starts_)
      if (Target.SeenStarts_.insert(Start.Attempt_).second)
        Oracle_.started(Start);
  bool Lost = Now_ < Target.SilentUntil_ || Now_ < Each.WorkersCutUntil_ ||
              (!Quiet_ && chance(Case_.Noise_));
  if (!Answered || Lost)
    return;
  std::uint64_t Incarnation = Each.Incarnation_;
  at(Now_ + latency(), [this, &Each, &Target, Request, Answer, Incarnation] {
    if (Each.Incarnation_ != Incarnation)
      return;
    hear(Each, Target, Request, Answer);
    deliver(Each, WorkerAnswered{Request.Worker_, Request.Exchange_, Answer});
  });
}

/// Tells the oracle what a node surely took in: the first answer of an exchange
/// that it has not given up.
void VirtualCluster::hear(Node &Each, const Worker &Target,
                          const SendCommands &Request,
                          const WorkerAnswer &Answer) {
  Duration Limit = Settings_.Timing_.ExchangeTimeout_ * 9 / 10;
  auto Sent = Each.Exchanges_.find(Request.Exchange_);
  bool First = Sent != Each.Exchanges_.end();
  if (!First)
    return;
  bool InTime = Now_ - Sent->second < Limit && Now_ >= Each.PausedUntil_;
  Each.Exchanges_.erase(Sent);
  if (!InTime || !Answer.Accepted_)
    return;
  for (const AttemptReport &Report : Answer.Report_.Attempts_)
    Oracle_.heard(Target.Rack_, Request.Commands_.Epoch_, Report);
}

void VirtualCluster::sabotageCommands(Worker &Target,
                                      WorkerCommands &Commands) {
  constexpr WorkerTime Never = 1'000'000'000'000;
  if (Case_.Sabotage_ == Sabotage::NoEpochs)
    Commands.Epoch_ = 1;
  if (Case_.Sabotage_ == Sabotage::NoStartBound)
    for (StartCommand &Start : Commands.Starts_) {
      Start.StartBefore_ = Never;
      Start.LeaseUntil_ =
          std::max(Start.LeaseUntil_,
                   Target.clock(Now_) + Settings_.Leases_.Lease_.count());
    }
  if (Case_.Sabotage_ != Sabotage::AcknowledgeAtOnce)
    return;
  for (const AttemptReport &Each :
       Target.Model_.report(Target.clock(Now_)).Attempts_)
    if (Each.State_ != AttemptState::Running)
      Commands.Acknowledged_.push_back(Each.Attempt_);
}

/// Tells the oracle which ends the worker is about to forget.
void VirtualCluster::observe(Worker &Target, const WorkerCommands &Commands) {
  WorkerReport Report = Target.Model_.report(Target.clock(Now_));
  if (Commands.Boot_ != Report.Boot_ || Commands.Epoch_ < Report.Epoch_)
    return;
  for (const AttemptRef &Each : Commands.Acknowledged_) {
    auto Found =
        std::ranges::find(Report.Attempts_, Each, &AttemptReport::Attempt_);
    if (Found != Report.Attempts_.end() &&
        Found->State_ != AttemptState::Running)
      Oracle_.acknowledged(*Found);
  }
}

void VirtualCluster::restartWorker(Worker &Target) {
  Target.Model_.restart(Target.clock(Now_));
  Target.Boots_[Target.Model_.boot()] = Now_;
}

} // namespace filbertspring::placement::test
