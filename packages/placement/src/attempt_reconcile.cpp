#include "attempt_reconcile.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// What an answer contains about one attempt, and the commands sent for it.
struct AttemptEvidence {
  const AttemptReport *Report_ = nullptr;
  const RefusedStart *Refusal_ = nullptr;
  bool StopSent_ = false;
  bool StartSent_ = false;
};

AttemptEvidence evidenceOf(const AttemptRef &Attempt,
                           const ExchangeInFlight &Flight,
                           const WorkerAnswer &Answer) {
  AttemptEvidence Evidence;
  const WorkerCommands &Sent = Flight.Commands_;
  auto ReportIt = std::ranges::find(Answer.Report_.Attempts_, Attempt,
                                    &AttemptReport::Attempt_);
  if (ReportIt != Answer.Report_.Attempts_.end())
    Evidence.Report_ = &*ReportIt;
  auto RefusalIt =
      std::ranges::find(Answer.Refused_, Attempt, &RefusedStart::Attempt_);
  if (RefusalIt != Answer.Refused_.end())
    Evidence.Refusal_ = &*RefusalIt;
  Evidence.StopSent_ =
      std::ranges::find(Sent.Stops_, Attempt, &StopCommand::Attempt_) !=
      Sent.Stops_.end();
  Evidence.StartSent_ =
      std::ranges::find(Sent.Starts_, Attempt, &StartCommand::Attempt_) !=
      Sent.Starts_.end();
  return Evidence;
}

void confirmRunning(SchedulerCore &Core, RackState &Rack,
                    TrackedAttempt &Tracked, const WorkerState &Worker) {
  if (Tracked.State_ == AttemptPhase::Running)
    return;
  bool Adopted = Tracked.State_ == AttemptPhase::Unconfirmed;
  // The worker rejects commands of previous owners from now on, so no lease of
  // theirs is based on a later clock reading than this one.
  if (Adopted)
    Tracked.LatestLeaseExpiry_ =
        latestLeaseExpiry(*Worker.LatestReading_, Core.Settings_.Leases_);
  Tracked.State_ = AttemptPhase::Running;
  Tracked.RunningSince_ = Core.Now_;
  Tracked.Boot_ = Worker.Boot_;
  Tracked.Start_.reset();
  Core.log(Adopted ? LogEvent::TaskRecovered : LogEvent::TaskStarted,
           Tracked.Assignment_.Attempt_, Rack.Name_, Worker.Name_,
           Adopted ? "adopted" : "");
}

/// Handles a report that an attempt stopped. Only an attempt that was stopped
/// with a checkpoint counts as evicted, since a worker also reports attempts as
/// stopped that never started there.
void applyStop(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Tracked) {
  bool Evicted = Tracked.Stop_ == StopMode::WithCheckpoint;
  markEnded(Core, Rack, Tracked,
            Evicted ? AttemptEnd::Evicted : AttemptEnd::Lost,
            Tracked.StopReason_.empty() ? "stopped" : Tracked.StopReason_);
}

/// Records the first report that an attempt finished or failed as evidence
/// about its worker and its job.
void recordOutcome(SchedulerCore &Core, const RackState &Rack,
                   const TrackedAttempt &Tracked, bool Failed) {
  if (Tracked.State_ == AttemptPhase::Ended)
    return;
  const AttemptRef &Attempt = Tracked.Assignment_.Attempt_;
  bool Quarantined = Core.Evidence_.record(Tracked.Worker_, Attempt.Task_.Job_,
                                           Failed, Core.Now_);
  if (!Quarantined)
    return;
  Core.log(LogEvent::WorkerQuarantined, Attempt, Rack.Name_, Tracked.Worker_,
           "it failed several jobs");
  if (std::optional<TimePoint> Trial = Core.Evidence_.nextTrial(Core.Now_))
    Core.Timers_.set(TrialTimer, *Trial);
}

void applyReport(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Tracked,
                 const WorkerState &Worker, const AttemptReport &Report) {
  Tracked.Progress_ = Report.Progress_;
  if (!Report.Checkpoint_.empty())
    Tracked.Checkpoint_ = Report.Checkpoint_;
  switch (Report.State_) {
  case AttemptState::Running:
    confirmRunning(Core, Rack, Tracked, Worker);
    break;
  case AttemptState::Finished:
    recordOutcome(Core, Rack, Tracked, false);
    markEnded(Core, Rack, Tracked, AttemptEnd::Finished, Report.Reason_);
    break;
  case AttemptState::Failed:
    recordOutcome(Core, Rack, Tracked, true);
    markEnded(Core, Rack, Tracked, AttemptEnd::Failed, Report.Reason_);
    break;
  case AttemptState::Stopped:
    applyStop(Core, Rack, Tracked);
    break;
  case AttemptState::Lapsed:
    markEnded(Core, Rack, Tracked, AttemptEnd::Lost, "lease lapsed");
    break;
  }
}

