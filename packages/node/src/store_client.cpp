#include "store_client.h"

#include "filbertspring/base/log.h"
#include "rows.h"
#include "store_relay.h"

#include <algorithm>
#include <iterator>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::RowPage;

/// Added to the time that a feed waits: the store's answer time and a round
/// trip, several times over.
constexpr Duration FeedSlack = std::chrono::milliseconds(700);

/// The shortest time that is worth a relayed call: some round trips between
/// availability zones and a transaction.
constexpr Duration LeastRelayTime = std::chrono::milliseconds(60);
/// Relays tried for one call: each may be cut off, too.
constexpr unsigned MaxRelaysTried = 2;
/// How long an instance may take to accept a connection: round trips between
/// availability zones, several times over.
constexpr Duration RelayConnectTimeout = std::chrono::milliseconds(150);
/// How long the store may take to show that it is back.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);

AsyncHttpLimits callLimits() {
  AsyncHttpLimits Limits;
  // Submissions of a burst run side by side.
  Limits.ConnectionsPerAddress_ = 16;
  Limits.MaxAnswerBytes_ = 8U << 20U;
  return Limits;
}

AsyncHttpLimits relayLimits() {
  AsyncHttpLimits Limits = callLimits();
  Limits.ConnectTimeout_ = RelayConnectTimeout;
  return Limits;
}

bool isRefusal(const HttpAnswer &Answer) {
  return Answer.Status_ == 429 || Answer.Status_ == 503;
}

bool isSurelyNotDone(const Result<HttpAnswer> &Answer) {
  return Answer ? isRefusal(*Answer) : Answer.error() == Errc::ConnectFailed;
}

} // namespace

StoreClient::StoreClient(EventLoop &Loop, std::string Address,
                         CounterRegistry &Counters)
    : Address_(std::move(Address)), Counters_(Counters),
      Calls_(Loop, callLimits()), Feeds_(Loop, callLimits()),
      Relayed_(Loop, callLimits()), Relays_(Loop, relayLimits()) {}

void StoreClient::setRelays(std::vector<std::string> Addresses) {
  Route_.setRelays(std::move(Addresses));
}

void StoreClient::noteDirect(const char *Call, TimePoint SentAt,
                             const Result<HttpAnswer> &Answer) {
  TimePoint Now = SchedulerClock::now();
  bool HasChanged = false;
  if (!Answer)
    HasChanged = Route_.directFailed(Now);
  else if (isRefusal(*Answer))
    HasChanged = Route_.directRefused(Now);
  else
    HasChanged = Route_.directAnswered(Now);
  if (!HasChanged)
    return;
  logEvent(Route_.isDirect() ? LogEvent::PlatformRecovered
                             : LogEvent::PlatformUnavailable,
           {{"call", Call},
            {"status", Answer ? Answer->Status_ : 0},
            {"took_ms", (Now - SentAt) / std::chrono::milliseconds(1)}});
}

void StoreClient::probe() {
  if (!Route_.takeProbe(SchedulerClock::now()))
    return;
  platform::RowRange Range;
  Range.Table_ = CellTable;
  Range.Partition_ = CellPartition;
  Range.Limit_ = 1;
  Calls_.send(
      Address_, platform::makeReadRequest(Range), ProbeTimeout,
      [this, SentAt = SchedulerClock::now()](const Result<HttpAnswer> &Answer) {
        noteDirect("probe", SentAt, Answer);
      });
}

void StoreClient::send(PendingCall Begun, Duration Timeout) {
  auto Of = std::make_shared<PendingCall>(std::move(Begun));
  Of->SentAt_ = SchedulerClock::now();
  Of->Deadline_ = Of->SentAt_ + Timeout;
  probe();
  if (Route_.isDirect() || !sendRelayed(Of))
    sendDirect(Of);
}

void StoreClient::sendDirect(const CallPtr &Of) {
  AsyncHttpClient &Client = Of->IsFeed_ ? Feeds_ : Calls_;
  Client.send(Address_, Of->Request_, Of->Deadline_ - SchedulerClock::now(),
              [this, Of](Result<HttpAnswer> Answer) {
                directEnded(Of, std::move(Answer));
              });
}

void StoreClient::directEnded(const CallPtr &Of, Result<HttpAnswer> Answer) {
  noteDirect(Of->Name_, Of->SentAt_, Answer);
  bool IsServed = Answer && !isRefusal(*Answer);
  bool MayRepeat = Of->IsReading_ || isSurelyNotDone(Answer);
  if (!IsServed && MayRepeat && !Route_.isDirect() && sendRelayed(Of))
    return;
  end(Of, std::move(Answer));
}

bool StoreClient::sendRelayed(const CallPtr &Of) {
  TimePoint Now = SchedulerClock::now();
  Duration Left = Of->Deadline_ - Now;
  std::string Relay = Route_.relay(Now);
  if (Relay.empty() || Left < LeastRelayTime ||
      Of->RelaysTried_ >= MaxRelaysTried)
    return false;
  ++Of->RelaysTried_;
  Counters_.counter("store_calls_relayed_total").add();
  Relays_.send(Relay, encodeRelayedCall({Of->Request_, Left}), Left,
               [this, Of, Relay](Result<HttpAnswer> Answer) {
                 if (Answer)
                   Answer = decodeRelayedAnswer(std::move(*Answer));
                 relayEnded(Of, Relay, std::move(Answer));
               });
  return true;
}

