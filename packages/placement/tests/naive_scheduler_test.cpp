#define BOOST_TEST_MODULE naive_scheduler
#include "virtual_cluster_parts.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

constexpr std::uint64_t Seeds = 25;

/// Runs one attempt to its end on a worker of its own.
AttemptState runAlone(const JobRecord &Job, const AttemptRef &Attempt) {
  constexpr WorkerTime Never = 1'000'000'000'000;
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
                              Never,
                              Never});
  Worker.obey(Commands, 0);
  return Worker.report(Never - 1).Attempts_.at(0).State_;
}

/// Runs one task after the other, each to its end, under one lock.
void runNaively(Job &Subject) {
  const JobRecord &Record = Subject.record();
  for (std::int32_t Index = 0;
       Index < static_cast<std::int32_t>(Record.Tasks_.size()); ++Index) {
    if (!Record.Size_.fitsIn(WorkerCapacity))
      BOOST_REQUIRE(Subject.reject(Index, "too large"));
    while (Record.Tasks_[Index].State_ == TaskState::Waiting) {
      std::int32_t Attempt =
          Subject.claim(Index, {ZoneName("z"), RackName("r"), WorkerName("w")})
              .value();
      AttemptState End = runAlone(Record, {{Record.Id_, Index}, Attempt});
      if (End == AttemptState::Finished)
        BOOST_REQUIRE(Subject.finish(Index, Attempt));
      else
        BOOST_REQUIRE(Subject.fail(Index, Attempt, "failed"));
    }
  }
}

JobRecord unstarted(JobRecord Record) {
  Record.Tasks_.assign(Record.Tasks_.size(), Task{});
  return Record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(against_a_naive_scheduler)

BOOST_AUTO_TEST_CASE(the_same_tasks_finish) {
  std::map<TaskState, int> Ends;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClusterCase Case;
    Case.Seed_ = Seed;
    Case.FaultsEnd_ = Duration(0);
    ClusterResult Result = VirtualCluster(Case).run();
    BOOST_TEST(Result.Objections_.empty());
    for (const auto &[Name, Record] : Result.Jobs_) {
      Job Naive = Job::restore(unstarted(Record)).value();
      runNaively(Naive);
      for (std::size_t Index = 0; Index < Record.Tasks_.size(); ++Index) {
        TaskState Mine = Record.Tasks_[Index].State_;
        TaskState Theirs = Naive.record().Tasks_[Index].State_;
        BOOST_TEST(nameOf(TaskStateNames, Mine) ==
                   nameOf(TaskStateNames, Theirs));
        ++Ends[Mine];
      }
    }
  }
  // The comparison covers each way in which a task can end by itself.
  BOOST_TEST(Ends[TaskState::Finished] > 0);
  BOOST_TEST(Ends[TaskState::Failed] > 0);
  BOOST_TEST(Ends[TaskState::Impossible] > 0);
}

BOOST_AUTO_TEST_SUITE_END()
