#include "cell_directory.h"

#include "store_access.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

using scheduling::OwnerRecord;
using scheduling::Row;
using scheduling::RowPage;

/// The time that the store holds a change feed open without a change.
constexpr Duration DirectoryFeedWait = std::chrono::milliseconds(800);
/// The pause after each answer of the feed. Owners renew their rows
/// continuously and the platform charges for each call, so changes are read in
/// groups.
constexpr Duration DirectoryFeedInterval = std::chrono::milliseconds(250);
/// The delay before a failed announcement is written again.
constexpr Duration AnnounceRetryDelay = std::chrono::seconds(1);
/// The maximum age of what is reported to callers and to other instances.
constexpr Duration MaxRowAge = std::chrono::milliseconds(2000);

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
      Instance_(Settings.Instance_), OwnAnnouncement_{Settings.PeerAddress_,
                                                      Settings.Zone_,
                                                      Settings.capacityCores()},
      Lease_(ownRecord(Settings, Nonce), {}) {}

void CellDirectory::start(std::function<void()> RowsRead,
                          std::function<void()> InstancesChanged) {
  RowsRead_ = std::move(RowsRead);
  InstancesChanged_ = std::move(InstancesChanged);
  readAll();
}

void CellDirectory::readAll() {
  TimePoint SentAt = SchedulerClock::now();
  platform::RowRange Range;
  Range.Table_ = CellTable;
  Range.Partition_ = CellPartition;
  Store_.read(Range, StoreCallTimeout,
              [this, SentAt](const Result<RowPage> &Page) {
                if (!Page)
                  return Loop_.after(StoreRetryDelay, [this] { readAll(); });
                bool HasOwner = false;
                for (const Row &StoredRow : Page->Rows_) {
                  HasOwner |= StoredRow.Key_.Key_ == OwnerKey;
                  handleRow(StoredRow, SentAt);
                }
                if (!HasOwner)
                  Lease_.rowRead({}, 0, SentAt);
                LastReadAt_ = SentAt;
                storeOwnAnnouncement();
                RowsRead_();
                followChanges(Page->Version_);
              });
}

void CellDirectory::storeOwnAnnouncement() {
  auto Found = Instances_.find(Instance_);
  if (Found != Instances_.end() && Found->second == OwnAnnouncement_)
    return;
  scheduling::RowTransaction Transaction;
  Row AnnouncementRow;
  AnnouncementRow.Key_ = instanceKey(Instance_);
  AnnouncementRow.Value_ = encodeAnnouncement(OwnAnnouncement_);
  Transaction.Writes_.push_back(std::move(AnnouncementRow));
  Store_.commit(Transaction, StoreCallTimeout,
                [this](const scheduling::CommitResult &Outcome) {
                  if (Outcome.Outcome_ != scheduling::CommitOutcome::Committed)
                    Loop_.after(AnnounceRetryDelay,
                                [this] { storeOwnAnnouncement(); });
                });
}

void CellDirectory::followChanges(std::uint64_t After) {
  Store_.feed(CellTable, After, DirectoryFeedWait,
              [this, After](const Result<RowPage> &Page) {
                TimePoint Now = SchedulerClock::now();
                if (!Page) {
                  Lease_.readFailed(Now);
                  bool IsHistoryDiscarded = Page.error() == Errc::NotFound;
                  return Loop_.after(StoreRetryDelay,
                                     [this, After, IsHistoryDiscarded] {
                                       if (IsHistoryDiscarded)
                                         readAll();
                                       else
                                         followChanges(After);
                                     });
                }
                LastReadAt_ = Now;
                Lease_.rowUnchanged(Now);
                for (const Row &StoredRow : Page->Rows_)
                  handleRow(StoredRow, Now);
                RowsRead_();
                std::uint64_t Next = std::max(After, Page->Version_);
                Loop_.after(DirectoryFeedInterval,
                            [this, Next] { followChanges(Next); });
              });
}

