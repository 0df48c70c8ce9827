#include "virtual_cluster_parts.h"

#include <algorithm>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

void VirtualCluster::commit(Node &Instance, const Transaction &Request) {
  TransactionId Id = Request.Id_;
  bool Faulty = !FaultFree_ && chance(Case_.MessageFaultRate_ * 4);
  std::uint32_t Kind = Random_(4);
  if (!isTableReachable(Instance) || (Faulty && Kind == 0)) {
    bool KnownNotCommitted = chance(0.5);
    answerCommit(Instance, Id,
                 {KnownNotCommitted ? CommitOutcome::NotCommitted
                                    : CommitOutcome::Unknown,
                  AbsentVersion,
                  {}});
    return;
  }
  if (Faulty && Kind == 1) { // The commit takes effect after its answer.
    answerCommit(Instance, Id, {});
    schedule(Now_ + drawDuration(1ms, 20s),
             [this, Request] { apply(Request); });
    return;
  }
  schedule(Now_ + drawLatency(), [this, &Instance, Id, Request, Faulty] {
    TableUsage &Usage = currentUsage();
    ++Usage.Commits_;
    Usage.RowsWritten_ += Request.Changes_.size();
    CommitResult Answer = apply(Request);
    answerCommit(Instance, Id, Faulty ? CommitResult{} : Answer);
  });
}

