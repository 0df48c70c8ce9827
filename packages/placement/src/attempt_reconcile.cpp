#include "attempt_reconcile.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// What an answer says of one attempt, and what was sent about it.
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
  auto Listed = std::ranges::find(Answer.Report_.Attempts_, Attempt,
                                  &AttemptReport::Attempt_);
  if (Listed != Answer.Report_.Attempts_.end())
    Evidence.Report_ = &*Listed;
  auto Refused =
      std::ranges::find(Answer.Refused_, Attempt, &RefusedStart::Attempt_);
  if (Refused != Answer.Refused_.end())
    Evidence.Refusal_ = &*Refused;
  Evidence.StopSent_ =
      std::ranges::find(Sent.Stops_, Attempt, &StopCommand::Attempt_) !=
      Sent.Stops_.end();
  Evidence.StartSent_ =
      std::ranges::find(Sent.Starts_, Attempt, &StartCommand::Attempt_) !=
      Sent.Starts_.end();
  return Evidence;
}

void seenRunning(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Held,
                 const WorkerState &Worker) {
  if (Held.State_ == AttemptPhase::Running)
    return;
  bool Adopted = Held.State_ == AttemptPhase::Unconfirmed;
  // The worker refuses earlier owners from now on, so no lease of theirs is
  // based on a later reading than this one.
  if (Adopted)
    Held.LatestLeaseExpiry_ =
        latestLeaseExpiry(*Worker.LatestReading_, Core.Settings_.Leases_);
  Held.State_ = AttemptPhase::Running;
  Held.Boot_ = Worker.Boot_;
  Held.Start_.reset();
  Core.log(Adopted ? LogEvent::TaskRecovered : LogEvent::TaskStarted,
           Held.Assignment_.Attempt_, Rack.Name_, Worker.Name_,
           Adopted ? "adopted" : "");
}

/// Only an attempt that was asked for a checkpoint counts as evicted; a worker
/// also reports attempts as stopped that never started there.
void takeStop(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Held) {
  bool Evicted = Held.Stop_ == StopMode::WithCheckpoint;
  markEnded(Core, Rack, Held, Evicted ? AttemptEnd::Evicted : AttemptEnd::Lost,
            Held.StopReason_.empty() ? "stopped" : Held.StopReason_);
}

/// Takes the first report of an attempt's own end as evidence about its worker
/// and its job.
void noteResult(SchedulerCore &Core, const RackState &Rack,
                const TrackedAttempt &Held, bool Failed) {
  if (Held.State_ == AttemptPhase::Ended)
    return;
  const AttemptRef &Attempt = Held.Assignment_.Attempt_;
  bool SetAside = Core.Evidence_.record(Held.Worker_, Attempt.Task_.Job_,
                                        Failed, Core.Now_);
  if (!SetAside)
    return;
  Core.log(LogEvent::WorkerQuarantined, Attempt, Rack.Name_, Held.Worker_,
           "it failed several jobs");
  if (std::optional<TimePoint> Trial = Core.Evidence_.nextTrial(Core.Now_))
    Core.Timers_.set(TrialTimer, *Trial);
}

void takeReport(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Held,
                const WorkerState &Worker, const AttemptReport &Report) {
  Held.Progress_ = Report.Progress_;
  if (!Report.Checkpoint_.empty())
    Held.Checkpoint_ = Report.Checkpoint_;
  switch (Report.State_) {
  case AttemptState::Running:
    seenRunning(Core, Rack, Held, Worker);
    break;
  case AttemptState::Finished:
    noteResult(Core, Rack, Held, false);
    markEnded(Core, Rack, Held, AttemptEnd::Finished, Report.Reason_);
    break;
  case AttemptState::Failed:
    noteResult(Core, Rack, Held, true);
    markEnded(Core, Rack, Held, AttemptEnd::Failed, Report.Reason_);
    break;
  case AttemptState::Stopped:
    takeStop(Core, Rack, Held);
    break;
  case AttemptState::Lapsed:
    markEnded(Core, Rack, Held, AttemptEnd::Lost, "lease lapsed");
    break;
  }
}

/// Asks for a stop, after which the worker refuses every late start.
void stopToBeSure(SchedulerCore &Core, TrackedAttempt &Held,
                  WorkerState &Worker, std::string Reason) {
  if (Held.Stop_ == StopMode::None)
    Held.StopReason_ = std::move(Reason);
  Held.Stop_ = StopMode::Immediate;
  Core.scheduleExchangeNow(Worker);
}

