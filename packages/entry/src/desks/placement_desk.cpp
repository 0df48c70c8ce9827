#include "placement_desk.h"

#include "../process_name.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <set>

namespace filbertspring {
namespace {

constexpr Duration MaxWait = std::chrono::milliseconds(100);
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

/// Returns those of \p Asked that are neither among \p Found's rows nor among
/// those that could not be decoded.
std::vector<RowKey> absentKeys(const std::vector<RowKey> &Asked,
                               const RowBatch &Found) {
  std::set<RowKey> Present;
  for (const StoredRow &Row : Found.Rows_)
    Present.insert(Row.Key_);
  std::vector<RowKey> Absent;
  if (!Found.Findings_.empty())
    return Absent;
  std::ranges::copy_if(
      Asked, std::back_inserter(Absent),
      [&Present](const RowKey &Key) { return !Present.contains(Key); });
  return Absent;
}

placement::PlacementEvent readEvent(placement::RequestNumber Number,
                                    const std::vector<RowKey> &Asked,
                                    Result<RowBatch> Answer) {
  if (!Answer)
    return placement::ReadFailed{Number};
  std::vector<RowKey> Absent = absentKeys(Asked, *Answer);
  return placement::RowsRead{Number, std::move(Answer->Rows_),
                             std::move(Absent)};
}

void logNote(const placement::LogRecord &Note) {
  logEvent(Note.Event_, {{"job", Note.Attempt_.Task_.Job_.str()},
                         {"task", Note.Attempt_.Task_.Index_},
                         {"attempt", Note.Attempt_.Attempt_},
                         {"rack", Note.Rack_.str()},
                         {"worker", Note.Worker_.str()},
                         {"text", Note.Text_}});
}

} // namespace

PlacementDesk::PlacementDesk(const Settings &Values, const InstanceName &Self,
                             TableDesk &Table, CounterRegistry &Counters)
    : Table_(Table),
      Dropped_(Counters.counter("filbertspring_placement_dropped_total")),
      Scheduler_(schedulerSettings(Values), Self, freshSeed()),
      Events_(RingCapacity), Workers_(Values, WorkerThreads,
                                      [this](placement::PlacementEvent Event) {
                                        post(std::move(Event));
                                      }),
      Thread_([this] { run(); }) {}

PlacementDesk::~PlacementDesk() { stop(); }

void PlacementDesk::post(placement::PlacementEvent Event) {
  if (!Events_.tryPush(std::move(Event)))
    Dropped_.add();
}

Duration PlacementDesk::waitTime() const {
  std::scoped_lock Lock(Mutex_);
  std::optional<TimePoint> Wake = Scheduler_.nextWake();
  if (!Wake)
    return MaxWait;
  return std::clamp(*Wake - SchedulerClock::now(), Duration::zero(), MaxWait);
}

void PlacementDesk::run() {
  while (!Stopping_) {
    std::optional<placement::PlacementEvent> Event = Events_.popFor(waitTime());
    handle(Event ? *Event : placement::PlacementEvent(placement::Tick{}));
  }
}

void PlacementDesk::handle(const placement::PlacementEvent &Event) {
  std::vector<placement::PlacementAction> Actions;
  {
    std::scoped_lock Lock(Mutex_);
    Scheduler_.handle(Event, SchedulerClock::now(), Actions);
  }
  for (placement::PlacementAction &Action : Actions)
    perform(Action);
}

void PlacementDesk::perform(placement::PlacementAction &Action) {
  std::visit(
      Overloaded{[this](placement::CommitRows &Each) {
                   commit(std::move(Each.Transaction_));
                 },
                 [this](placement::ReadRows &Each) { read(Each); },
                 [this](placement::SendCommands &Each) { Workers_.send(Each); },
                 [](placement::LogRecord &Each) { logNote(Each); }},
      Action);
}

void PlacementDesk::commit(Transaction Request) {
  TransactionId Id = Request.Id_;
  Table_.post(TableCommit{std::move(Request), [this, Id](CommitResult Result) {
                            post(placement::CommitDone{Id, std::move(Result)});
                          }});
}

void PlacementDesk::read(const placement::ReadRows &Request) {
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
PlacementDesk::explain(const JobId &Job) const {
  std::scoped_lock Lock(Mutex_);
  return Scheduler_.explain(Job);
}

placement::SchedulerSnapshot PlacementDesk::snapshot() const {
  std::scoped_lock Lock(Mutex_);
  return Scheduler_.snapshot();
}

void PlacementDesk::stop() {
  if (!Thread_.joinable())
    return;
  Stopping_ = true;
  Thread_.join();
  Workers_.stop();
}

} // namespace filbertspring