/// Stops the attempt immediately. The worker refuses every later start of it,
/// so a delayed start command has no effect.
void stopImmediately(SchedulerCore &Core, TrackedAttempt &Tracked,
                     WorkerState &Worker, std::string Reason) {
  if (Tracked.Stop_ == StopMode::None)
    Tracked.StopReason_ = std::move(Reason);
  Tracked.Stop_ = StopMode::Immediate;
  Core.scheduleExchangeNow(Worker);
}

void handleMissingReport(SchedulerCore &Core, RackState &Rack,
                         TrackedAttempt &Tracked, WorkerState &Worker,
                         const AttemptEvidence &Evidence) {
  if (Evidence.StopSent_) {
    markEnded(Core, Rack, Tracked, AttemptEnd::Lost,
              Tracked.StopReason_.empty() ? "not running"
                                          : Tracked.StopReason_);
    return;
  }
  if (Evidence.Refusal_ != nullptr) {
    std::string_view Why =
        nameOf(StartRefusalNames, Evidence.Refusal_->Reason_);
    Core.log(LogEvent::StartRefused, Tracked.Assignment_.Attempt_, Rack.Name_,
             Worker.Name_, std::string(Why));
    stopImmediately(Core, Tracked, Worker,
                    "start refused: " + std::string(Why));
    return;
  }
  bool AwaitsStart =
      Tracked.State_ == AttemptPhase::Starting && !Evidence.StartSent_;
  if (AwaitsStart)
    Core.scheduleExchangeNow(Worker);
  else
    stopImmediately(Core, Tracked, Worker, "not running on its worker");
}

/// Collects the attempts that the worker reports but the table does not assign
/// to it.
void collectUnassigned(SchedulerCore &Core, const RackState &Rack,
                       WorkerState &Worker, const WorkerReport &Report) {
  Worker.EndedUnassigned_.clear();
  Worker.UnassignedRunning_.clear();
  for (const AttemptReport &Entry : Report.Attempts_) {
    if (Rack.TrackedAttempts_.contains(Entry.Attempt_))
      continue;
    bool Running = Entry.State_ == AttemptState::Running;
    (Running ? Worker.UnassignedRunning_ : Worker.EndedUnassigned_)
        .insert(Entry.Attempt_);
  }
  if (!Worker.UnassignedRunning_.empty())
    Core.scheduleExchangeNow(Worker);
}

std::vector<TrackedAttempt *> activeAttemptsOn(RackState &Rack,
                                               const WorkerName &Worker) {
  std::vector<TrackedAttempt *> Active;
  for (auto &[Attempt, Tracked] : Rack.TrackedAttempts_)
    if (Tracked.Worker_ == Worker && Tracked.State_ != AttemptPhase::Ended)
      Active.push_back(&Tracked);
  return Active;
}

} // namespace

void markEnded(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Tracked,
               AttemptEnd End, std::string Reason) {
  Tracked.State_ = AttemptPhase::Ended;
  Tracked.End_ = End;
  Tracked.EndReason_ = std::move(Reason);
  Core.markDirty(Rack.Name_);
}

void expireAttempts(SchedulerCore &Core, RackState &Rack,
                    const WorkerState &Worker) {
  const LeaseSettings &Leases = Core.Settings_.Leases_;
  for (TrackedAttempt *Tracked : activeAttemptsOn(Rack, Worker.Name_)) {
    if (Tracked->LatestLeaseExpiry_) {
      if (Core.Now_ >= *Tracked->LatestLeaseExpiry_)
        markEnded(Core, Rack, *Tracked, AttemptEnd::Lost,
                  "worker unreachable until its lease lapsed");
      continue;
    }
    bool TooLate = hasPassedOnWorker(Tracked->ClaimReading_, Core.Now_,
                                     Tracked->Start_->StartBefore_, Leases);
    bool StopRequested = Tracked->Stop_ != StopMode::None;
    if (TooLate || StopRequested || Tracked->Boot_ != Worker.Boot_)
      markEnded(Core, Rack, *Tracked, AttemptEnd::Lost, "never started");
  }
}

void endEarlierBoots(SchedulerCore &Core, RackState &Rack,
                     const WorkerState &Worker, const std::string &Boot) {
  for (TrackedAttempt *Tracked : activeAttemptsOn(Rack, Worker.Name_))
    if (!Tracked->Boot_.empty() && Tracked->Boot_ != Boot)
      markEnded(Core, Rack, *Tracked, AttemptEnd::Lost, "worker restarted");
}

void reconcile(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
               const ExchangeInFlight &Flight, const WorkerAnswer &Answer) {
  for (TrackedAttempt *Tracked : activeAttemptsOn(Rack, Worker.Name_)) {
    const AttemptRef &Attempt = Tracked->Assignment_.Attempt_;
    AttemptEvidence Evidence = evidenceOf(Attempt, Flight, Answer);
    if (Evidence.Report_ != nullptr)
      applyReport(Core, Rack, *Tracked, Worker, *Evidence.Report_);
    else
      handleMissingReport(Core, Rack, *Tracked, Worker, Evidence);
  }
  collectUnassigned(Core, Rack, Worker, Answer.Report_);
}

} // namespace filbertspring::placement
