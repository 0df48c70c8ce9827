#include "store_client.h"

#include "filbertspring/base/log.h"
#include "rows.h"
#include "store_access.h"
#include "store_relay.h"

#include <algorithm>
#include <iterator>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::RowPage;

/// Added to the requested wait of a change feed to obtain the timeout of its
/// call. Several times the store's answer time plus a round trip.
constexpr Duration FeedTimeoutMargin = std::chrono::milliseconds(700);

/// The minimum remaining time for which a relayed call is tried. Covers some
/// round trips between availability zones and a transaction.
constexpr Duration MinRelayTime = std::chrono::milliseconds(60);
/// The maximum number of relays tried for one call. More than one, because a
/// relay may have lost its connection to the store, too.
constexpr unsigned MaxRelayAttempts = 2;
/// The maximum number of tries of one page of a bulk read. As many as it takes
/// until the smallest page is tried.
constexpr unsigned MaxPageAttempts = 6;
/// The timeout for connecting to a relay. Several times the round trip between
/// availability zones.
constexpr Duration RelayConnectTimeout = std::chrono::milliseconds(150);
/// The timeout of a call that probes whether the store has recovered.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);

AsyncHttpLimits callLimits() {
  AsyncHttpLimits Limits;
  // Submissions that arrive in a burst are stored in parallel.
  Limits.ConnectionsPerAddress_ = 16;
  Limits.MaxAnswerBytes_ = 8U << 20U;
  return Limits;
}

AsyncHttpLimits feedLimits() {
  AsyncHttpLimits Limits = callLimits();
  // Feeds have no pages. A backlog may take longer than the timeout, and would
  // be asked for again and again.
  Limits.IsTimeoutForEachPart_ = true;
  return Limits;
}

AsyncHttpLimits relayLimits() {
  AsyncHttpLimits Limits = callLimits();
  Limits.ConnectTimeout_ = RelayConnectTimeout;
  return Limits;
}

/// Returns whether the store refused the call without carrying it out.
bool isRefusal(const HttpAnswer &Answer) {
  return Answer.Status_ == 429 || Answer.Status_ == 503;
}

/// Returns whether it is certain that the call was not carried out.
bool wasNotExecuted(const Result<HttpAnswer> &Answer) {
  return Answer ? isRefusal(*Answer) : Answer.error() == Errc::ConnectFailed;
}

} // namespace

StoreClient::StoreClient(EventLoop &Loop, std::string Address,
                         CounterRegistry &Counters)
    : Loop_(Loop), Address_(std::move(Address)), Counters_(Counters),
      DirectClient_(Loop, callLimits()), FeedClient_(Loop, feedLimits()),
      PeerCallClient_(Loop, callLimits()), RelayClient_(Loop, relayLimits()) {}

void StoreClient::setRelays(std::vector<std::string> Addresses) {
  Route_.setRelays(std::move(Addresses));
}

void StoreClient::recordDirectResult(const char *CallName, TimePoint SentAt,
                                     const Result<HttpAnswer> &Answer) {
  TimePoint Now = SchedulerClock::now();
  bool HasChanged = false;
  if (!Answer)
    HasChanged = Route_.recordDirectFailure(Now);
  else if (isRefusal(*Answer))
    HasChanged = Route_.recordDirectRefusal(Now);
  else
    HasChanged = Route_.recordDirectAnswer(Now);
  if (!HasChanged)
    return;
  logEvent(Route_.isDirect() ? LogEvent::PlatformRecovered
                             : LogEvent::PlatformUnavailable,
           {{"call", CallName},
            {"status", Answer ? Answer->Status_ : 0},
            {"took_ms", (Now - SentAt) / std::chrono::milliseconds(1)}});
}

void StoreClient::probeStore() {
  if (!Route_.claimProbe(SchedulerClock::now()))
    return;
  platform::RowRange Range;
  Range.Table_ = CellTable;
  Range.Partition_ = CellPartition;
  Range.Limit_ = 1;
  DirectClient_.send(
      Address_, platform::makeReadRequest(Range), ProbeTimeout,
      [this, SentAt = SchedulerClock::now()](const Result<HttpAnswer> &Answer) {
        recordDirectResult("probe", SentAt, Answer);
      });
}

void StoreClient::send(PendingCall NewCall, Duration Timeout) {
  auto Call = std::make_shared<PendingCall>(std::move(NewCall));
  Call->SentAt_ = SchedulerClock::now();
  Call->Deadline_ = Call->SentAt_ + Timeout;
  probeStore();
  if (Route_.isDirect() || !sendRelayed(Call))
    sendDirect(Call);
}

