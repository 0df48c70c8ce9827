#include "filbertspring/membership/configuration_sync.h"

#include <map>
#include <optional>
#include <utility>

namespace filbertspring::membership {

namespace {

using Actions = std::vector<ConfigurationAction>;

/// A peer with a newer configuration, and when that was first observed.
struct PeerAhead {
  RowVersion CompleteTo_ = AbsentVersion;
  TimePoint Since_;
};

} // namespace

struct ConfigurationSync::Impl {
  explicit Impl(ConfigurationSyncSettings Settings) : Settings_(Settings) {}

  ConfigurationSyncSettings Settings_;
  ConfigurationView View_;
  /// Send time of the table operation in progress.
  std::optional<TimePoint> TableOperationSentAt_;
  std::optional<TimePoint> LastPollAt_;
  /// True when the last table operation was answered.
  bool IsTableReachable_ = true;
  /// The head read that precedes the scan in progress.
  std::optional<HeadReadCompleted> HeadBeforeScan_;
  std::optional<TimePoint> RequestSentAt_;
  InstanceName RequestedPeer_;
  std::map<InstanceName, PeerAhead> PeersAhead_;

  Actions handle(const SyncTick &, TimePoint Now);
  Actions handle(const HeadReadCompleted &Answer, TimePoint Now);
  Actions handle(const ScanCompleted &Answer, TimePoint Now);
  Actions handle(const TableReadFailed &, TimePoint Now);
  Actions handle(const PeerVersionReported &Peer, TimePoint Now);
  Actions handle(const DeltaReceived &Answer, TimePoint Now);

  bool timedOut(std::optional<TimePoint> SentAt, TimePoint Now) const;
  void handleTableFailure();
  void pollTable(TimePoint Now, Actions &Out);
  void requestDeltaIfDue(TimePoint Now, Actions &Out);
  void sendDeltaRequest(const InstanceName &Peer, TimePoint Now, Actions &Out);
  void removeCaughtUpPeers();
};

bool ConfigurationSync::Impl::timedOut(std::optional<TimePoint> SentAt,
                                       TimePoint Now) const {
  return SentAt && Now - *SentAt >= Settings_.AnswerTimeout_;
}

void ConfigurationSync::Impl::handleTableFailure() {
  TableOperationSentAt_.reset();
  HeadBeforeScan_.reset();
  IsTableReachable_ = false;
}

void ConfigurationSync::Impl::pollTable(TimePoint Now, Actions &Out) {
  if (timedOut(TableOperationSentAt_, Now))
    handleTableFailure();
  if (TableOperationSentAt_)
    return;
  if (LastPollAt_ && Now - *LastPollAt_ < Settings_.PollInterval_)
    return;
  LastPollAt_ = Now;
  TableOperationSentAt_ = Now;
  Out.emplace_back(ReadHead{});
}

void ConfigurationSync::Impl::sendDeltaRequest(const InstanceName &Peer,
                                               TimePoint Now, Actions &Out) {
  RequestSentAt_ = Now;
  RequestedPeer_ = Peer;
  Out.emplace_back(RequestDelta{Peer, View_.completeTo()});
}

void ConfigurationSync::Impl::requestDeltaIfDue(TimePoint Now, Actions &Out) {
  if (timedOut(RequestSentAt_, Now)) {
    RequestSentAt_.reset();
    // The next digest of the peer adds it again.
    PeersAhead_.erase(RequestedPeer_);
  }
  if (RequestSentAt_)
    return;
  const Duration RequestDelay =
      IsTableReachable_ ? Settings_.PeerRequestDelay_ : Duration::zero();
  for (const auto &[Peer, Entry] : PeersAhead_) {
    if (Now - Entry.Since_ < RequestDelay)
      continue;
    sendDeltaRequest(Peer, Now, Out);
    return;
  }
}

void ConfigurationSync::Impl::removeCaughtUpPeers() {
  std::erase_if(PeersAhead_, [this](const auto &Entry) {
    return View_.ready() && Entry.second.CompleteTo_ <= View_.completeTo();
  });
}

Actions ConfigurationSync::Impl::handle(const SyncTick &, TimePoint Now) {
  Actions Out;
  pollTable(Now, Out);
  requestDeltaIfDue(Now, Out);
  return Out;
}

Actions ConfigurationSync::Impl::handle(const HeadReadCompleted &Answer,
                                        TimePoint Now) {
  // A late answer to a read that timed out still confirms the version it
  // reports.
  const bool Current = View_.confirmHead(Answer.Head_, Answer.SentAt_);
  if (TableOperationSentAt_ != Answer.SentAt_ || HeadBeforeScan_)
    return {};
  TableOperationSentAt_.reset();
  IsTableReachable_ = true;
  if (Current)
    return {};
  HeadBeforeScan_ = Answer;
  TableOperationSentAt_ = Now;
  return {ScanConfiguration{}};
}

Actions ConfigurationSync::Impl::handle(const ScanCompleted &Answer,
                                        TimePoint) {
  if (!HeadBeforeScan_ || TableOperationSentAt_ != Answer.SentAt_)
    return {};
  TableOperationSentAt_.reset();
  const HeadReadCompleted Head = *std::exchange(HeadBeforeScan_, std::nullopt);
  ConfigurationChange Change =
      View_.mergeScan({Head.SentAt_, Answer.SentAt_, Head.Head_, Answer.Rows_});
  removeCaughtUpPeers();
  return {ConfigurationChanged{std::move(Change)}};
}

Actions ConfigurationSync::Impl::handle(const TableReadFailed &, TimePoint) {
  handleTableFailure();
  return {};
}

Actions ConfigurationSync::Impl::handle(const PeerVersionReported &Peer,
                                        TimePoint Now) {
  const bool IsAhead = !View_.ready() || Peer.CompleteTo_ > View_.completeTo();
  if (!IsAhead) {
    PeersAhead_.erase(Peer.Peer_);
    return {};
  }
  auto [Entry, Inserted] =
      PeersAhead_.try_emplace(Peer.Peer_, PeerAhead{Peer.CompleteTo_, Now});
  Entry->second.CompleteTo_ = Peer.CompleteTo_;
  return {};
}

Actions ConfigurationSync::Impl::handle(const DeltaReceived &Answer,
                                        TimePoint) {
  ConfigurationChange Change = View_.mergeDelta(Answer.Delta_);
  if (Answer.Peer_ == RequestedPeer_)
    RequestSentAt_.reset();
  removeCaughtUpPeers();
  Actions Out;
  if (!Change.ChangedKeys_.empty())
    Out.emplace_back(ConfigurationChanged{std::move(Change)});
  return Out;
}

ConfigurationSync::ConfigurationSync(ConfigurationSyncSettings Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}
ConfigurationSync::~ConfigurationSync() = default;
ConfigurationSync::ConfigurationSync(ConfigurationSync &&) noexcept = default;
ConfigurationSync &
ConfigurationSync::operator=(ConfigurationSync &&) noexcept = default;

std::vector<ConfigurationAction>
ConfigurationSync::handle(const ConfigurationEvent &Event, TimePoint Now) {
  return std::visit(
      [&](const auto &Alternative) { return Impl_->handle(Alternative, Now); },
      Event);
}

const ConfigurationView &ConfigurationSync::view() const {
  return Impl_->View_;
}

} // namespace filbertspring::membership
