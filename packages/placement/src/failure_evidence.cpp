#include "filbertspring/placement/failure_evidence.h"

#include <algorithm>

namespace filbertspring::placement {

bool FailureEvidence::record(const WorkerName &Worker, const JobId &Job,
                             bool Failed, TimePoint Now) {
  WorkerEvidence &Entry = Workers_[Worker];
  Entry.LastOutcomeAt_ = Now;
  if (Failed)
    return recordFailure(Entry, Worker, Job, Now);
  recordSuccess(Entry, Job);
  return false;
}

void FailureEvidence::recordSuccess(WorkerEvidence &Worker, const JobId &Job) {
  Jobs_.erase(Job);
  Worker.FailedJobs_.clear();
  Worker.Succeeded_ = true;
  if (!Worker.SuccessfulTrials_)
    return;
  ++*Worker.SuccessfulTrials_;
  std::size_t Allowance =
      std::size_t{1} << std::min<std::size_t>(*Worker.SuccessfulTrials_, 32);
  if (Allowance >= Settings_.UnboundedFromAllowance_) {
    Worker.SuccessfulTrials_.reset();
    Worker.QuarantineCount_ = 0;
  }
}

bool FailureEvidence::recordFailure(WorkerEvidence &Worker,
                                    const WorkerName &Name, const JobId &Job,
                                    TimePoint Now) {
  bool Credible = Worker.Succeeded_ && !Worker.SuccessfulTrials_;
  JobEvidence &Entry = Jobs_[Job];
  Entry.LastOutcomeAt_ = Now;
  if (Credible)
    Entry.FailedOn_.insert(Name);
  if (isSuspect(Job))
    return false;
  Worker.FailedJobs_.insert(Job);
  bool FailedTrial =
      Worker.SuccessfulTrials_ &&
      Now >= Worker.QuarantinedSince_ + Settings_.FirstQuarantine_;
  bool TooManyFailures = !Worker.SuccessfulTrials_ &&
                         countedFailures(Worker) >= Settings_.JobsToQuarantine_;
  if (!FailedTrial && !TooManyFailures)
    return false;
  quarantine(Worker, Now);
  return true;
}

/// Counts the failed jobs of \p Worker except those that became suspect later.
std::size_t
FailureEvidence::countedFailures(const WorkerEvidence &Worker) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Worker.FailedJobs_, [this](const JobId &Job) {
        return !isSuspect(Job);
      }));
}

void FailureEvidence::quarantine(WorkerEvidence &Worker, TimePoint Now) const {
  Duration Length = Settings_.FirstQuarantine_;
  for (std::size_t Round = 0; Round < Worker.QuarantineCount_; ++Round)
    Length = std::min(Length * 2, Settings_.MaxQuarantine_);
  ++Worker.QuarantineCount_;
  Worker.SuccessfulTrials_ = 0;
  Worker.Succeeded_ = false;
  Worker.QuarantinedSince_ = Now;
  Worker.QuarantinedUntil_ = Now + Length;
}

std::size_t FailureEvidence::allowance(const WorkerName &Worker,
                                       TimePoint Now) const {
  return allowanceAfter(Worker, Now, Settings_.MaxQuarantine_);
}

std::size_t FailureEvidence::allowanceAmongSuspects(const WorkerName &Worker,
                                                    TimePoint Now) const {
  return allowanceAfter(Worker, Now, Settings_.FirstQuarantine_);
}

std::size_t FailureEvidence::allowanceAfter(const WorkerName &Worker,
                                            TimePoint Now,
                                            Duration MaxLength) const {
  auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || !Found->second.SuccessfulTrials_)
    return UnboundedAllowance;
  const WorkerEvidence &Entry = Found->second;
  bool AllFailuresExcused = *Entry.SuccessfulTrials_ == 0 &&
                            !Entry.FailedJobs_.empty() &&
                            countedFailures(Entry) == 0;
  if (AllFailuresExcused)
    return UnboundedAllowance;
  if (Now <
      std::min(Entry.QuarantinedUntil_, Entry.QuarantinedSince_ + MaxLength))
    return 0;
  return std::size_t{1} << std::min<std::size_t>(*Entry.SuccessfulTrials_, 32);
}

bool FailureEvidence::isSuspect(const JobId &Job) const {
  auto Found = Jobs_.find(Job);
  return Found != Jobs_.end() &&
         Found->second.FailedOn_.size() >= Settings_.WorkersToSuspectJob_;
}

std::optional<TimePoint> FailureEvidence::nextTrial(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Entry] : Workers_)
    if (Entry.SuccessfulTrials_ && Entry.QuarantinedUntil_ > Now)
      Next = Next ? std::min(*Next, Entry.QuarantinedUntil_)
                  : Entry.QuarantinedUntil_;
  return Next;
}

void FailureEvidence::discardExpired(TimePoint Now) {
  auto IsExpired = [this, Now](const auto &Item) {
    return Now - Item.second.LastOutcomeAt_ > Settings_.Retention_;
  };
  std::erase_if(Jobs_, IsExpired);
  std::erase_if(Workers_, IsExpired);
}

} // namespace filbertspring::placement
