#include "configuration_follower.h"

#include "filbertspring/base/log.h"
#include "platform/configuration_codec.h"
#include "store_access.h"

namespace filbertspring::node {
namespace {

using scheduling::Row;
using scheduling::RowPage;

/// The time that the store holds the change feed open without a change. A
/// connection that stops responding delays a configuration by about this time.
constexpr Duration ConfigurationFeedWait = std::chrono::milliseconds(1000);

/// The same if callers need keys. Calls are refused if the configuration was
/// not confirmed for MaxConfigurationAge. A call without a change confirms it
/// as of the time at which it was sent, so up to twice this time and the pause
/// pass between confirmations. The rest is for two calls that get no answer.
constexpr Duration KeyedFeedWait = std::chrono::milliseconds(500);
/// If the last confirmation is older, the store is asked to answer at once.
constexpr Duration UsualConfirmationAge = std::chrono::milliseconds(1200);
/// The wait for such an answer. Not zero, which a store may take for a call
/// without a limit.
constexpr Duration ShortestFeedWait = std::chrono::milliseconds(1);

/// The pause after each answer, which limits the rate of calls while the store
/// answers immediately. Changes have to take effect within seconds.
constexpr Duration ConfigurationFeedInterval = std::chrono::milliseconds(50);

} // namespace

ConfigurationFollower::ConfigurationFollower(EventLoop &Loop,
                                             StoreClient &Store,
                                             QueuesCallback QueuesChanged,
                                             ZonesCallback ZonesChanged,
                                             ConfirmationCallback Confirmed)
    : Loop_(Loop), Store_(Store), QueuesChanged_(std::move(QueuesChanged)),
      ZonesChanged_(std::move(ZonesChanged)), Confirmed_(std::move(Confirmed)) {
}

void ConfigurationFollower::start() { readAll(); }

void ConfigurationFollower::readAll() {
  platform::RowRange Range;
  Range.Table_ = platform::OperatorTable;
  Store_.readAll(
      Range, StoreCallTimeout,
      [this, SentAt = SchedulerClock::now()](const Result<RowPage> &Page) {
        if (!Page)
          return Loop_.after(StoreRetryDelay, [this] { readAll(); });
        std::set<std::string> PreviouslyClosedZones =
            std::exchange(ClosedZones_, {});
        for (const Row &StoredRow : Page->Rows_)
          handleRow(StoredRow);
        if (PreviouslyClosedZones != ClosedZones_)
          ZonesChanged_(ClosedZones_);
        confirm(SentAt);
        followChanges(Page->Version_);
      });
}

void ConfigurationFollower::followChanges(std::uint64_t After) {
  Store_.feed(platform::OperatorTable, After, feedWait(),
              [this, After,
               SentAt = SchedulerClock::now()](const Result<RowPage> &Page) {
                if (!Page && Page.error() == Errc::NotFound)
                  return readAll();
                if (!Page)
                  return Loop_.after(StoreRetryDelay,
                                     [this, After] { followChanges(After); });
                for (const Row &StoredRow : Page->Rows_)
                  handleRow(StoredRow);
                confirm(SentAt);
                std::uint64_t Next = std::max(After, Page->Version_);
                Loop_.after(ConfigurationFeedInterval,
                            [this, Next] { followChanges(Next); });
              });
}

void ConfigurationFollower::confirm(TimePoint Time) {
  ConfirmedAt_ = Time;
  Confirmed_(Time);
}

Duration ConfigurationFollower::feedWait() const {
  if (!RequiresKeys_)
    return ConfigurationFeedWait;
  bool IsLate = SchedulerClock::now() - ConfirmedAt_ > UsualConfirmationAge;
  return IsLate ? ShortestFeedWait : KeyedFeedWait;
}

void ConfigurationFollower::handleRow(const Row &StoredRow) {
  if (auto Zone = platform::closedZoneFromKey(StoredRow.Key_.Key_)) {
    bool HasChanged = StoredRow.IsRemoved_ ? ClosedZones_.erase(*Zone) > 0
                                           : ClosedZones_.insert(*Zone).second;
    if (!HasChanged)
      return;
    logEvent(LogEvent::ZoneChanged,
             {{"zone", *Zone}, {"open", StoredRow.IsRemoved_ ? 1 : 0}});
    return ZonesChanged_(ClosedZones_);
  }
  if (StoredRow.Key_.Key_ != platform::ConfigurationKey || StoredRow.IsRemoved_)
    return;
  Result<scheduling::QueueTable> Table =
      platform::decodeConfiguration(StoredRow.Value_);
  if (!Table) {
    UnreadableRows_.add(StoredRow.Key_);
    return;
  }
  UnreadableRows_.remove(StoredRow.Key_);
  if (Table->Version_ <= Version_)
    return;
  Version_ = Table->Version_;
  RequiresKeys_ = Table->requiresKeys();
  logEvent(LogEvent::ConfigurationAdopted,
           {{"version", static_cast<std::int64_t>(Version_)},
            {"queues", static_cast<std::int64_t>(Table->Queues_.size())}});
  QueuesChanged_(
      std::make_shared<const scheduling::QueueTable>(std::move(*Table)));
}

} // namespace filbertspring::node
