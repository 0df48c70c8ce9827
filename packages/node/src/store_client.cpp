#include "store_client.h"

#include "filbertspring/base/log.h"

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::RowPage;

/// Added to the time that a feed waits: the store's answer time and a round
/// trip, several times over.
constexpr Duration FeedSlack = std::chrono::milliseconds(700);

AsyncHttpLimits callLimits() {
  AsyncHttpLimits Limits;
  // Submissions of a burst run side by side.
  Limits.ConnectionsPerAddress_ = 16;
  Limits.MaxAnswerBytes_ = 8U << 20U;
  return Limits;
}

} // namespace

StoreClient::StoreClient(EventLoop &Loop, std::string Address,
                         CounterRegistry &Counters)
    : Address_(std::move(Address)), Counters_(Counters),
      Calls_(Loop, callLimits()), Feeds_(Loop, callLimits()) {}

void StoreClient::count(const char *Call, TimePoint SentAt, bool HasAnswer) {
  TimePoint Now = SchedulerClock::now();
  Counters_.observe("store_call_seconds", Now - SentAt,
                    std::string("call=\"") + Call + "\"");
  if (HasAnswer == !IsLost_)
    return;
  IsLost_ = !HasAnswer;
  logEvent(HasAnswer ? LogEvent::PlatformRecovered
                     : LogEvent::PlatformUnavailable,
           {{"call", Call},
            {"took_ms", (Now - SentAt) / std::chrono::milliseconds(1)}});
}

void StoreClient::commit(const scheduling::RowTransaction &Transaction,
                         Duration Timeout, CommitCallback Callback) {
  TimePoint SentAt = SchedulerClock::now();
  Calls_.send(Address_, platform::makeTransaction(Transaction), Timeout,
              [this, SentAt,
               Callback = std::move(Callback)](Result<HttpAnswer> Answer) {
                CommitResult Outcome;
                if (Answer)
                  Outcome = platform::decodeCommit(*Answer);
                else if (Answer.error() == Errc::ConnectFailed)
                  Outcome.Outcome_ = CommitOutcome::Refused;
                count("commit", SentAt, Answer.has_value());
                Callback(std::move(Outcome));
              });
}

void StoreClient::read(const platform::RowRange &Range, Duration Timeout,
                       RowsCallback Callback) {
  TimePoint SentAt = SchedulerClock::now();
  Calls_.send(Address_, platform::makeRead(Range), Timeout,
              [this, SentAt,
               Callback = std::move(Callback)](Result<HttpAnswer> Answer) {
                count("read", SentAt, Answer.has_value());
                if (!Answer)
                  return Callback(fail(Answer.error()));
                Callback(platform::decodeRows(*Answer));
              });
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
         Range.From_ = Before.Rows_.back().Key_.Key_ + '\x01';
         readNext(std::move(Range), Timeout, std::move(Before),
                  std::move(Callback));
       });
}

void StoreClient::feed(std::string_view Table, std::uint64_t After,
                       Duration Wait, RowsCallback Callback) {
  TimePoint SentAt = SchedulerClock::now();
  Feeds_.send(Address_, platform::makeFeed(Table, After, Wait),
              Wait + FeedSlack,
              [this, SentAt,
               Callback = std::move(Callback)](Result<HttpAnswer> Answer) {
                count("feed", SentAt, Answer.has_value());
                if (!Answer)
                  return Callback(fail(Answer.error()));
                Callback(platform::decodeRows(*Answer));
              });
}

} // namespace filbertspring::node
