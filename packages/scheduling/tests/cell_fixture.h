#ifndef FILBERTSPRING_SCHEDULING_TESTS_CELL_FIXTURE_H
#define FILBERTSPRING_SCHEDULING_TESTS_CELL_FIXTURE_H

/// \file
/// A scheduler whose actions a test reads and answers itself.

#include "filbertspring/scheduling/scheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::scheduling::test {

using namespace std::chrono_literals;

/// A scheduler with two healthy workers and one queue.
struct Cell {
  explicit Cell(const SchedulerSettings &Settings = SchedulerSettings())
      : Scheduler_(Settings, Now_) {
    auto Queues = std::make_shared<QueueTable>();
    Queue Batch;
    Batch.Name_ = "batch";
    Batch.Service_ = "service";
    Batch.Attempts_ = 2;
    Queues->Queues_ = {Batch};
    Scheduler_.configure(Queues);
    for (const char *Id : {"w1", "w2"})
      list(Id, false);
    step();
    answerRenewals();
    step();
  }

  void list(const std::string &Id, bool IsDraining, std::int64_t Born = 1) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Id;
    Entry.Zone_ = Zones_.contains(Id) ? Zones_[Id]
                  : Id == "w1"        ? "zone-a"
                                      : "zone-b";
    Entry.IsDraining_ = IsDraining;
    if (Racks_.contains(Id))
      Entry.Labels_ = {"kind", Racks_[Id]};
    Entry.Capacity_ = Capacity_;
    Entry.StartedAtMs_ = Born;
    Scheduler_.workerRegistered(Entry, Now_);
  }

  /// Advances the time, completes or fails a transaction, and collects actions.
  void step(Duration Time = 20ms, bool IsStored = true) {
    Now_ += Time;
    Scheduler_.advance(Now_, 0, Now_, true);
    Scheduler_.place(Now_);
    collect();
    if (!Scheduler_.hasWrites())
      return;
    PendingWrites Writes = Scheduler_.takeWrites(90);
    LastWrites_ = Writes;
    if (IsStored)
      store(Writes);
    if (IsStored)
      Scheduler_.writesStored(Writes, Now_);
    else
      Scheduler_.writesFailed(Writes);
    collect();
  }

  /// Applies \p Writes to the stored rows.
  void store(const PendingWrites &Writes) {
    for (const auto &[Id, Progress] : Writes.Progress_)
      Snapshots_[Id] = Progress;
    if (!Writes.Journal_.Entries_.empty())
      Journal_[Writes.Journal_.Number_] = Writes.Journal_;
    for (const JournalRow &Rest : Writes.SnapshotRests_)
      Journal_[Rest.Number_] = Rest;
    for (std::uint64_t Number : Writes.RemovedJournalRows_)
      Journal_.erase(Number);
    for (const std::string &Id : Writes.RemovedJobs_)
      Snapshots_.erase(Id);
  }

  /// Returns what a new owner reads of all jobs.
  std::map<std::string, JobProgress> storedProgress() const {
    std::map<std::string, JobProgress> Progress = Snapshots_;
    for (const auto &[Number, Row] : Journal_)
      applyJournalRow(Row, Progress);
    return Progress;
  }

  void collect() {
    for (Action &NextAction : Scheduler_.takeActions()) {
      if (auto *Start = std::get_if<StartTask>(&NextAction))
        Starts_.push_back(*Start);
      if (auto *Stop = std::get_if<StopTask>(&NextAction))
        Stops_.push_back(*Stop);
      if (auto *Renewal = std::get_if<RenewLease>(&NextAction)) {
        Renewals_.push_back(*Renewal);
        LastRenewals_[Renewal->Worker_] = *Renewal;
      }
      if (auto *Pace = std::get_if<PaceTask>(&NextAction))
        Paces_[Pace->Name_.text()] = Pace->Percent_;
    }
  }

  void answerRenewals() {
    for (const RenewLease &Renewal : std::exchange(Renewals_, {})) {
      WorkerReport Report;
      Report.ClockMs_ = clockMs();
      Report.StartedAtMs_ = Born_;
      Report.RunningTasks_ = RunningTasks_[Renewal.Worker_];
      Report.EndedTasks_ = EndedTasks_[Renewal.Worker_];
      Report.MayOmitEnds_ = MayOmitEnds_;
      Report.UnreadableEntries_ = UnreadableEntries_;
      Scheduler_.renewalAnswered(Renewal, Report, Now_);
    }
  }

  /// Returns the clock of the workers.
  std::int64_t clockMs() const {
    return (Now_.time_since_epoch() + ClockOffset_) / 1ms;
  }

  void acceptStarts() {
    for (const StartTask &Start : Starts_) {
      RunningTasks_[Start.Worker_].push_back(
          {Start.Name_, Start.Run_, "", 0, 0});
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::Accepted, Now_);
    }
  }

  void submit(const std::string &Id, std::vector<StepSpec> Steps,
              const std::string &Workspace = "") {
    AcceptedJob Job;
    Job.Id_ = Id;
    Job.Workspace_ = Workspace;
    Job.Queue_ = "batch";
    Job.Service_ = "service";
    Job.Spec_.Steps_ = std::move(Steps);
    Scheduler_.addJob(Job, Now_);
  }

  static StepSpec task(std::uint32_t Count, std::int64_t MilliCpu = 1000) {
    StepSpec Step;
    Step.Count_ = Count;
    Step.Request_ = {MilliCpu, 100, 0};
    return Step;
  }

  /// Ends the run of the first start command on its worker.
  void end(EndReason Reason) {
    const StartTask &Start = Starts_.front();
    RunningTasks_[Start.Worker_].clear();
    EndedTasks_[Start.Worker_].push_back(
        {1, Start.Name_, Start.Run_, Reason, ""});
  }

  TimePoint Now_{100s};
  Resources Capacity_{8000, 16000, 0};
  /// The zones and racks of workers that differ from the usual ones.
  std::map<std::string, std::string> Zones_;
  std::map<std::string, std::string> Racks_;
  Duration ClockOffset_{};
  /// The start time of the workers in their reports.
  std::int64_t Born_ = 1;
  /// What their reports leave out.
  bool MayOmitEnds_ = false;
  std::size_t UnreadableEntries_ = 0;
  Scheduler Scheduler_;
  std::vector<StartTask> Starts_;
  std::vector<StopTask> Stops_;
  std::vector<RenewLease> Renewals_;
  /// The last renewal of each worker.
  std::map<std::string, RenewLease> LastRenewals_;
  /// The last pace that was sent for each task.
  std::map<std::string, int> Paces_;
  std::map<std::string, std::vector<RunningTask>> RunningTasks_;
  std::map<std::string, std::vector<EndedTask>> EndedTasks_;
  PendingWrites LastWrites_;
  std::map<std::string, JobProgress> Snapshots_;
  std::map<std::uint64_t, JournalRow> Journal_;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_CELL_FIXTURE_H