void VirtualCluster::answerCommit(Node &Instance, const TransactionId &Id,
                                  CommitResult Answer) {
  bool AssumesCommitted = Case_.Mutation_ == Mutation::AssumeUnknownCommitted &&
                          Answer.Outcome_ == CommitOutcome::Unknown;
  if (AssumesCommitted)
    Answer = {CommitOutcome::Committed, 1'000'000'000 + ++HarnessWrites_, {}};
  std::uint64_t Incarnation = Instance.Incarnation_;
  schedule(Now_ + drawLatency(), [this, &Instance, Id, Answer, Incarnation] {
    if (Instance.Incarnation_ == Incarnation)
      deliver(Instance, CommitDone{Id, Answer});
  });
}

CommitResult VirtualCluster::apply(Transaction Request) {
  mutateTransaction(Request);
  CommitResult Answer = Table_.commit(Request);
  if (Answer.Outcome_ != CommitOutcome::Committed)
    return Answer;
  for (const Change &RowChange : Request.Changes_)
    Oracle_.recordRow(
        {RowChange.Key_, Answer.Version_, Request.Id_, *RowChange.Value_},
        Now_);
  Oracle_.checkTransaction();
  return Answer;
}

void VirtualCluster::mutateTransaction(Transaction &Request) {
  if (Case_.Mutation_ == Mutation::NoZoneGuard)
    std::erase_if(Request.Guards_, [](const Guard &RowGuard) {
      return RowGuard.Key_.Kind_ == RowKind::Zone;
    });
  std::optional<RowKind> UnconditionalKind;
  if (Case_.Mutation_ == Mutation::UnconditionalRackWrites)
    UnconditionalKind = RowKind::Rack;
  if (Case_.Mutation_ == Mutation::UnconditionalLedgerWrites)
    UnconditionalKind = RowKind::QuotaLedger;
  for (Change &RowChange : Request.Changes_)
    if (UnconditionalKind && RowChange.Key_.Kind_ == *UnconditionalKind) {
      std::optional<StoredRow> Row = Table_.read(RowChange.Key_);
      RowChange.Expected_ = Row ? Row->Version_ : AbsentVersion;
    }
}

void VirtualCluster::mutateScan(std::vector<StoredRow> &Rows) const {
  if (Case_.Mutation_ == Mutation::LeaveOutJobs)
    std::erase_if(Rows, [](const StoredRow &Row) {
      return Row.Key_.Kind_ == RowKind::Job && Row.Key_.Name_.ends_with('7');
    });
}

void VirtualCluster::read(Node &Instance, const ReadRows &Request) {
  std::uint64_t Incarnation = Instance.Incarnation_;
  bool Fails = !isTableReachable(Instance) ||
               (!FaultFree_ && chance(Case_.MessageFaultRate_));
  schedule(
      Now_ + drawLatency(), [this, &Instance, Request, Fails, Incarnation] {
        PlacementEvent Event = ReadFailed{Request.Read_};
        if (!Fails) {
          RowsRead Answer;
          Answer.Read_ = Request.Read_;
          if (Request.Scan_)
            Answer.Rows_ = Table_.scan(*Request.Scan_);
          mutateScan(Answer.Rows_);
          for (const RowKey &Key : Request.Keys_) {
            std::optional<StoredRow> Row = Table_.read(Key);
            if (Row)
              Answer.Rows_.push_back(*Row);
            else
              Answer.Absent_.push_back(Key);
          }
          ++currentUsage().Reads_;
          currentUsage().RowsRead_ += Answer.Rows_.size();
          Event = std::move(Answer);
        }
        schedule(Now_ + drawLatency(), [this, &Instance, Event, Incarnation] {
          if (Instance.Incarnation_ == Incarnation)
            deliver(Instance, Event);
        });
      });
}

void VirtualCluster::exchange(Node &Instance, const SendCommands &Request) {
  auto Match = std::ranges::find_if(Workers_, [&](const auto &Candidate) {
    return Candidate->Name_ == Request.Worker_;
  });
  const Worker &Target = **Match;
  if (Now_ < Target.ConnectionsRefusedUntil_) {
    schedule(Now_ + drawLatency(), [this, &Instance, Request] {
      deliver(Instance,
              WorkerUnreachable{Request.Worker_, Request.Exchange_, true});
    });
    return;
  }
  bool Faulty = !FaultFree_ && chance(Case_.MessageFaultRate_);
  bool Partitioned = Now_ < Target.MessagesDroppedUntil_ ||
                     Now_ < Instance.WorkersPartitionedUntil_;
  if (Partitioned || (Faulty && chance(0.5)))
    return;
  schedule(Now_ + drawLatency(), [this, &Instance, Request] {
    executeCommands(Instance, Request, true);
  });
  if (Faulty) // A duplicate arrives late.
    schedule(Now_ + drawDuration(1ms, 15s), [this, &Instance, Request] {
      executeCommands(Instance, Request, chance(0.5));
    });
}

void VirtualCluster::executeCommands(Node &Instance,
                                     const SendCommands &Request,
                                     bool SendsAnswer) {
  auto Match = std::ranges::find_if(Workers_, [&](const auto &Candidate) {
    return Candidate->Name_ == Request.Worker_;
  });
  Worker &Target = **Match;
  WorkerCommands Commands = Request.Commands_;
  mutateCommands(Target, Commands);
  reportAcknowledgements(Target, Commands);
  WorkerAnswer Answer = Target.Model_.obey(Commands, Target.clock(Now_));
  if (Answer.Accepted_)
    for (const StartCommand &Start : Commands.Starts_)
      if (Target.SeenStarts_.insert(Start.Attempt_).second)
        Oracle_.recordStart(Start);
  bool Lost = Now_ < Target.MessagesDroppedUntil_ ||
              Now_ < Instance.WorkersPartitionedUntil_ ||
              (!FaultFree_ && chance(Case_.MessageFaultRate_));
  if (!SendsAnswer || Lost)
    return;
  std::uint64_t Incarnation = Instance.Incarnation_;
  schedule(Now_ + drawLatency(),
           [this, &Instance, &Target, Request, Answer, Incarnation] {
             if (Instance.Incarnation_ != Incarnation)
               return;
             recordAnswer(Instance, Target, Request, Answer);
             deliver(Instance, WorkerAnswered{Request.Worker_,
                                              Request.Exchange_, Answer});
           });
}

/// Passes to the oracle the reports that a node has certainly processed: those
/// in the first answer to an exchange that has not timed out.
void VirtualCluster::recordAnswer(Node &Instance, const Worker &Target,
                                  const SendCommands &Request,
                                  const WorkerAnswer &Answer) {
  Duration Limit = Settings_.Timing_.ExchangeTimeout_ * 9 / 10;
  auto Sent = Instance.Exchanges_.find(Request.Exchange_);
  bool IsFirstAnswer = Sent != Instance.Exchanges_.end();
  if (!IsFirstAnswer)
    return;
  bool InTime = Now_ - Sent->second < Limit && Now_ >= Instance.PausedUntil_;
  Instance.Exchanges_.erase(Sent);
  if (!InTime || !Answer.Accepted_)
    return;
  for (const AttemptReport &Report : Answer.Report_.Attempts_)
    Oracle_.recordReport(Target.Rack_, Request.Commands_.Epoch_, Report);
}

void VirtualCluster::mutateCommands(Worker &Target, WorkerCommands &Commands) {
  constexpr WorkerTime FarFuture = 1'000'000'000'000;
  if (Case_.Mutation_ == Mutation::NoEpochCheck)
    Commands.Epoch_ = 1;
  if (Case_.Mutation_ == Mutation::NoStartBound)
    for (StartCommand &Start : Commands.Starts_) {
      Start.StartBefore_ = FarFuture;
      Start.LeaseUntil_ =
          std::max(Start.LeaseUntil_,
                   Target.clock(Now_) + Settings_.Leases_.Lease_.count());
    }
  if (Case_.Mutation_ != Mutation::AcknowledgeBeforeCommit)
    return;
  for (const AttemptReport &Report :
       Target.Model_.report(Target.clock(Now_)).Attempts_)
    if (Report.State_ != AttemptState::Running)
      Commands.Acknowledged_.push_back(Report.Attempt_);
}

/// Passes to the oracle the acknowledgements of ended attempts, whose final
/// reports the worker discards next.
void VirtualCluster::reportAcknowledgements(Worker &Target,
                                            const WorkerCommands &Commands) {
  WorkerReport Report = Target.Model_.report(Target.clock(Now_));
  if (Commands.Boot_ != Report.Boot_ || Commands.Epoch_ < Report.Epoch_)
    return;
  for (const AttemptRef &Attempt : Commands.Acknowledged_) {
    auto Match =
        std::ranges::find(Report.Attempts_, Attempt, &AttemptReport::Attempt_);
    if (Match != Report.Attempts_.end() &&
        Match->State_ != AttemptState::Running)
      Oracle_.checkAcknowledgement(*Match);
  }
}

void VirtualCluster::restartWorker(Worker &Target) {
  Target.Model_.restart(Target.clock(Now_));
  Target.BootTimes_[Target.Model_.boot()] = Now_;
}

} // namespace filbertspring::placement::test
