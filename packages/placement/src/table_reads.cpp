#include "table_reads.h"

#include "row_updates.h"

#include <string>

namespace filbertspring::placement {
namespace {

constexpr std::size_t MaxKeysPerRead = 200;

TimerKey timerOf(RequestNumber Number) {
  return {TimerKind::Read, std::to_string(Number)};
}

const TimerKey RetryTimer{TimerKind::Read, "retry"};

/// Removes a read in flight and returns it.
std::optional<PendingRead> removeRead(SchedulerCore &Core,
                                      RequestNumber Number) {
  auto It = Core.PendingReads_.find(Number);
  if (It == Core.PendingReads_.end())
    return std::nullopt;
  PendingRead Read = std::move(It->second);
  Core.PendingReads_.erase(It);
  Core.Timers_.clear(timerOf(Number));
  for (const RowKey &Key : Read.Keys_)
    Core.RowsBeingRead_.erase(Key);
  return Read;
}

void sendRead(SchedulerCore &Core, PendingRead Read) {
  RequestNumber Number = Core.nextNumber();
  Read.IssuedAt_ = Core.Now_;
  Core.emit(ReadRows{Number, Read.Keys_, Read.Scan_});
  Core.Timers_.set(timerOf(Number),
                   Core.Now_ + Core.Settings_.Timing_.TableTimeout_);
  Core.PendingReads_.emplace(Number, std::move(Read));
}

bool scanUnderWay(const SchedulerCore &Core, RowKind Kind) {
  for (const auto &[Number, Read] : Core.PendingReads_)
    if (Read.Scan_ == Kind)
      return true;
  return false;
}

} // namespace

void requestRow(SchedulerCore &Core, const RowKey &Key) {
  if (!Core.RowsBeingRead_.contains(Key))
    Core.RequestedRows_.insert(Key);
}

void requestJob(SchedulerCore &Core, const JobId &Job) {
  requestRow(Core, {RowKind::Job, Job.str()});
}

void requestRack(SchedulerCore &Core, const RackName &Rack) {
  requestRow(Core, {RowKind::Rack, Rack.str()});
}

void scanRows(SchedulerCore &Core, RowKind Kind) {
  if (scanUnderWay(Core, Kind))
    return;
  PendingRead Read;
  Read.Scan_ = Kind;
  sendRead(Core, std::move(Read));
}

void flushReads(SchedulerCore &Core) {
  if (Core.RequestedRows_.empty() || !Core.PlatformReachable_)
    return;
  if (Core.Now_ < Core.ReadRetryAt_) {
    Core.Timers_.set(RetryTimer, Core.ReadRetryAt_);
    return;
  }
  while (!Core.RequestedRows_.empty()) {
    PendingRead Read;
    while (!Core.RequestedRows_.empty() && Read.Keys_.size() < MaxKeysPerRead) {
      auto Node = Core.RequestedRows_.extract(Core.RequestedRows_.begin());
      Core.RowsBeingRead_.insert(Node.value());
      Read.Keys_.push_back(std::move(Node.value()));
    }
    sendRead(Core, std::move(Read));
  }
}

void handleRowsRead(SchedulerCore &Core, const RowsRead &Answer) {
  std::optional<PendingRead> Read = removeRead(Core, Answer.Read_);
  std::optional<TimePoint> SentAt;
  if (Read) {
    SentAt = Read->IssuedAt_;
    Core.ReadBackoff_.reset();
    Core.PlatformReachable_ = true;
  }
  for (const StoredRow &Row : Answer.Rows_)
    applyRow(Core, Row, SentAt);
  if (!Read)
    return;
  for (const RowKey &Key : Answer.Absent_)
    applyAbsentRow(Core, Key);
  if (Read->Scan_)
    applyScan(Core, *Read->Scan_, Answer.Rows_);
}

void handleReadFailed(SchedulerCore &Core, RequestNumber Number) {
  std::optional<PendingRead> Read = removeRead(Core, Number);
  if (!Read)
    return;
  for (const RowKey &Key : Read->Keys_)
    Core.RequestedRows_.insert(Key);
  const TimingSettings &Timing = Core.Settings_.Timing_;
  Core.ReadRetryAt_ =
      Core.Now_ + Core.ReadBackoff_.fail(Timing.InitialBackoff_,
                                         Timing.MaxBackoff_, Core.Random_);
}

void retryReadsNow(SchedulerCore &Core) {
  Core.ReadBackoff_.reset();
  Core.ReadRetryAt_ = Core.Now_;
}

} // namespace filbertspring::placement
