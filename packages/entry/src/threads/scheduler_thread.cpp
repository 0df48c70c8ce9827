#include "scheduler_thread.h"

#include "../process_name.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <set>

namespace filbertspring {
namespace {

constexpr Duration MaxSchedulerWait = std::chrono::milliseconds(100);
constexpr double PartsPerMillion = 1e6;

placement::SchedulerSettings schedulerSettings(const Settings &Values) {
  placement::SchedulerSettings Result;
  Result.Leases_.Lease_ = Values.Leases_.WorkerLease_;
  Result.Leases_.StartBound_ = Values.ZonesOut_.StartBound_;
  Result.Leases_.CutOffGrace_ = Values.Leases_.CutOffGrace_;
  Result.Leases_.DriftPpm_ =
      static_cast<std::int64_t>(Values.Leases_.ClockDrift_ * PartsPerMillion);
  Result.Leases_.Margin_ = Values.Leases_.Margin_;
  Result.Interference_ = Values.Batch_.Interference_ == Toggle::On;
  Result.Timing_.WorkerPollInterval_ = Values.Leases_.RenewInterval_;
  return Result;
}

/// Returns the keys of \p Requested without a row in \p Batch. Returns none if
/// any row could not be decoded, since that row may belong to any of the keys.
std::vector<RowKey> absentKeys(const std::vector<RowKey> &Requested,
                               const RowBatch &Batch) {
  std::set<RowKey> Present;
  for (const StoredRow &Row : Batch.Rows_)
    Present.insert(Row.Key_);
  std::vector<RowKey> Absent;
  if (!Batch.Findings_.empty())
    return Absent;
  std::ranges::copy_if(
      Requested, std::back_inserter(Absent),
      [&Present](const RowKey &Key) { return !Present.contains(Key); });
  return Absent;
}

placement::PlacementEvent readEvent(placement::RequestNumber Number,
                                    const std::vector<RowKey> &Requested,
                                    Result<RowBatch> Answer) {
  if (!Answer)
    return placement::ReadFailed{Number};
  std::vector<RowKey> Absent = absentKeys(Requested, *Answer);
  return placement::RowsRead{Number, std::move(Answer->Rows_),
                             std::move(Absent)};
}

void logSchedulerRecord(const placement::LogRecord &Record) {
  logEvent(Record.Event_, {{"job", Record.Attempt_.Task_.Job_.str()},
                           {"task", Record.Attempt_.Task_.Index_},
                           {"attempt", Record.Attempt_.Attempt_},
                           {"rack", Record.Rack_.str()},
                           {"worker", Record.Worker_.str()},
                           {"text", Record.Text_}});
}

} // namespace

SchedulerThread::SchedulerThread(const Settings &Values,
                                 const InstanceName &Self,
                                 TableClientPool &Table,
                                 CounterRegistry &Counters)
    : Table_(Table),
      DroppedEvents_(Counters.counter("filbertspring_placement_dropped_total")),
      Scheduler_(schedulerSettings(Values), Self, randomSeed()),
      Events_(RingCapacity),
      CommandSender_(
          Values, WorkerThreads,
          [this](placement::PlacementEvent Event) { post(std::move(Event)); }),
      Thread_([this] { run(); }) {}

SchedulerThread::~SchedulerThread() { stop(); }

void SchedulerThread::post(placement::PlacementEvent Event) {
  if (!Events_.tryPush(std::move(Event)))
    DroppedEvents_.add();
}

Duration SchedulerThread::waitTime() const {
  std::scoped_lock Lock(Mutex_);
  std::optional<TimePoint> Wake = Scheduler_.nextWake();
  if (!Wake)
    return MaxSchedulerWait;
  return std::clamp(*Wake - SchedulerClock::now(), Duration::zero(),
                    MaxSchedulerWait);
}

void SchedulerThread::run() {
  while (!Stopping_) {
    std::optional<placement::PlacementEvent> Event = Events_.popFor(waitTime());
    handle(Event ? *Event : placement::PlacementEvent(placement::Tick{}));
  }
}

void SchedulerThread::handle(const placement::PlacementEvent &Event) {
  std::vector<placement::PlacementAction> Actions;
  {
    std::scoped_lock Lock(Mutex_);
    Scheduler_.handle(Event, SchedulerClock::now(), Actions);
  }
  for (placement::PlacementAction &Action : Actions)
    perform(Action);
}

void SchedulerThread::perform(placement::PlacementAction &Action) {
  std::visit(Overloaded{[this](placement::CommitRows &Commit) {
                          commit(std::move(Commit.Transaction_));
                        },
                        [this](placement::ReadRows &Request) { read(Request); },
                        [this](placement::SendCommands &Commands) {
                          CommandSender_.send(Commands);
                        },
                        [](placement::LogRecord &Record) {
                          logSchedulerRecord(Record);
                        }},
             Action);
}

void SchedulerThread::commit(Transaction Request) {
  TransactionId Id = Request.Id_;
  Table_.post(TableCommit{std::move(Request), [this, Id](CommitResult Result) {
                            post(placement::CommitDone{Id, std::move(Result)});
                          }});
}

void SchedulerThread::read(const placement::ReadRows &Request) {
  auto Done = [this, Number = Request.Read_,
               Keys = Request.Keys_](Result<RowBatch> Answer) {
    post(readEvent(Number, Keys, std::move(Answer)));
  };
  if (Request.Scan_)
    Table_.post(TableScan{*Request.Scan_, {}, std::move(Done)});
  else
    Table_.post(TableRead{Request.Keys_, std::move(Done)});
}

std::vector<placement::TaskExplanation>
SchedulerThread::explain(const JobId &Job) const {
  std::scoped_lock Lock(Mutex_);
  return Scheduler_.explain(Job);
}

placement::SchedulerSnapshot SchedulerThread::snapshot() const {
  std::scoped_lock Lock(Mutex_);
  return Scheduler_.snapshot();
}

void SchedulerThread::stop() {
  if (!Thread_.joinable())
    return;
  Stopping_ = true;
  Thread_.join();
  CommandSender_.stop();
}

} // namespace filbertspring
