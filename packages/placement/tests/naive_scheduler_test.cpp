#define BOOST_TEST_MODULE naive_scheduler
#include "virtual_cluster_parts.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

constexpr std::uint64_t SeedCount = 25;

/// Runs one attempt to its end on a separate worker and returns its state.
AttemptState runAttempt(const JobRecord &Job, const AttemptRef &Attempt) {
  constexpr WorkerTime FarFuture = 1'000'000'000'000;
  WorkerModel Worker({WorkerName("only"), WorkerCapacity, {}});
  WorkerCommands Commands;
  Commands.Boot_ = Worker.boot();
  Commands.Starts_.push_back({Attempt,
                              Job.Contract_,
                              Job.Kind_,
                              Job.Size_,
                              Job.DeclaredRunTime_,
                              {},
                              Job.Payload_,
                              FarFuture,
                              FarFuture});
  Worker.obey(Commands, 0);
  return Worker.report(FarFuture - 1).Attempts_.at(0).State_;
}

/// Reference scheduler: runs the tasks one after another, each to its end, as
/// if under one global lock.
void runSequentially(Job &Subject) {
  const JobRecord &Record = Subject.record();
  for (std::int32_t Index = 0;
       Index < static_cast<std::int32_t>(Record.Tasks_.size()); ++Index) {
    if (!Record.Size_.fitsIn(WorkerCapacity))
      BOOST_REQUIRE(Subject.reject(Index, "too large"));
    while (Record.Tasks_[Index].State_ == TaskState::Waiting) {
      std::int32_t Attempt =
          Subject.claim(Index, {ZoneName("z"), RackName("r"), WorkerName("w")})
              .value();
      AttemptState End = runAttempt(Record, {{Record.Id_, Index}, Attempt});
      if (End == AttemptState::Finished)
        BOOST_REQUIRE(Subject.finish(Index, Attempt));
      else
        BOOST_REQUIRE(Subject.fail(Index, Attempt, "failed"));
    }
  }
}

JobRecord withResetTasks(JobRecord Record) {
  Record.Tasks_.assign(Record.Tasks_.size(), Task{});
  return Record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(compared_with_a_sequential_scheduler)

BOOST_AUTO_TEST_CASE(tasks_reach_the_same_final_states) {
  std::map<TaskState, int> FinalStateCounts;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    ClusterCase Case;
    Case.Seed_ = Seed;
    Case.FaultsEnd_ = Duration(0);
    ClusterResult Result = VirtualCluster(Case).run();
    BOOST_TEST(Result.Violations_.empty());
    for (const auto &[Name, Record] : Result.Jobs_) {
      Job Reference = Job::restore(withResetTasks(Record)).value();
      runSequentially(Reference);
      for (std::size_t Index = 0; Index < Record.Tasks_.size(); ++Index) {
        TaskState ClusterState = Record.Tasks_[Index].State_;
        TaskState ReferenceState = Reference.record().Tasks_[Index].State_;
        BOOST_TEST(nameOf(TaskStateNames, ClusterState) ==
                   nameOf(TaskStateNames, ReferenceState));
        ++FinalStateCounts[ClusterState];
      }
    }
  }
  // The comparison covers every final state that a task reaches without
  // external intervention.
  BOOST_TEST(FinalStateCounts[TaskState::Finished] > 0);
  BOOST_TEST(FinalStateCounts[TaskState::Failed] > 0);
  BOOST_TEST(FinalStateCounts[TaskState::Impossible] > 0);
}

BOOST_AUTO_TEST_SUITE_END()