void StoreClient::sendDirect(const CallPtr &Call) {
  AsyncHttpClient &Client = Call->IsFeed_ ? FeedClient_ : DirectClient_;
  Client.send(Address_, Call->Request_, Call->Deadline_ - SchedulerClock::now(),
              [this, Call](Result<HttpAnswer> Answer) {
                handleDirectAnswer(Call, std::move(Answer));
              });
}

void StoreClient::handleDirectAnswer(const CallPtr &Call,
                                     Result<HttpAnswer> Answer) {
  recordDirectResult(Call->Name_, Call->SentAt_, Answer);
  bool IsServed = Answer && !isRefusal(*Answer);
  bool MayRepeat = Call->IsIdempotent_ || wasNotExecuted(Answer);
  if (!IsServed && MayRepeat && !Route_.isDirect() && sendRelayed(Call))
    return;
  complete(Call, std::move(Answer));
}

bool StoreClient::sendRelayed(const CallPtr &Call) {
  TimePoint Now = SchedulerClock::now();
  Duration TimeLeft = Call->Deadline_ - Now;
  std::string Relay = Route_.selectRelay(Now);
  if (Relay.empty() || TimeLeft < MinRelayTime ||
      Call->RelayAttempts_ >= MaxRelayAttempts)
    return false;
  ++Call->RelayAttempts_;
  Counters_.counter("store_calls_relayed_total").add();
  RelayClient_.send(Relay, encodeRelayedCall({Call->Request_, TimeLeft}),
                    TimeLeft, [this, Call, Relay](Result<HttpAnswer> Answer) {
                      if (Answer)
                        Answer = decodeRelayedAnswer(std::move(*Answer));
                      handleRelayAnswer(Call, Relay, std::move(Answer));
                    });
  return true;
}

void StoreClient::handleRelayAnswer(const CallPtr &Call,
                                    const std::string &Relay,
                                    Result<HttpAnswer> Answer) {
  TimePoint Now = SchedulerClock::now();
  if (Answer && !isRefusal(*Answer))
    Route_.recordRelayAnswer(Now);
  else
    Route_.recordRelayFailure(Relay, Now);
  bool IsServed = Answer && !isRefusal(*Answer);
  bool MayRepeat = Call->IsIdempotent_ || wasNotExecuted(Answer);
  if (!IsServed && MayRepeat && sendRelayed(Call))
    return;
  complete(Call, std::move(Answer));
}

void StoreClient::complete(const CallPtr &Call, Result<HttpAnswer> Answer) {
  Counters_.observe("store_call_seconds", SchedulerClock::now() - Call->SentAt_,
                    std::string("call=\"") + Call->Name_ + "\"");
  Call->Callback_(std::move(Answer));
}

void StoreClient::serveRelayedCall(const HttpRequest &RelayRequest,
                                   HttpResponder Respond) {
  Result<RelayedCall> Call = decodeRelayedCall(RelayRequest);
  if (!Call || !Route_.isDirect())
    return Respond(encodeRelayedAnswer(fail(Errc::ConnectFailed)));
  PeerCallClient_.send(
      Address_, Call->Request_, Call->Timeout_,
      [Respond = std::move(Respond)](const Result<HttpAnswer> &Answer) {
        Respond(encodeRelayedAnswer(Answer));
      });
}

void StoreClient::commit(const scheduling::RowTransaction &Transaction,
                         Duration Timeout, CommitCallback Callback) {
  PendingCall Call;
  Call.Request_ = platform::makeTransactionRequest(Transaction);
  Call.Name_ = "commit";
  Call.IsIdempotent_ = false;
  Call.Callback_ = [Callback =
                        std::move(Callback)](const Result<HttpAnswer> &Answer) {
    CommitResult Outcome;
    if (Answer)
      Outcome = platform::decodeCommitAnswer(*Answer);
    else if (Answer.error() == Errc::ConnectFailed)
      Outcome.Outcome_ = CommitOutcome::Refused;
    Callback(std::move(Outcome));
  };
  send(std::move(Call), Timeout);
}

void StoreClient::read(const platform::RowRange &Range, Duration Timeout,
                       RowsCallback Callback) {
  PendingCall Call;
  Call.Request_ = platform::makeReadRequest(Range);
  Call.Name_ = "read";
  Call.Callback_ = [Callback =
                        std::move(Callback)](const Result<HttpAnswer> &Answer) {
    if (!Answer)
      return Callback(fail(Answer.error()));
    Callback(platform::decodeRowsAnswer(*Answer));
  };
  send(std::move(Call), Timeout);
}

/// The state of a read of all pages of one range.
struct StoreClient::PagedRead {
  platform::RowRange Range_;
  Duration Timeout_;
  RowsCallback Callback_;
  RowPage Rows_;
  /// The number of times that the next page was read without success.
  unsigned FailedAttempts_ = 0;
};