void takeSilence(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Held,
                 WorkerState &Worker, const AttemptEvidence &Evidence) {
  if (Evidence.StopSent_) {
    markEnded(Core, Rack, Held, AttemptEnd::Lost,
              Held.StopReason_.empty() ? "not running" : Held.StopReason_);
    return;
  }
  if (Evidence.Refusal_ != nullptr) {
    std::string_view Why =
        nameOf(StartRefusalNames, Evidence.Refusal_->Reason_);
    Core.log(LogEvent::StartRefused, Held.Assignment_.Attempt_, Rack.Name_,
             Worker.Name_, std::string(Why));
    stopToBeSure(Core, Held, Worker, "start refused: " + std::string(Why));
    return;
  }
  bool Waits = Held.State_ == AttemptPhase::Starting && !Evidence.StartSent_;
  if (Waits)
    Core.scheduleExchangeNow(Worker);
  else
    stopToBeSure(Core, Held, Worker, "not running on its worker");
}

/// Remembers attempts that the worker lists and the table does not assign.
void takeUnassigned(SchedulerCore &Core, const RackState &Rack,
                    WorkerState &Worker, const WorkerReport &Report) {
  Worker.EndedUnassigned_.clear();
  Worker.UnassignedRunning_.clear();
  for (const AttemptReport &Each : Report.Attempts_) {
    if (Rack.TrackedAttempts_.contains(Each.Attempt_))
      continue;
    bool Running = Each.State_ == AttemptState::Running;
    (Running ? Worker.UnassignedRunning_ : Worker.EndedUnassigned_)
        .insert(Each.Attempt_);
  }
  if (!Worker.UnassignedRunning_.empty())
    Core.scheduleExchangeNow(Worker);
}

std::vector<TrackedAttempt *> heldOn(RackState &Rack,
                                     const WorkerName &Worker) {
  std::vector<TrackedAttempt *> Found;
  for (auto &[Attempt, Held] : Rack.TrackedAttempts_)
    if (Held.Worker_ == Worker && Held.State_ != AttemptPhase::Ended)
      Found.push_back(&Held);
  return Found;
}

} // namespace

void markEnded(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Held,
               AttemptEnd End, std::string Reason) {
  Held.State_ = AttemptPhase::Ended;
  Held.End_ = End;
  Held.EndReason_ = std::move(Reason);
  Core.markDirty(Rack.Name_);
}

void expireAttempts(SchedulerCore &Core, RackState &Rack,
                    const WorkerState &Worker) {
  const LeaseSettings &Leases = Core.Settings_.Leases_;
  for (TrackedAttempt *Held : heldOn(Rack, Worker.Name_)) {
    if (Held->LatestLeaseExpiry_) {
      if (Core.Now_ >= *Held->LatestLeaseExpiry_)
        markEnded(Core, Rack, *Held, AttemptEnd::Lost,
                  "worker unreachable until its lease lapsed");
      continue;
    }
    bool TooLate = hasPassedOnWorker(Held->ClaimReading_, Core.Now_,
                                     Held->Start_->StartBefore_, Leases);
    bool Unwanted = Held->Stop_ != StopMode::None;
    if (TooLate || Unwanted || Held->Boot_ != Worker.Boot_)
      markEnded(Core, Rack, *Held, AttemptEnd::Lost, "never started");
  }
}

void endEarlierBoots(SchedulerCore &Core, RackState &Rack,
                     const WorkerState &Worker, const std::string &Boot) {
  for (TrackedAttempt *Held : heldOn(Rack, Worker.Name_))
    if (!Held->Boot_.empty() && Held->Boot_ != Boot)
      markEnded(Core, Rack, *Held, AttemptEnd::Lost, "worker restarted");
}

void reconcile(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
               const ExchangeInFlight &Flight, const WorkerAnswer &Answer) {
  for (TrackedAttempt *Held : heldOn(Rack, Worker.Name_)) {
    const AttemptRef &Attempt = Held->Assignment_.Attempt_;
    AttemptEvidence Evidence = evidenceOf(Attempt, Flight, Answer);
    if (Evidence.Report_ != nullptr)
      takeReport(Core, Rack, *Held, Worker, *Evidence.Report_);
    else
      takeSilence(Core, Rack, *Held, Worker, Evidence);
  }
  takeUnassigned(Core, Rack, Worker, Answer.Report_);
}

} // namespace filbertspring::placement
