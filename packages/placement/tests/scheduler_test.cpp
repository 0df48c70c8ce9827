#include "filbertspring/placement/scheduler.h"

#include "filbertspring/standins/memory_table.h"
#include "filbertspring/standins/worker_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

const Resources Capacity{Millicores(4000), Mebibytes(8192), Accelerators(1)};
const Resources SmallSize{Millicores(1000), Mebibytes(1024), Accelerators(0)};
const ContractName LightContract("denizkul");
const ContractName HeavyContract("luneta");
const BatchKindName TestKind("filing");
const ZoneName HomeZone("bodrum");
const WorkerName TestWorker("w1");

/// One scheduler, one table and one worker. Every action is answered
/// immediately.
class TestCluster {
public:
  TestCluster() {
    AvailabilityZone Zone;
    Zone.Name_ = HomeZone;
    write({RowKind::Zone, HomeZone.str()}, Zone);
    ContractRecord Contract;
    Contract.Terms_.Name_ = LightContract;
    Contract.Terms_.Batch_ = BatchTerms{Capacity, 100, {{TestKind}}};
    write({RowKind::Contract, LightContract.str()}, Contract);
    Contract.Terms_.Name_ = HeavyContract;
    Contract.Terms_.Weight_ = 3;
    write({RowKind::Contract, HeavyContract.str()}, Contract);
  }

  void start() {
    send(RacksAssigned{{{RackName("r1"), HomeZone}}, {InstanceName("entry")}});
    advance(1s);
  }
  void write(const RowKey &Key, const RowValue &Value) {
    std::optional<StoredRow> Row = Table_.read(Key);
    Transaction Request;
    Request.Changes_ = {{Key, Row ? Row->Version_ : AbsentVersion, Value}};
    BOOST_REQUIRE(Table_.commit(Request).Outcome_ == CommitOutcome::Committed);
  }
  void submit(const std::string &Name, const Resources &Size,
              bool Urgent = false, const ContractName &Contract = LightContract,
              const std::vector<ZoneName> &Zones = {}) {
    JobRecord Job;
    Job.Id_ = JobId(Name);
    Job.Contract_ = Contract;
    Job.Zones_ = Zones;
    Job.Kind_ = TestKind;
    Job.Size_ = Size;
    Job.Urgent_ = Urgent;
    Job.SubmittedMs_ = ++Submitted_;
    Job.DeclaredRunTime_ = 1min;
    Job.Tasks_.resize(1);
    write({RowKind::Job, Name}, Job);
  }
  Task task(const char *Name) {
    StoredRow Row = *Table_.read({RowKind::Job, Name});
    return std::get<JobRecord>(Row.Value_).Tasks_.at(0);
  }
  void setZone(ZoneState State) {
    AvailabilityZone Zone;
    Zone.Name_ = HomeZone;
    Zone.State_ = State;
    write({RowKind::Zone, HomeZone.str()}, Zone);
  }
  /// Advances the time in steps of 50 ms.
  void advance(Duration Span) {
    constexpr Duration Step = 50ms;
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += Step) {
      Now_ += Step;
      if (Now_.time_since_epoch() % 1s == 0s)
        send(workerList());
      send(Tick{});
    }
  }
  void send(const PlacementEvent &Event) {
    std::deque<PlacementEvent> Events{Event};
    while (!Events.empty()) {
      std::vector<PlacementAction> Actions;
      Scheduler_.handle(Events.front(), Now_, Actions);
      Events.pop_front();
      for (const PlacementAction &Action : Actions)
        answer(Action, Events);
    }
  }
  std::string explanation(const char *Name) const {
    std::vector<TaskExplanation> Lines = Scheduler_.explain(JobId(Name));
    return Lines.empty() ? "" : Lines.front().Explanation_;
  }

  Scheduler Scheduler_{SchedulerSettings{}, InstanceName("entry"), 1};
  WorkerModel Worker_{{TestWorker, Capacity, {}}};
  MemoryTable Table_;

private:
  WorkersListed workerList() const {
    ListedInstance Entry;
    Entry.Name_ = InstanceName(TestWorker.str());
    Entry.Role_ = InstanceRole::Worker;
    Entry.Zone_ = HomeZone;
    Entry.Rack_ = RackName("r1");
    Entry.Capacity_ = Capacity;
    Entry.Http_ = {"127.0.0.1", 1};
    return {{Entry}};
  }
  void answer(const PlacementAction &Action,
              std::deque<PlacementEvent> &Events) {
    if (const auto *Commit = std::get_if<CommitRows>(&Action))
      Events.push_back(CommitDone{Commit->Transaction_.Id_,
                                  Table_.commit(Commit->Transaction_)});
    if (const auto *Read = std::get_if<ReadRows>(&Action))
      Events.push_back(readAnswer(*Read));
    if (const auto *Send = std::get_if<SendCommands>(&Action))
      Events.push_back(WorkerAnswered{
          Send->Worker_, Send->Exchange_,
          Worker_.obey(Send->Commands_, Now_.time_since_epoch().count())});
  }
  RowsRead readAnswer(const ReadRows &Read) {
    RowsRead Answer;
    Answer.Read_ = Read.Read_;
    if (Read.Scan_)
      Answer.Rows_ = Table_.scan(*Read.Scan_);
    for (const RowKey &Key : Read.Keys_)
      if (std::optional<StoredRow> Row = Table_.read(Key))
        Answer.Rows_.push_back(*Row);
      else
        Answer.Absent_.push_back(Key);
    return Answer;
  }

  TimePoint Now_{};
  std::int64_t Submitted_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler)

