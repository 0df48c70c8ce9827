#ifndef FILBERTSPRING_SCHEDULING_TESTS_WORKSPACE_FIXTURE_H
#define FILBERTSPRING_SCHEDULING_TESTS_WORKSPACE_FIXTURE_H

/// \file
/// A cell with two workspaces.

#include "cell_fixture.h"

namespace filbertspring::scheduling::test {

inline constexpr Resources ThreeCores{3000, 0, 0};

/// A cell of two workers with eight processors each and two workspaces, of
/// which `alder` has a maximum. Workers carry out all commands.
struct QuotaCell : Cell {
  QuotaCell() { setMaximum(ThreeCores); }

  /// Applies a configuration in which `alder` has \p Maximum.
  void setMaximum(const Resources &Maximum) {
    configure({{"alder", {}, 1.0, Maximum}, {"birch", {}, 1.0, {}}},
              Scheduler_);
  }
  static void configure(std::vector<Workspace> Workspaces, Scheduler &Target) {
    auto Table = std::make_shared<QueueTable>();
    Table->Queues_.resize(1);
    Table->Queues_.front().Name_ = "batch";
    Table->Queues_.front().Service_ = "service";
    Table->Queues_.front().Attempts_ = 2;
    Table->Workspaces_ = std::move(Workspaces);
    Target.configure(Table);
  }

  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      for (const StartTask &Start : std::exchange(Starts_, {})) {
        RunningTasks_[Start.Worker_].push_back(
            {Start.Name_, Start.Run_, "", 0, 0});
        Started_.push_back(Start);
        Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                                 CallOutcome::Accepted, Now_);
      }
      answerRenewals();
    }
  }

  /// Ends the run that was started as number \p Index.
  void finish(std::size_t Index, EndReason Reason = EndReason::Done) {
    const StartTask &Start = Started_.at(Index);
    std::erase_if(RunningTasks_[Start.Worker_], [&](const RunningTask &Task) {
      return Task.Run_ == Start.Run_ && Task.Name_.text() == Start.Name_.text();
    });
    std::vector<EndedTask> &Ends = EndedTasks_[Start.Worker_];
    Ends.push_back({Ends.size() + 1, Start.Name_, Start.Run_, Reason, ""});
  }

  Resources used(const std::string &Workspace) const {
    for (const WorkspaceCounts &Counts : Scheduler_.workspaceCounts())
      if (Counts.Name_ == Workspace)
        return Counts.Used_;
    return {};
  }
  std::size_t startsOf(const std::string &Job) const {
    return static_cast<std::size_t>(std::count_if(
        Started_.begin(), Started_.end(),
        [&](const StartTask &Start) { return Start.Name_.Job_ == Job; }));
  }

  std::vector<StartTask> Started_;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_WORKSPACE_FIXTURE_H