void StoreClient::readAll(platform::RowRange Range, Duration Timeout,
                          RowsCallback Callback) {
  readNextPage(std::make_shared<PagedRead>(
      PagedRead{std::move(Range), Timeout, std::move(Callback), {}}));
}

void StoreClient::readNextPage(std::shared_ptr<PagedRead> Read) {
  WaitingReads_.push_back(std::move(Read));
  startPageReads();
}

void StoreClient::startPageReads() {
  while (!WaitingReads_.empty() &&
         PageReadsInFlight_ < ReadPace_.parallelReads()) {
    std::shared_ptr<PagedRead> Read = std::move(WaitingReads_.front());
    WaitingReads_.pop_front();
    Read->Range_.Limit_ = ReadPace_.pageRows();
    ++PageReadsInFlight_;
    read(Read->Range_, Read->Timeout_,
         [this, Read, SentAt = SchedulerClock::now()](Result<RowPage> Page) {
           --PageReadsInFlight_;
           handlePage(Read, SentAt, std::move(Page));
           startPageReads();
         });
  }
}

void StoreClient::handlePage(const std::shared_ptr<PagedRead> &Read,
                             TimePoint SentAt, Result<RowPage> Page) {
  TimePoint Now = SchedulerClock::now();
  if (!Page) {
    // A page that is larger than an answer may be also ends here.
    bool HasNotArrived = Page.error() == Errc::OutcomeUnknown;
    if (HasNotArrived)
      ReadPace_.pageFailed(SentAt, Now);
    bool IsLate = Now - SentAt >= Read->Timeout_;
    if (++Read->FailedAttempts_ >= MaxPageAttempts)
      return Read->Callback_(fail(Page.error()));
    return Loop_.after(IsLate ? Duration::zero() : StoreRetryDelay,
                       [this, Read] { readNextPage(Read); });
  }
  ReadPace_.pageArrived();
  Read->FailedAttempts_ = 0;
  RowPage &Rows = Read->Rows_;
  if (Rows.Version_ == 0)
    Rows.Version_ = Page->Version_;
  std::move(Page->Rows_.begin(), Page->Rows_.end(),
            std::back_inserter(Rows.Rows_));
  if (!Page->IsTruncated_ || Page->Rows_.empty())
    return Read->Callback_(std::move(Rows));
  // Continue behind the last key that was read. In byte order, no key lies in
  // between.
  Read->Range_.FirstKey_ = Rows.Rows_.back().Key_.Key_ + '\x01';
  readNextPage(Read);
}

void StoreClient::readPartitions(std::string_view Table,
                                 const std::vector<std::string> &Partitions,
                                 Duration Timeout, RowsCallback Callback) {
  struct PartitionReads {
    RowPage Combined_;
    std::size_t Outstanding_ = 0;
    std::error_code Failure_;
    RowsCallback Callback_;
  };
  auto Reads = std::make_shared<PartitionReads>();
  Reads->Outstanding_ = Partitions.size();
  Reads->Callback_ = std::move(Callback);
  for (const std::string &Partition : Partitions) {
    platform::RowRange Range;
    Range.Table_ = Table;
    Range.Partition_ = Partition;
    readAll(Range, Timeout, [Reads](Result<RowPage> Page) {
      RowPage &Combined = Reads->Combined_;
      if (!Page) {
        Reads->Failure_ = Page.error();
      } else {
        bool IsFirst = Combined.Version_ == 0;
        Combined.Version_ = IsFirst
                                ? Page->Version_
                                : std::min(Combined.Version_, Page->Version_);
        std::move(Page->Rows_.begin(), Page->Rows_.end(),
                  std::back_inserter(Combined.Rows_));
      }
      if (--Reads->Outstanding_ > 0)
        return;
      if (Reads->Failure_)
        return Reads->Callback_(fail(Reads->Failure_));
      Reads->Callback_(std::move(Combined));
    });
  }
}

void StoreClient::feed(std::string_view Table, std::uint64_t After,
                       Duration Wait, RowsCallback Callback) {
  PendingCall Call;
  Call.Request_ = platform::makeFeedRequest(Table, After, Wait);
  Call.Name_ = "feed";
  Call.IsFeed_ = true;
  Call.Callback_ = [Callback =
                        std::move(Callback)](const Result<HttpAnswer> &Answer) {
    if (!Answer)
      return Callback(fail(Answer.error()));
    Callback(platform::decodeRowsAnswer(*Answer));
  };
  send(std::move(Call), Wait + FeedTimeoutMargin);
}

} // namespace filbertspring::node