void StoreClient::relayEnded(const CallPtr &Of, const std::string &Relay,
                             Result<HttpAnswer> Answer) {
  TimePoint Now = SchedulerClock::now();
  if (Answer && !isRefusal(*Answer))
    Route_.relayAnswered(Now);
  else
    Route_.relayFailed(Relay, Now);
  bool IsServed = Answer && !isRefusal(*Answer);
  bool MayRepeat = Of->IsReading_ || isSurelyNotDone(Answer);
  if (!IsServed && MayRepeat && sendRelayed(Of))
    return;
  end(Of, std::move(Answer));
}

void StoreClient::end(const CallPtr &Of, Result<HttpAnswer> Answer) {
  Counters_.observe("store_call_seconds", SchedulerClock::now() - Of->SentAt_,
                    std::string("call=\"") + Of->Name_ + "\"");
  Of->Callback_(std::move(Answer));
}

void StoreClient::relayFor(const HttpRequest &Asked, HttpResponder Respond) {
  Result<RelayedCall> Call = decodeRelayedCall(Asked);
  if (!Call || !Route_.isDirect())
    return Respond(encodeRelayedAnswer(fail(Errc::ConnectFailed)));
  Relayed_.send(
      Address_, Call->Request_, Call->Timeout_,
      [Respond = std::move(Respond)](const Result<HttpAnswer> &Answer) {
        Respond(encodeRelayedAnswer(Answer));
      });
}

void StoreClient::commit(const scheduling::RowTransaction &Transaction,
                         Duration Timeout, CommitCallback Callback) {
  PendingCall Begun;
  Begun.Request_ = platform::makeTransactionRequest(Transaction);
  Begun.Name_ = "commit";
  Begun.IsReading_ = false;
  Begun.Callback_ =
      [Callback = std::move(Callback)](const Result<HttpAnswer> &Answer) {
        CommitResult Outcome;
        if (Answer)
          Outcome = platform::decodeCommitAnswer(*Answer);
        else if (Answer.error() == Errc::ConnectFailed)
          Outcome.Outcome_ = CommitOutcome::Refused;
        Callback(std::move(Outcome));
      };
  send(std::move(Begun), Timeout);
}

void StoreClient::read(const platform::RowRange &Range, Duration Timeout,
                       RowsCallback Callback) {
  PendingCall Begun;
  Begun.Request_ = platform::makeReadRequest(Range);
  Begun.Name_ = "read";
  Begun.Callback_ =
      [Callback = std::move(Callback)](const Result<HttpAnswer> &Answer) {
        if (!Answer)
          return Callback(fail(Answer.error()));
        Callback(platform::decodeRowsAnswer(*Answer));
      };
  send(std::move(Begun), Timeout);
}

void StoreClient::readAll(platform::RowRange Range, Duration Timeout,
                          RowsCallback Callback) {
  readNext(std::move(Range), Timeout, {}, std::move(Callback));
}

void StoreClient::readNext(platform::RowRange Range, Duration Timeout,
                           RowPage Before, RowsCallback Callback) {
  read(Range, Timeout,
       [this, Range, Timeout, Before = std::move(Before),
        Callback = std::move(Callback)](Result<RowPage> Page) mutable {
         if (!Page)
           return Callback(fail(Page.error()));
         if (Before.Version_ == 0)
           Before.Version_ = Page->Version_;
         for (scheduling::Row &One : Page->Rows_)
           Before.Rows_.push_back(std::move(One));
         if (!Page->IsTruncated_ || Page->Rows_.empty())
           return Callback(std::move(Before));
         // The next key in byte order.
         Range.FirstKey_ = Before.Rows_.back().Key_.Key_ + '\x01';
         readNext(std::move(Range), Timeout, std::move(Before),
                  std::move(Callback));
       });
}

void StoreClient::readPartitions(std::string_view Table,
                                 const std::vector<std::string> &Partitions,
                                 Duration Timeout, RowsCallback Callback) {
  struct Gathered {
    RowPage All_;
    std::size_t Outstanding_ = 0;
    std::error_code Failure_;
    RowsCallback Callback_;
  };
  auto Parts = std::make_shared<Gathered>();
  Parts->Outstanding_ = Partitions.size();
  Parts->Callback_ = std::move(Callback);
  for (const std::string &Partition : Partitions) {
    platform::RowRange Range;
    Range.Table_ = Table;
    Range.Partition_ = Partition;
    readAll(Range, Timeout, [Parts](Result<RowPage> Page) {
      RowPage &All = Parts->All_;
      if (!Page) {
        Parts->Failure_ = Page.error();
      } else {
        bool IsFirst = All.Version_ == 0;
        All.Version_ =
            IsFirst ? Page->Version_ : std::min(All.Version_, Page->Version_);
        std::move(Page->Rows_.begin(), Page->Rows_.end(),
                  std::back_inserter(All.Rows_));
      }
      if (--Parts->Outstanding_ > 0)
        return;
      if (Parts->Failure_)
        return Parts->Callback_(fail(Parts->Failure_));
      Parts->Callback_(std::move(All));
    });
  }
}

void StoreClient::feed(std::string_view Table, std::uint64_t After,
                       Duration Wait, RowsCallback Callback) {
  PendingCall Begun;
  Begun.Request_ = platform::makeFeedRequest(Table, After, Wait);
  Begun.Name_ = "feed";
  Begun.IsFeed_ = true;
  Begun.Callback_ =
      [Callback = std::move(Callback)](const Result<HttpAnswer> &Answer) {
        if (!Answer)
          return Callback(fail(Answer.error()));
        Callback(platform::decodeRowsAnswer(*Answer));
      };
  send(std::move(Begun), Wait + FeedSlack);
}

} // namespace filbertspring::node
