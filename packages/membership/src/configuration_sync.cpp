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
  std::optional<TimePoint> TableBusySince_;
  std::optional<TimePoint> LastPoll_;
  /// True when the last table operation was answered.
  bool TableAnswers_ = true;
  /// The head read that precedes the scan in progress.
  std::optional<HeadReadCompleted> ScannedHead_;
  std::optional<TimePoint> RequestSince_;
  InstanceName AskedPeer_;
  std::map<InstanceName, PeerAhead> Ahead_;

  Actions on(const SyncTick &, TimePoint Now);
  Actions on(const HeadReadCompleted &Answer, TimePoint Now);
  Actions on(const ScanCompleted &Answer, TimePoint Now);
  Actions on(const TableReadFailed &, TimePoint Now);
  Actions on(const PeerVersionReported &Peer, TimePoint Now);
  Actions on(const DeltaReceived &Answer, TimePoint Now);

  bool timedOut(std::optional<TimePoint> SentAt, TimePoint Now) const;
  void tableFailed();
  void pollTable(TimePoint Now, Actions &Out);
  void askPeer(TimePoint Now, Actions &Out);
  void requestFrom(const InstanceName &Peer, TimePoint Now, Actions &Out);
  void forgetCaughtUp();
};

bool ConfigurationSync::Impl::timedOut(std::optional<TimePoint> SentAt,
                                       TimePoint Now) const {
  return SentAt && Now - *SentAt >= Settings_.AnswerTimeout_;
}

void ConfigurationSync::Impl::tableFailed() {
  TableBusySince_.reset();
  ScannedHead_.reset();
  TableAnswers_ = false;
}

void ConfigurationSync::Impl::pollTable(TimePoint Now, Actions &Out) {
  if (timedOut(TableBusySince_, Now))
    tableFailed();
  if (TableBusySince_)
    return;
  if (LastPoll_ && Now - *LastPoll_ < Settings_.PollInterval_)
    return;
  LastPoll_ = Now;
  TableBusySince_ = Now;
  Out.emplace_back(ReadHead{});
}

void ConfigurationSync::Impl::requestFrom(const InstanceName &Peer,
                                          TimePoint Now, Actions &Out) {
  RequestSince_ = Now;
  AskedPeer_ = Peer;
  Out.emplace_back(RequestDelta{Peer, View_.completeTo()});
}

void ConfigurationSync::Impl::askPeer(TimePoint Now, Actions &Out) {
  if (timedOut(RequestSince_, Now)) {
    RequestSince_.reset();
    Ahead_.erase(AskedPeer_); // The next digest of the peer adds it again.
  }
  if (RequestSince_)
    return;
  const Duration Grace =
      TableAnswers_ ? Settings_.PeerRequestDelay_ : Duration::zero();
  for (const auto &[Peer, Entry] : Ahead_) {
    if (Now - Entry.Since_ < Grace)
      continue;
    requestFrom(Peer, Now, Out);
    return;
  }
}

void ConfigurationSync::Impl::forgetCaughtUp() {
  std::erase_if(Ahead_, [this](const auto &Entry) {
    return View_.ready() && Entry.second.CompleteTo_ <= View_.completeTo();
  });
}

Actions ConfigurationSync::Impl::on(const SyncTick &, TimePoint Now) {
  Actions Out;
  pollTable(Now, Out);
  askPeer(Now, Out);
  return Out;
}

Actions ConfigurationSync::Impl::on(const HeadReadCompleted &Answer,
                                    TimePoint Now) {
  // A late answer to a read that timed out still confirms the version it
  // reports.
  const bool Current = View_.confirmHead(Answer.Head_, Answer.SentAt_);
  if (TableBusySince_ != Answer.SentAt_ || ScannedHead_)
    return {};
  TableBusySince_.reset();
  TableAnswers_ = true;
  if (Current)
    return {};
  ScannedHead_ = Answer;
  TableBusySince_ = Now;
  return {ScanConfiguration{}};
}

Actions ConfigurationSync::Impl::on(const ScanCompleted &Answer, TimePoint) {
  if (!ScannedHead_ || TableBusySince_ != Answer.SentAt_)
    return {};
  TableBusySince_.reset();
  const HeadReadCompleted Head = *std::exchange(ScannedHead_, std::nullopt);
  ConfigurationChange Change =
      View_.mergeScan({Head.SentAt_, Answer.SentAt_, Head.Head_, Answer.Rows_});
  forgetCaughtUp();
  return {ConfigurationChanged{std::move(Change)}};
}

Actions ConfigurationSync::Impl::on(const TableReadFailed &, TimePoint) {
  tableFailed();
  return {};
}

Actions ConfigurationSync::Impl::on(const PeerVersionReported &Peer,
                                    TimePoint Now) {
  const bool IsAhead = !View_.ready() || Peer.CompleteTo_ > View_.completeTo();
  if (!IsAhead) {
    Ahead_.erase(Peer.Peer_);
    return {};
  }
  auto [Entry, Inserted] =
      Ahead_.try_emplace(Peer.Peer_, PeerAhead{Peer.CompleteTo_, Now});
  Entry->second.CompleteTo_ = Peer.CompleteTo_;
  return {};
}

Actions ConfigurationSync::Impl::on(const DeltaReceived &Answer, TimePoint) {
  ConfigurationChange Change = View_.mergeDelta(Answer.Delta_);
  if (Answer.Peer_ == AskedPeer_)
    RequestSince_.reset();
  forgetCaughtUp();
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
  return std::visit([&](const auto &Each) { return Impl_->on(Each, Now); },
                    Event);
}

const ConfigurationView &ConfigurationSync::view() const {
  return Impl_->View_;
}

} // namespace filbertspring::membership
