#include "filbertspring/placement/failure_evidence.h"

#include <algorithm>

namespace filbertspring::placement {

bool FailureEvidence::record(const WorkerName &Worker, const JobId &Job,
                             bool Failed, TimePoint Now) {
  WorkerEvidence &Entry = Workers_[Worker];
  Entry.Last_ = Now;
  if (Failed)
    return fail(Entry, Worker, Job, Now);
  succeed(Entry, Job);
  return false;
}

void FailureEvidence::succeed(WorkerEvidence &Worker, const JobId &Job) {
  Jobs_.erase(Job);
  Worker.FailedJobs_.clear();
  Worker.Succeeded_ = true;
  if (!Worker.Trials_)
    return;
  ++*Worker.Trials_;
  std::size_t Allowed = std::size_t{1}
                        << std::min<std::size_t>(*Worker.Trials_, 32);
  if (Allowed >= Settings_.UnboundedFrom_) {
    Worker.Trials_.reset();
    Worker.TimesSetAside_ = 0;
  }
}

bool FailureEvidence::fail(WorkerEvidence &Worker, const WorkerName &Name,
                           const JobId &Job, TimePoint Now) {
  bool Credible = Worker.Succeeded_ && !Worker.Trials_;
  JobEvidence &Entry = Jobs_[Job];
  Entry.Last_ = Now;
  if (Credible)
    Entry.FailedOn_.insert(Name);
  if (isSuspect(Job))
    return false;
  Worker.FailedJobs_.insert(Job);
  bool FailedTrial = Worker.Trials_ && Now >= Worker.Until_;
  bool TooMany =
      !Worker.Trials_ && countedFailures(Worker) >= Settings_.JobsToSetAside_;
  if (!FailedTrial && !TooMany)
    return false;
  setAside(Worker, Now);
  return true;
}

/// Failures of jobs that later proved suspect no longer count.
std::size_t
FailureEvidence::countedFailures(const WorkerEvidence &Worker) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Worker.FailedJobs_, [this](const JobId &Job) {
        return !isSuspect(Job);
      }));
}

void FailureEvidence::setAside(WorkerEvidence &Worker, TimePoint Now) const {
  Duration Length = Settings_.SetAside_;
  for (std::size_t Round = 0; Round < Worker.TimesSetAside_; ++Round)
    Length = std::min(Length * 2, Settings_.SetAsideMax_);
  ++Worker.TimesSetAside_;
  Worker.Trials_ = 0;
  Worker.Succeeded_ = false;
  Worker.Until_ = Now + Length;
}

std::size_t FailureEvidence::allowance(const WorkerName &Worker,
                                       TimePoint Now) const {
  auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || !Found->second.Trials_)
    return UnboundedAllowance;
  const WorkerEvidence &Entry = Found->second;
  bool Cleared = *Entry.Trials_ == 0 && !Entry.FailedJobs_.empty() &&
                 countedFailures(Entry) == 0;
  if (Cleared)
    return UnboundedAllowance;
  if (Now < Entry.Until_)
    return 0;
  return std::size_t{1} << std::min<std::size_t>(*Entry.Trials_, 32);
}

bool FailureEvidence::isSuspect(const JobId &Job) const {
  auto Found = Jobs_.find(Job);
  return Found != Jobs_.end() &&
         Found->second.FailedOn_.size() >= Settings_.WorkersToSuspectJob_;
}

std::optional<TimePoint> FailureEvidence::nextTrial(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Entry] : Workers_)
    if (Entry.Trials_ && Entry.Until_ > Now)
      Next = Next ? std::min(*Next, Entry.Until_) : Entry.Until_;
  return Next;
}

void FailureEvidence::discardExpired(TimePoint Now) {
  auto IsOld = [this, Now](const auto &Item) {
    return Now - Item.second.Last_ > Settings_.Memory_;
  };
  std::erase_if(Jobs_, IsOld);
  std::erase_if(Workers_, IsOld);
}

} // namespace filbertspring::placement
