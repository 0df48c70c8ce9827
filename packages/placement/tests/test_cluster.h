#ifndef FILBERTSPRING_PLACEMENT_TESTS_TEST_CLUSTER_H
#define FILBERTSPRING_PLACEMENT_TESTS_TEST_CLUSTER_H

/// \file
/// One scheduler with one worker in virtual time.

#include "filbertspring/placement/scheduler.h"

#include "filbertspring/standins/memory_table.h"
#include "filbertspring/standins/worker_model.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

inline const Resources Capacity{Millicores(4000), Mebibytes(8192),
                                Accelerators(1)};
inline const Resources SmallSize{Millicores(1000), Mebibytes(1024),
                                 Accelerators(0)};
inline const ContractName LightContract("denizkul");
inline const ContractName HeavyContract("luneta");
inline const BatchKindName TestKind("filing");
inline const ZoneName HomeZone("bodrum");
inline const WorkerName TestWorker("w1");

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

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_TEST_CLUSTER_H
