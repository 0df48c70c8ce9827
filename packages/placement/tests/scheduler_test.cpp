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
const Resources Small{Millicores(1000), Mebibytes(1024), Accelerators(0)};
const ContractName Customer("denizkul");
const ContractName Heavier("luneta");
const BatchKindName Filing("filing");
const ZoneName Home("bodrum");
const WorkerName Machine("w1");

/// One scheduler, one table and one worker, with answers at once.
class Site {
public:
  Site() {
    AvailabilityZone Zone;
    Zone.Name_ = Home;
    write({RowKind::Zone, Home.str()}, Zone);
    ContractRecord Contract;
    Contract.Terms_.Name_ = Customer;
    Contract.Terms_.Batch_ = BatchTerms{Capacity, 100, {{Filing}}};
    write({RowKind::Contract, Customer.str()}, Contract);
    Contract.Terms_.Name_ = Heavier;
    Contract.Terms_.Weight_ = 3;
    write({RowKind::Contract, Heavier.str()}, Contract);
  }

  void begin() {
    tell(RacksAssigned{{{RackName("r1"), Home}}, {InstanceName("entry")}});
    passTime(1s);
  }
  void write(const RowKey &Key, const RowValue &Value) {
    std::optional<StoredRow> Row = Table_.read(Key);
    Transaction Request;
    Request.Changes_ = {{Key, Row ? Row->Version_ : AbsentVersion, Value}};
    BOOST_REQUIRE(Table_.commit(Request).Outcome_ == CommitOutcome::Committed);
  }
  void submit(const std::string &Name, const Resources &Size,
              bool Urgent = false, const ContractName &Contract = Customer,
              const std::vector<ZoneName> &Zones = {}) {
    JobRecord Job;
    Job.Id_ = JobId(Name);
    Job.Contract_ = Contract;
    Job.Zones_ = Zones;
    Job.Kind_ = Filing;
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
    Zone.Name_ = Home;
    Zone.State_ = State;
    write({RowKind::Zone, Home.str()}, Zone);
  }
  /// Lets time pass in small steps.
  void passTime(Duration Span) {
    constexpr Duration Step = 50ms;
    for (Duration Passed{}; Passed < Span; Passed += Step) {
      Now_ += Step;
      if (Now_.time_since_epoch() % 1s == 0s)
        tell(listed());
      tell(Tick{});
    }
  }
  void tell(const PlacementEvent &Event) {
    std::deque<PlacementEvent> Events{Event};
    while (!Events.empty()) {
      std::vector<PlacementAction> Actions;
      Scheduler_.handle(Events.front(), Now_, Actions);
      Events.pop_front();
      for (const PlacementAction &Each : Actions)
        answer(Each, Events);
    }
  }
  std::string why(const char *Name) const {
    std::vector<TaskExplanation> Lines = Scheduler_.explain(JobId(Name));
    return Lines.empty() ? "" : Lines.front().Explanation_;
  }

  Scheduler Scheduler_{SchedulerSettings{}, InstanceName("entry"), 1};
  WorkerModel Worker_{{Machine, Capacity, {}}};
  MemoryTable Table_;

private:
  WorkersListed listed() const {
    ListedInstance Entry;
    Entry.Name_ = InstanceName(Machine.str());
    Entry.Role_ = InstanceRole::Worker;
    Entry.Zone_ = Home;
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

BOOST_AUTO_TEST_SUITE(a_job_that_fits)

BOOST_AUTO_TEST_CASE(is_claimed_run_and_finished) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
  Subject.passTime(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_stopped_when_its_owner_cancels_it) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(6s);
  StoredRow Row = *Subject.Table_.read({RowKind::Job, "a"});
  Job Cancelled = Job::restore(std::get<JobRecord>(Row.Value_)).value();
  Cancelled.cancel();
  Subject.write(Row.Key_, Cancelled.record());
  Subject.passTime(6s);
  BOOST_TEST(Subject.Worker_.runs().at(0).Until_.has_value());
  BOOST_TEST(Subject.Scheduler_.snapshot().Workers_.at(0).Attempts_ == 0U);
}

BOOST_AUTO_TEST_CASE(is_evicted_when_a_policy_asks) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(20s);
  Subject.tell(EvictRequested{{{JobId("a"), 0}, 1}, "too noisy"});
  Subject.passTime(5s);
  Task Resumed = Subject.task("a");
  BOOST_TEST((Resumed.State_ == TaskState::Claimed));
  BOOST_TEST(Resumed.Attempt_ == 2);
  BOOST_TEST(Resumed.Evictions_ == 1);
  BOOST_TEST(!Resumed.Checkpoint_.empty());
}

