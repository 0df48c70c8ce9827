#include "cell_directory.h"

#include "filbertspring/base/log.h"

namespace filbertspring::node {
namespace {

using scheduling::OwnerLease;
using scheduling::OwnerRecord;
using scheduling::Row;
using scheduling::RowPage;

/// The longest wait for the whole table.
constexpr Duration ReadTimeout = std::chrono::milliseconds(900);
/// How long a feed waits for a change.
constexpr Duration FeedWait = std::chrono::milliseconds(800);
/// The pause after an answer: owners renew their rows all the time, and each
/// call is charged.
constexpr Duration FeedPause = std::chrono::milliseconds(250);
/// The pause after a failed call.
constexpr Duration RetryPause = std::chrono::milliseconds(150);
/// An owner's row that is older than this belongs to a silent owner.
constexpr Duration FreshFor = std::chrono::milliseconds(3000);
/// How old counts may be that callers are given.
constexpr Duration CountsValidFor = std::chrono::milliseconds(2000);
/// Waiting tasks for each worker by which another cell must be better off
/// before a job goes there.
constexpr double LeastLoadGain = 2.0;

} // namespace

CellDirectory::CellDirectory(EventLoop &Loop, StoreClient &Store,
                             const NodeSettings &Settings,
                             const std::string &Nonce)
    : Loop_(Loop), Store_(Store), OwnZone_(Settings.Zone_) {
  OwnerRecord Self;
  Self.Holder_ = Settings.Instance_;
  Self.Nonce_ = Nonce;
  Self.Zone_ = Settings.Zone_;
  Self.Address_ = Settings.PeerAddress_;
  for (const std::string &Zone : Settings.Zones_)
    Cells_.emplace(Zone, Cell{OwnerLease(Zone, Self, {}), {}});
}

void CellDirectory::start(std::function<void()> Changed) {
  Changed_ = std::move(Changed);
  readAll();
}

void CellDirectory::readAll() {
  TimePoint SentAt = SchedulerClock::now();
  // Cells are few, and each is a partition of its own.
  auto Left = std::make_shared<std::size_t>(Cells_.size());
  auto Lowest = std::make_shared<std::uint64_t>(0);
  auto HasFailed = std::make_shared<bool>(false);
  for (auto &[Zone, Of] : Cells_) {
    platform::RowRange Range;
    Range.Table_ = CellTable;
    Range.Partition_ = cellPartition(Zone);
    Store_.read(Range, ReadTimeout,
                [this, SentAt, Left, Lowest, HasFailed,
                 Name = Zone](const Result<RowPage> &Page) {
                  if (Page) {
                    bool HasOwner = false;
                    for (const Row &Seen : Page->Rows_) {
                      HasOwner |= Seen.Key_.Key_ == OwnerKey;
                      rowSeen(Seen, SentAt);
                    }
                    if (!HasOwner)
                      Cells_.at(Name).Lease_.rowSeen({}, 0, SentAt);
                    *Lowest = *Lowest == 0 ? Page->Version_
                                           : std::min(*Lowest, Page->Version_);
                  }
                  *HasFailed |= !Page;
                  if (--*Left > 0)
                    return;
                  if (*HasFailed)
                    return Loop_.after(RetryPause, [this] { readAll(); });
                  ReadAt_ = SentAt;
                  Changed_();
                  follow(*Lowest);
                });
  }
}

void CellDirectory::follow(std::uint64_t After) {
  Store_.feed(CellTable, After, FeedWait,
              [this, After](const Result<RowPage> &Page) {
                TimePoint Now = SchedulerClock::now();
                if (!Page) {
                  for (auto &[Zone, Of] : Cells_)
                    Of.Lease_.readFailed(Now);
                  bool IsHistoryLost = Page.error() == Errc::NotFound;
                  return Loop_.after(RetryPause, [this, After, IsHistoryLost] {
                    if (IsHistoryLost)
                      readAll();
                    else
                      follow(After);
                  });
                }
                ReadAt_ = Now;
                for (auto &[Zone, Of] : Cells_)
                  Of.Lease_.rowUnchanged(Now);
                for (const Row &Seen : Page->Rows_)
                  rowSeen(Seen, Now);
                Changed_();
                std::uint64_t Next = std::max(After, Page->Version_);
                Loop_.after(FeedPause, [this, Next] { follow(Next); });
              });
}

void CellDirectory::rowSeen(const Row &Seen, TimePoint SentAt) {
  std::optional<std::string> Zone = cellOf(Seen.Key_.Partition_);
  auto Found = Zone ? Cells_.find(*Zone) : Cells_.end();
  if (Found == Cells_.end())
    return;
  if (Seen.Key_.Key_ == OwnerKey)
    Found->second.Lease_.rowSeen(scheduling::decodeOwnerRecord(Seen.Value_),
                                 Seen.IsRemoved_ ? 0 : Seen.Version_, SentAt);
  if (Seen.Key_.Key_ == StatusKey)
    Found->second.Status_ = decodeStatus(Seen.Value_);
}

double CellDirectory::loadOf(const Cell &Of) const {
  double Workers =
      std::max<double>(1.0, static_cast<double>(Of.Status_.ReachableWorkers_));
  return static_cast<double>(Of.Status_.WaitingTasks_) / Workers;
}

std::string
CellDirectory::chooseCell(const std::set<std::string> &ClosedZones) const {
  TimePoint Now = SchedulerClock::now();
  auto IsUsable = [&](const std::string &Zone, const Cell &Of) {
    return !ClosedZones.contains(Zone) &&
           (Of.Lease_.isOwner() || Of.Lease_.isFresh(Now, FreshFor));
  };
  const Cell &Own = Cells_.at(OwnZone_);
  bool IsOwnUsable = IsUsable(OwnZone_, Own);
  std::string Best = OwnZone_;
  double BestLoad = IsOwnUsable ? loadOf(Own) - LeastLoadGain : 0;
  for (const auto &[Zone, Of] : Cells_) {
    if (Zone == OwnZone_ || !IsUsable(Zone, Of))
      continue;
    bool IsFirstUsable = Best == OwnZone_ && !IsOwnUsable;
    if (!IsFirstUsable && loadOf(Of) >= BestLoad)
      continue;
    Best = Zone;
    BestLoad = loadOf(Of);
  }
  return Best;
}

std::optional<std::uint64_t>
CellDirectory::pending(const std::string &Queue) const {
  if (SchedulerClock::now() - ReadAt_ > CountsValidFor)
    return std::nullopt;
  std::uint64_t Sum = 0;
  for (const auto &[Zone, Of] : Cells_) {
    auto Found = Of.Status_.Pending_.find(Queue);
    if (Found != Of.Status_.Pending_.end())
      Sum += Found->second;
  }
  return Sum;
}

} // namespace filbertspring::node