void CellDirectory::handleRow(const Row &StoredRow, TimePoint SentAt) {
  if (StoredRow.Key_.Key_ == OwnerKey) {
    scheduling::OwnerRecord Record =
        scheduling::decodeOwnerRecord(StoredRow.Value_);
    // A released cell has no holder, but the nonce of its last one.
    bool IsReadable = !Record.Holder_.empty() || !Record.Nonce_.empty();
    if (IsReadable || StoredRow.IsRemoved_)
      UnreadableRows_.remove(StoredRow.Key_);
    else
      UnreadableRows_.add(StoredRow.Key_);
    Lease_.rowRead(Record, StoredRow.IsRemoved_ ? 0 : StoredRow.Version_,
                   SentAt);
  }
  if (StoredRow.Key_.Key_ == StatusKey)
    handleStatusRow(StoredRow);
  if (StoredRow.Key_.Key_.starts_with(InstancePrefix))
    handleInstanceRow(StoredRow);
}

void CellDirectory::handleStatusRow(const Row &StoredRow) {
  Result<CellStatus> Decoded = decodeStatus(StoredRow.Value_);
  if (Decoded || StoredRow.IsRemoved_)
    UnreadableRows_.remove(StoredRow.Key_);
  else
    UnreadableRows_.add(StoredRow.Key_);
  Status_ = Decoded ? std::move(*Decoded) : CellStatus();
}

void CellDirectory::handleInstanceRow(const Row &StoredRow) {
  std::string Name = StoredRow.Key_.Key_.substr(InstancePrefix.size());
  Result<Announcement> Decoded = decodeAnnouncement(StoredRow.Value_);
  if (Decoded || StoredRow.IsRemoved_)
    UnreadableRows_.remove(StoredRow.Key_);
  else
    UnreadableRows_.add(StoredRow.Key_);
  if (StoredRow.IsRemoved_)
    Instances_.erase(Name);
  else if (Decoded)
    Instances_[Name] = std::move(*Decoded);
  // Every instance tries its successor in name order first, which spreads the
  // relayed calls over the instances.
  std::vector<std::string> Relays;
  auto First = Instances_.upper_bound(Instance_);
  for (auto Next = First; Next != Instances_.end(); ++Next)
    Relays.push_back(Next->second.PeerAddress_);
  for (auto Next = Instances_.begin(); Next != First; ++Next)
    if (Next->first != Instance_)
      Relays.push_back(Next->second.PeerAddress_);
  Store_.setRelays(std::move(Relays));
  double HighestCapacityCores = OwnAnnouncement_.CapacityCores_;
  for (const auto &[Other, Published] : Instances_)
    HighestCapacityCores =
        std::max(HighestCapacityCores, Published.CapacityCores_);
  Lease_.setTakeoverDelay(scheduling::takeoverDelay(
      OwnAnnouncement_.CapacityCores_, HighestCapacityCores));
  InstancesChanged_();
}

std::vector<RelayCandidate> CellDirectory::otherInstances() const {
  std::vector<RelayCandidate> Others;
  for (const auto &[Name, Published] : Instances_)
    if (Name != Instance_)
      Others.push_back(
          {Published.PeerAddress_, Published.Zone_, Published.CapacityCores_});
  return Others;
}

bool CellDirectory::isCurrent(TimePoint Now) const {
  return Now - LastReadAt_ <= MaxRowAge;
}

std::optional<std::uint64_t>
CellDirectory::pending(const std::string &Queue) const {
  // The stored counts are valid only if the present owner wrote them and still
  // renews its row: neither a failed owner nor one that has not loaded the cell
  // counts jobs.
  bool IsCounted = Status_.Tenure_ == Lease_.record().Tenure_ &&
                   Lease_.unchangedDuration() <= MaxRowAge;
  if (!IsCounted || !isCurrent(SchedulerClock::now()))
    return std::nullopt;
  auto Found = Status_.Pending_.find(Queue);
  return Found == Status_.Pending_.end() ? 0 : Found->second;
}

} // namespace filbertspring::node
