#include "cell_directory.h"

#include "cell_reading.h"
#include "filbertspring/base/log.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

using scheduling::OwnerRecord;
using scheduling::Row;
using scheduling::RowPage;

/// How long a feed waits for a change.
constexpr Duration DirectoryFeedWait = std::chrono::milliseconds(800);
/// The pause after an answer: owners renew their rows all the time, and each
/// call is charged.
constexpr Duration FeedPause = std::chrono::milliseconds(250);
/// The pause before an announcement that failed is repeated.
constexpr Duration AnnouncePause = std::chrono::seconds(1);
/// How old counts may be that callers are given.
constexpr Duration CountsValidFor = std::chrono::milliseconds(2000);

OwnerRecord ownRecord(const NodeSettings &Settings, const std::string &Nonce) {
  OwnerRecord Self;
  Self.Holder_ = Settings.Instance_;
  Self.Nonce_ = Nonce;
  Self.Address_ = Settings.PeerAddress_;
  return Self;
}

} // namespace

CellDirectory::CellDirectory(EventLoop &Loop, StoreClient &Store,
                             const NodeSettings &Settings,
                             const std::string &Nonce)
    : Loop_(Loop), Store_(Store),
      Instance_(Settings.Instance_), Mine_{Settings.PeerAddress_,
                                           Settings.CpuShare_ *
                                               Settings.RelativeCoreSpeed_},
      Lease_(ownRecord(Settings, Nonce), {}) {}

void CellDirectory::start(std::function<void()> Changed) {
  Changed_ = std::move(Changed);
  readAll();
}

void CellDirectory::readAll() {
  TimePoint SentAt = SchedulerClock::now();
  platform::RowRange Range;
  Range.Table_ = CellTable;
  Range.Partition_ = CellPartition;
  Store_.read(Range, StoreTimeout, [this, SentAt](const Result<RowPage> &Page) {
    if (!Page)
      return Loop_.after(RetryPause, [this] { readAll(); });
    bool HasOwner = false;
    for (const Row &Seen : Page->Rows_) {
      HasOwner |= Seen.Key_.Key_ == OwnerKey;
      rowRead(Seen, SentAt);
    }
    if (!HasOwner)
      Lease_.rowRead({}, 0, SentAt);
    ReadAt_ = SentAt;
    announce();
    Changed_();
    follow(Page->Version_);
  });
}

void CellDirectory::announce() {
  auto Found = Instances_.find(Instance_);
  if (Found != Instances_.end() && Found->second == Mine_)
    return;
  scheduling::RowTransaction Announcing;
  Row Announced;
  Announced.Key_ = instanceKey(Instance_);
  Announced.Value_ = encodeAnnouncement(Mine_);
  Announcing.Writes_.push_back(std::move(Announced));
  Store_.commit(Announcing, StoreTimeout,
                [this](const scheduling::CommitResult &Ended) {
                  if (Ended.Outcome_ != scheduling::CommitOutcome::Committed)
                    Loop_.after(AnnouncePause, [this] { announce(); });
                });
}

void CellDirectory::follow(std::uint64_t After) {
  Store_.feed(CellTable, After, DirectoryFeedWait,
              [this, After](const Result<RowPage> &Page) {
                TimePoint Now = SchedulerClock::now();
                if (!Page) {
                  Lease_.readFailed(Now);
                  bool IsHistoryLost = Page.error() == Errc::NotFound;
                  return Loop_.after(RetryPause, [this, After, IsHistoryLost] {
                    if (IsHistoryLost)
                      readAll();
                    else
                      follow(After);
                  });
                }
                ReadAt_ = Now;
                Lease_.rowUnchanged(Now);
                for (const Row &Seen : Page->Rows_)
                  rowRead(Seen, Now);
                Changed_();
                std::uint64_t Next = std::max(After, Page->Version_);
                Loop_.after(FeedPause, [this, Next] { follow(Next); });
              });
}

void CellDirectory::rowRead(const Row &Seen, TimePoint SentAt) {
  if (Seen.Key_.Key_ == OwnerKey)
    Lease_.rowRead(scheduling::decodeOwnerRecord(Seen.Value_),
                   Seen.IsRemoved_ ? 0 : Seen.Version_, SentAt);
  if (Seen.Key_.Key_ == StatusKey)
    Status_ = decodeStatus(Seen.Value_);
  if (Seen.Key_.Key_.starts_with(InstancePrefix))
    instanceSeen(Seen);
}

void CellDirectory::instanceSeen(const Row &Seen) {
  std::string Name = Seen.Key_.Key_.substr(InstancePrefix.size());
  if (Seen.IsRemoved_)
    Instances_.erase(Name);
  else if (Result<Announcement> Read = decodeAnnouncement(Seen.Value_))
    Instances_[Name] = std::move(*Read);
  else
    logEvent(LogEvent::ForeignRow,
             {{"table", CellTable}, {"key", Seen.Key_.Key_}});
  // Each instance begins with the one after it, so that the load is spread.
  std::vector<std::string> Relays;
  auto First = Instances_.upper_bound(Instance_);
  for (auto Next = First; Next != Instances_.end(); ++Next)
    Relays.push_back(Next->second.PeerAddress_);
  for (auto Next = Instances_.begin(); Next != First; ++Next)
    if (Next->first != Instance_)
      Relays.push_back(Next->second.PeerAddress_);
  Store_.setRelays(std::move(Relays));
  double Strongest = Mine_.Strength_;
  for (const auto &[Other, Announced] : Instances_)
    Strongest = std::max(Strongest, Announced.Strength_);
  Lease_.setTakeoverDelay(
      scheduling::takeoverDelay(Mine_.Strength_, Strongest));
}

std::optional<std::uint64_t>
CellDirectory::pending(const std::string &Queue) const {
  // An owner that is gone, or has not read the cell yet, counts nothing.
  bool IsCounted = Status_.Tenure_ == Lease_.record().Tenure_ &&
                   Lease_.unchangedDuration() <= CountsValidFor;
  if (!IsCounted || SchedulerClock::now() - ReadAt_ > CountsValidFor)
    return std::nullopt;
  auto Found = Status_.Pending_.find(Queue);
  return Found == Status_.Pending_.end() ? 0 : Found->second;
}

} // namespace filbertspring::node