BOOST_AUTO_TEST_CASE(runs_longer_when_a_policy_throttles_it) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(6s);
  Subject.tell(ThrottleRequested{{{JobId("a"), 0}, 1}, 0.5});
  Subject.passTime(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  Subject.passTime(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_drains)

BOOST_AUTO_TEST_CASE(claims_nothing_more_and_keeps_what_runs) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(6s);
  Subject.tell(DrainStarted{});
  Subject.submit("b", Small);
  Subject.passTime(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.why("b") == "this instance is draining");
  BOOST_TEST(Subject.Scheduler_.snapshot().Drained_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_that_must_wait)

BOOST_AUTO_TEST_CASE(says_that_no_worker_has_room) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Capacity);
  Subject.passTime(5s);
  Subject.submit("b", Small);
  Subject.passTime(5s);
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.why("b") == "no worker has room");
}

BOOST_AUTO_TEST_CASE(lets_an_urgent_one_pass) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Capacity);
  Subject.passTime(5s);
  Subject.submit("b", Capacity);
  Subject.submit("c", Capacity, true);
  Subject.passTime(65s);
  BOOST_TEST((Subject.task("c").State_ == TaskState::Claimed));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
}

BOOST_AUTO_TEST_CASE(takes_turns_by_the_weights_of_the_contracts) {
  Site Subject;
  Subject.begin();
  for (int Number = 0; Number < 40; ++Number) {
    Subject.submit("light-" + std::to_string(Number), Small);
    Subject.submit("heavy-" + std::to_string(Number), Small, false, Heavier);
  }
  Subject.passTime(8min);
  auto Heavy =
      std::ranges::count_if(Subject.Worker_.runs(), [](const RunInterval &Run) {
        return Run.Attempt_.Task_.Job_.str().starts_with("heavy");
      });
  auto Runs = static_cast<std::ptrdiff_t>(Subject.Worker_.runs().size());
  BOOST_TEST(Runs >= 20);
  // Three quarters, give or take one round of the worker's four places.
  BOOST_TEST(std::abs(4 * Heavy - 3 * Runs) <= 4 * 4);
}

BOOST_AUTO_TEST_CASE(is_not_blocked_by_many_that_wait_for_another_zone) {
  Site Subject;
  AvailabilityZone Other;
  Other.Name_ = ZoneName("marmaris");
  Subject.write({RowKind::Zone, Other.Name_.str()}, Other);
  Subject.begin();
  for (int Number = 0; Number < 60; ++Number)
    Subject.submit("far-" + std::to_string(Number), Small, false, Customer,
                   {Other.Name_});
  Subject.submit("near", Small);
  Subject.passTime(20s);
  BOOST_TEST((Subject.task("near").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.why("far-1") == "zone not allowed");
}

BOOST_AUTO_TEST_CASE(waits_while_the_platform_is_unreachable) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.tell(PlatformState{false});
  Subject.passTime(2s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Waiting));
  Subject.tell(PlatformState{true});
  Subject.passTime(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(waits_for_its_zone) {
  Site Subject;
  Subject.begin();
  Subject.setZone(ZoneState::OutOfService);
  Subject.submit("a", Small);
  Subject.passTime(10s);
  BOOST_TEST(Subject.why("a") == "zone out of service");
  Subject.setZone(ZoneState::InService);
  Subject.passTime(10s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_that_can_never_run)

BOOST_AUTO_TEST_CASE(is_named_when_it_exceeds_the_quota) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Capacity + Small);
  Subject.passTime(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Impossible));
  BOOST_TEST(Subject.task("a").Reason_ ==
             "larger than the quota of its contract");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_zone_taken_out)

BOOST_AUTO_TEST_CASE(evicts_with_a_checkpoint_and_resumes_once) {
  Site Subject;
  Subject.begin();
  Subject.submit("a", Small);
  Subject.passTime(30s);
  Subject.setZone(ZoneState::OutOfService);
  Subject.passTime(10s);
  Task Evicted = Subject.task("a");
  BOOST_TEST((Evicted.State_ == TaskState::Waiting));
  BOOST_TEST(Evicted.Evictions_ == 1);
  BOOST_TEST(!Evicted.Checkpoint_.empty());
  Subject.setZone(ZoneState::InService);
  Subject.passTime(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.task("a").Attempt_ == 2);
  BOOST_TEST(Subject.Worker_.runs().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