BOOST_AUTO_TEST_SUITE(schedulable_job)

BOOST_AUTO_TEST_CASE(is_claimed_run_and_finished) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_stopped_when_cancelled) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  StoredRow Row = *Subject.Table_.read({RowKind::Job, "a"});
  Job Cancelled = Job::restore(std::get<JobRecord>(Row.Value_)).value();
  Cancelled.cancel();
  Subject.write(Row.Key_, Cancelled.record());
  Subject.advance(6s);
  BOOST_TEST(Subject.Worker_.runs().at(0).Until_.has_value());
  BOOST_TEST(Subject.Scheduler_.snapshot().Workers_.at(0).Attempts_ == 0U);
}

BOOST_AUTO_TEST_CASE(is_evicted_on_request) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(20s);
  Subject.send(EvictRequested{{{JobId("a"), 0}, 1}, "too noisy"});
  Subject.advance(5s);
  Task Resumed = Subject.task("a");
  BOOST_TEST((Resumed.State_ == TaskState::Claimed));
  BOOST_TEST(Resumed.Attempt_ == 2);
  BOOST_TEST(Resumed.Evictions_ == 1);
  BOOST_TEST(!Resumed.Checkpoint_.empty());
}

BOOST_AUTO_TEST_CASE(runs_longer_when_throttled) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  Subject.send(ThrottleRequested{{{JobId("a"), 0}, 1}, 0.5});
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  Subject.advance(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(draining_instance)

BOOST_AUTO_TEST_CASE(makes_no_claims_and_keeps_running_tasks) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  Subject.send(DrainStarted{});
  Subject.submit("b", SmallSize);
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.explanation("b") == "this instance is draining");
  BOOST_TEST(Subject.Scheduler_.snapshot().Drained_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(waiting_job)

BOOST_AUTO_TEST_CASE(reports_that_no_worker_has_room) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity);
  Subject.advance(5s);
  Subject.submit("b", SmallSize);
  Subject.advance(5s);
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.explanation("b") == "no worker has room");
}

BOOST_AUTO_TEST_CASE(is_overtaken_by_an_urgent_job) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity);
  Subject.advance(5s);
  Subject.submit("b", Capacity);
  Subject.submit("c", Capacity, true);
  Subject.advance(65s);
  BOOST_TEST((Subject.task("c").State_ == TaskState::Claimed));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
}

BOOST_AUTO_TEST_CASE(is_served_in_proportion_to_the_weight_of_its_contract) {
  TestCluster Subject;
  Subject.start();
  for (int Number = 0; Number < 40; ++Number) {
    Subject.submit("light-" + std::to_string(Number), SmallSize);
    Subject.submit("heavy-" + std::to_string(Number), SmallSize, false,
                   HeavyContract);
  }
  Subject.advance(8min);
  auto Heavy =
      std::ranges::count_if(Subject.Worker_.runs(), [](const RunInterval &Run) {
        return Run.Attempt_.Task_.Job_.str().starts_with("heavy");
      });
  auto Runs = static_cast<std::ptrdiff_t>(Subject.Worker_.runs().size());
  BOOST_TEST(Runs >= 20);
  // Three quarters, within one round of the four tasks that fit on the worker.
  BOOST_TEST(std::abs(4 * Heavy - 3 * Runs) <= 4 * 4);
}

BOOST_AUTO_TEST_CASE(is_not_blocked_by_jobs_for_another_zone) {
  TestCluster Subject;
  AvailabilityZone Other;
  Other.Name_ = ZoneName("marmaris");
  Subject.write({RowKind::Zone, Other.Name_.str()}, Other);
  Subject.start();
  for (int Number = 0; Number < 60; ++Number)
    Subject.submit("far-" + std::to_string(Number), SmallSize, false,
                   LightContract, {Other.Name_});
  Subject.submit("near", SmallSize);
  Subject.advance(20s);
  BOOST_TEST((Subject.task("near").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.explanation("far-1") == "zone not allowed");
}

BOOST_AUTO_TEST_CASE(waits_while_the_platform_is_unreachable) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.send(PlatformState{false});
  Subject.advance(2s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Waiting));
  Subject.send(PlatformState{true});
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(waits_while_its_zone_is_out_of_service) {
  TestCluster Subject;
  Subject.start();
  Subject.setZone(ZoneState::OutOfService);
  Subject.submit("a", SmallSize);
  Subject.advance(10s);
  BOOST_TEST(Subject.explanation("a") == "zone out of service");
  Subject.setZone(ZoneState::InService);
  Subject.advance(10s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(impossible_job)

BOOST_AUTO_TEST_CASE(is_rejected_when_it_exceeds_the_quota) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity + SmallSize);
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Impossible));
  BOOST_TEST(Subject.task("a").Reason_ ==
             "larger than the quota of its contract");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(zone_out_of_service)

BOOST_AUTO_TEST_CASE(evicts_with_a_checkpoint_and_resumes_once) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(30s);
  Subject.setZone(ZoneState::OutOfService);
  Subject.advance(10s);
  Task Evicted = Subject.task("a");
  BOOST_TEST((Evicted.State_ == TaskState::Waiting));
  BOOST_TEST(Evicted.Evictions_ == 1);
  BOOST_TEST(!Evicted.Checkpoint_.empty());
  Subject.setZone(ZoneState::InService);
  Subject.advance(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.task("a").Attempt_ == 2);
  BOOST_TEST(Subject.Worker_.runs().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
