#include "burn_recorder.h"

#include "filbertspring/base/time.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring {
namespace {

constexpr Duration FlushInterval = std::chrono::seconds(5);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(100);
constexpr std::int64_t MillisecondsPerMinute = 60'000;
constexpr std::int64_t MinutesPerHour = 60;
/// Age at which rows are deleted: longer than the longest window of the report.
constexpr std::int64_t RetentionHours = 26;

std::int64_t currentMinute() {
  return wallMilliseconds() / MillisecondsPerMinute;
}

} // namespace

BurnRecorder::BurnRecorder(const Settings &Values, TableClientPool &Table)
    : Instance_(Values.Instance_), Table_(Table), Counter_(Values.Instance_),
      Thread_([this] { run(); }) {}

BurnRecorder::~BurnRecorder() { stop(); }

RowKey BurnRecorder::rowKeyOf(std::int64_t Hour) const {
  return {RowKind::Burn, fmt::format("{}/{}", Instance_.str(), Hour)};
}

void BurnRecorder::count(const BurnSample &Sample) {
  std::scoped_lock Lock(Mutex_);
  Counter_.count(Sample, currentMinute());
}

void BurnRecorder::run() {
  TimePoint NextFlush = SchedulerClock::now() + FlushInterval;
  while (!Stopping_) {
    std::this_thread::sleep_for(StopCheckInterval);
    if (SchedulerClock::now() < NextFlush)
      continue;
    NextFlush = SchedulerClock::now() + FlushInterval;
    flush();
    deleteOldRows();
  }
  flush();
}

void BurnRecorder::flush() {
  std::vector<BurnHourRecord> Records;
  {
    std::scoped_lock Lock(Mutex_);
    Counter_.observe(currentMinute());
    Counter_.eraseHoursBefore(currentMinute() / MinutesPerHour - 1);
    Records = Counter_.records();
  }
  for (const BurnHourRecord &Record : Records)
    store(Record);
}

void BurnRecorder::store(const BurnHourRecord &Record) {
  if (!Versions_.contains(Record.Hour_)) {
    loadStored(Record.Hour_);
    return; // The next flush stores the sum.
  }
  RowVersion &Version = Versions_[Record.Hour_];
  TransactionId Id(
      fmt::format("burn-{}-{}", Instance_.str(),
                  SchedulerClock::now().time_since_epoch().count()));
  CommitResult Commit =
      Table_.commit({Id, {}, {{rowKeyOf(Record.Hour_), Version, Record}}});
  if (Commit.Outcome_ == CommitOutcome::Committed) {
    Version = Commit.Version_;
    return;
  }
  if (Commit.Outcome_ == CommitOutcome::NotCommitted)
    return;
  // The row holds an earlier write of this process whose answer was lost. The
  // current counts include the counts of that write, so only the version is
  // taken over.
  Result<std::optional<StoredRow>> Stored =
      Table_.readRow(rowKeyOf(Record.Hour_));
  if (Stored)
    Version = *Stored ? (*Stored)->Version_ : AbsentVersion;
}

bool BurnRecorder::loadStored(std::int64_t Hour) {
  Result<std::optional<StoredRow>> Stored = Table_.readRow(rowKeyOf(Hour));
  if (!Stored)
    return false;
  Versions_[Hour] = *Stored ? (*Stored)->Version_ : AbsentVersion;
  if (!*Stored)
    return true;
  std::scoped_lock Lock(Mutex_);
  return Counter_.restore(std::get<BurnHourRecord>((*Stored)->Value_))
      .has_value();
}

void BurnRecorder::deleteOldRows() {
  std::int64_t Hour = currentMinute() / MinutesPerHour;
  if (Hour == LastCleanupHour_)
    return;
  Result<RowBatch> Rows = Table_.scan(RowKind::Burn);
  if (!Rows)
    return;
  LastCleanupHour_ = Hour;
  for (const StoredRow &Row : Rows->Rows_) {
    const auto &Record = std::get<BurnHourRecord>(Row.Value_);
    if (Record.Hour_ >= Hour - RetentionHours)
      continue;
    TransactionId Id(fmt::format("burn-delete-{}", Row.Key_.Name_));
    Table_.commit({Id, {}, {{Row.Key_, Row.Version_, std::nullopt}}});
  }
}

void BurnRecorder::stop() {
  if (!Thread_.joinable())
    return;
  Stopping_ = true;
  Thread_.join();
}

} // namespace filbertspring
