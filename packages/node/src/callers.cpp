#include "callers.h"

#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/caller_codec.h"
#include "rows.h"
#include "store_access.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::JobState;
using scheduling::Queue;
using scheduling::Row;
using scheduling::RowPage;
using scheduling::RowTransaction;

/// The part of a caller's timeout that is reserved for the transfer of the
/// answer.
constexpr Duration AnswerMargin = std::chrono::milliseconds(150);
/// The timeout of callers that send none.
constexpr Duration DefaultCallerTimeout = std::chrono::milliseconds(3000);
/// The Retry-After value if the store refused a call or did not answer. The
/// shortest outages have ended by then.
constexpr const char *StoreRetryAfterSeconds = "1";
/// The number of hexadecimal digits in a job's id.
constexpr std::size_t JobIdDigits = 16;

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Digit) {
           return std::isxdigit(Digit) != 0;
         });
}

HttpAnswer makeAnswer(int Status) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  return Answer;
}

HttpAnswer makeAnswer(int Status, std::string Body) {
  HttpAnswer Answer = makeAnswer(Status);
  Answer.Body_ = std::move(Body);
  return Answer;
}

/// Returns the answer to a request that was not carried out and may be retried.
HttpAnswer makeUnavailableAnswer() {
  HttpAnswer Answer = makeAnswer(503);
  Answer.Headers_.push_back({"Retry-After", StoreRetryAfterSeconds});
  return Answer;
}

/// Returns the answer to a request whose outcome is unknown. Repeating it with
/// the same job id determines the outcome.
HttpAnswer makeUnknownOutcomeAnswer() { return makeAnswer(504); }

/// Returns the row \p Key, or null if \p Rows does not hold it.
const Row *findRow(const std::vector<Row> &Rows,
                   const scheduling::RowKey &Key) {
  auto It = std::find_if(Rows.begin(), Rows.end(), [&](const Row &Stored) {
    return Stored.Key_.Key_ == Key.Key_;
  });
  return It == Rows.end() ? nullptr : &*It;
}

/// Returns the range that contains only the row \p Key.
platform::RowRange singleRowRange(const scheduling::RowKey &Key) {
  // Longer keys of the same job continue with a dot, which sorts after the
  // hyphen that ends the range.
  platform::RowRange Range;
  Range.Table_ = Key.Table_;
  Range.Partition_ = Key.Partition_;
  Range.FirstKey_ = Key.Key_;
  Range.EndKey_ = Key.Key_ + "-";
  Range.Limit_ = 1;
  return Range;
}

/// Returns how long the caller of \p Request waits for an answer.
Duration callerTimeout(const HttpRequest &Request) {
  std::string_view Text = Request.header(platform::DeadlineHeader);
  std::int64_t Milliseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Text.empty() || Error != std::errc() || Milliseconds <= 0)
    return DefaultCallerTimeout;
  return std::chrono::milliseconds(Milliseconds);
}

} // namespace

/// The state of one request from its arrival to its answer.
struct CallerRequestHandler::Exchange {
  HttpRequest Request_;
  HttpResponder Respond_;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  /// A copy, since the configuration may change before the answer.
  Queue Queue_;
  std::string Job_;
  /// An insert had an unknown outcome, so the row of the job or of its
  /// cancellation may be stored.
  bool MayBeStored_ = false;
  /// A transaction for this request has no outcome yet.
  bool IsCommitting_ = false;
  bool IsAnswered_ = false;
};

CallerRequestHandler::CallerRequestHandler(
    EventLoop &Loop, StoreClient &Store, CellDirectory &Cell,
    CounterRegistry &Counters, std::function<void(const Row &)> RowStored)
    : Loop_(Loop), Store_(Store), Cell_(Cell), Counters_(Counters),
      RowStored_(std::move(RowStored)) {}

void CallerRequestHandler::configure(
    std::shared_ptr<const scheduling::QueueTable> Queues) {
  Queues_ = std::move(Queues);
}

Duration CallerRequestHandler::timeLeft(const Exchange &CallerExchange) const {
  return std::min(StoreCallTimeout, CallerExchange.Deadline_ -
                                        SchedulerClock::now() - AnswerMargin);
}

void CallerRequestHandler::handle(HttpRequest Request, HttpResponder Respond) {
  auto CallerExchange = std::make_shared<Exchange>();
  CallerExchange->ArrivedAt_ = SchedulerClock::now();
  CallerExchange->Deadline_ =
      CallerExchange->ArrivedAt_ + callerTimeout(Request);
  std::string Method = Request.Method_;
  CallerExchange->Request_ = std::move(Request);
  CallerExchange->Respond_ = [this, Method,
                              Reference = std::weak_ptr(CallerExchange),
                              ArrivedAt = CallerExchange->ArrivedAt_,
                              Respond = std::move(Respond)](HttpAnswer Answer) {
    ExchangePtr Answered = Reference.lock();
    if (Answered && std::exchange(Answered->IsAnswered_, true))
      return;
    Counters_.observe("caller_request_seconds",
                      SchedulerClock::now() - ArrivedAt,
                      "method=\"" + Method + "\",status=\"" +
                          std::to_string(Answer.Status_) + "\"");
    Respond(std::move(Answer));
  };
  Loop_.after(callerTimeout(CallerExchange->Request_) - AnswerMargin,
              [this, Reference = std::weak_ptr(CallerExchange)] {
                if (ExchangePtr Open = Reference.lock())
                  answerAtDeadline(Open);
              });
  route(CallerExchange);
}

/// Answers a request whose caller waits no longer. Calls to the store may last
/// longer than this, since their timeouts hardly count the delay of the event
/// loop.
void CallerRequestHandler::answerAtDeadline(const ExchangePtr &CallerExchange) {
  if (CallerExchange->IsAnswered_)
    return;
  bool IsOutcomeUnknown =
      CallerExchange->MayBeStored_ || CallerExchange->IsCommitting_;
  if (IsOutcomeUnknown)
    logEvent(LogEvent::JobOutcomeUnknown, {{"job", CallerExchange->Job_}});
  CallerExchange->Respond_(IsOutcomeUnknown ? makeUnknownOutcomeAnswer()
                                            : makeUnavailableAnswer());
}

void CallerRequestHandler::route(const ExchangePtr &CallerExchange) {
  if (!Queues_)
    return CallerExchange->Respond_(makeUnavailableAnswer());
  std::string_view Host = CallerExchange->Request_.header("Host");
  Host = Host.substr(0, Host.find(':'));
  const Queue *MatchedQueue =
      Queues_->match(Host, CallerExchange->Request_.Path_);
  if (!MatchedQueue)
    return CallerExchange->Respond_(makeAnswer(404));
  CallerExchange->Queue_ = *MatchedQueue;
  CallerExchange->Job_ =
      CallerExchange->Request_.Path_.substr(MatchedQueue->PathPrefix_.size());
  const std::string &Method = CallerExchange->Request_.Method_;
  if (Method == "GET" && CallerExchange->Job_.empty())
    return answerPendingCount(CallerExchange);
  if (!isJobId(CallerExchange->Job_))
    return CallerExchange->Respond_(makeAnswer(404));
  if (Method == "POST")
    return submitJob(CallerExchange);
  if (Method == "GET")
    return answerJobState(CallerExchange);
  if (Method == "DELETE")
    return cancelJob(CallerExchange);
  CallerExchange->Respond_(makeAnswer(405));
}

void CallerRequestHandler::submitJob(const ExchangePtr &CallerExchange) {
  Result<scheduling::JobSpec> Spec =
      platform::decodeJobSpec(CallerExchange->Request_.Body_);
  std::string Problem =
      Spec ? scheduling::findSpecError(*Spec) : Spec.error().message();
  if (!Problem.empty())
    return rejectJob(CallerExchange, Problem,
                     CallerExchange->Request_.Body_.size());
  StoredAcceptance Accepted;
  Accepted.Queue_ = CallerExchange->Queue_.Name_;
  Accepted.Service_ = CallerExchange->Queue_.Service_;
  Accepted.AcceptedMs_ = wallMilliseconds();
  Accepted.Body_ = std::move(CallerExchange->Request_.Body_);
  RowTransaction Insert;
  Insert.Conditions_.push_back({jobKey(CallerExchange->Job_), 0});
  // The job may have been cancelled before it came; see cancelJob().
  Insert.Conditions_.push_back({cancellationKey(CallerExchange->Job_), 0});
  Row NewRow;
  NewRow.Key_ = jobKey(CallerExchange->Job_);
  NewRow.Value_ = encodeAcceptance(Accepted);
  Insert.Writes_.push_back(std::move(NewRow));
  insertJob(CallerExchange, Insert);
}

/// Answers a submission that can never succeed.
void CallerRequestHandler::rejectJob(const ExchangePtr &CallerExchange,
                                     std::string_view Problem,
                                     std::size_t Bytes) {
  logEvent(LogEvent::JobRefused, {{"job", CallerExchange->Job_},
                                  {"problem", Problem},
                                  {"bytes", static_cast<std::int64_t>(Bytes)}});
  CallerExchange->Respond_(makeAnswer(400));
}

/// Answers a submission of a job that was cancelled before it was stored.
void CallerRequestHandler::rejectCancelledJob(
    const ExchangePtr &CallerExchange) {
  logEvent(LogEvent::JobRefused,
           {{"job", CallerExchange->Job_}, {"problem", "cancelled before"}});
  CallerExchange->Respond_(makeAnswer(410));
}

/// Inserts the job, and repeats the insert until its outcome is known or the
/// caller's deadline has passed. The condition that neither the job nor its
/// cancellation is stored makes repeats safe.
void CallerRequestHandler::insertJob(const ExchangePtr &CallerExchange,
                                     const RowTransaction &Insert) {
  if (CallerExchange->IsAnswered_)
    return;
  Duration Timeout = timeLeft(*CallerExchange);
  if (Timeout <= Duration::zero() && !CallerExchange->MayBeStored_) {
    logEvent(LogEvent::JobRefused, {{"job", CallerExchange->Job_},
                                    {"problem", "too little time is left"}});
    return CallerExchange->Respond_(makeUnavailableAnswer());
  }
  if (Timeout <= Duration::zero()) {
    logEvent(LogEvent::JobOutcomeUnknown, {{"job", CallerExchange->Job_}});
    return CallerExchange->Respond_(makeUnknownOutcomeAnswer());
  }
  CallerExchange->IsCommitting_ = true;
  Store_.commit(
      Insert, Timeout,
      [this, CallerExchange, Insert](const CommitResult &Outcome) {
        CallerExchange->IsCommitting_ = false;
        const Row &Accepted = Insert.Writes_.front();
        if (Outcome.Outcome_ == CommitOutcome::Conflict &&
            !findRow(Outcome.CurrentRows_, Accepted.Key_))
          return rejectCancelledJob(CallerExchange);
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          notifyStored(Accepted, Outcome);
          [[fallthrough]];
        case CommitOutcome::Conflict:
          logEvent(
              LogEvent::JobAccepted,
              {{"job", CallerExchange->Job_},
               {"queue", CallerExchange->Queue_.Name_},
               {"repeat", Outcome.Outcome_ == CommitOutcome::Conflict ? 1 : 0},
               {"took_ms",
                (SchedulerClock::now() - CallerExchange->ArrivedAt_) /
                    std::chrono::milliseconds(1)}});
          return CallerExchange->Respond_(makeAnswer(200));
        case CommitOutcome::Refused:
        case CommitOutcome::Rejected:
          // An earlier insert for this request may still take effect.
          if (CallerExchange->MayBeStored_) {
            logEvent(LogEvent::JobOutcomeUnknown,
                     {{"job", CallerExchange->Job_}});
            return CallerExchange->Respond_(makeUnknownOutcomeAnswer());
          }
          if (Outcome.Outcome_ == CommitOutcome::Rejected)
            return rejectJob(CallerExchange, "the store takes no such row",
                             Accepted.Value_.size());
          logEvent(LogEvent::JobRefused, {{"job", CallerExchange->Job_},
                                          {"problem", "store refuses calls"}});
          return CallerExchange->Respond_(makeUnavailableAnswer());
        case CommitOutcome::Unknown:
          CallerExchange->MayBeStored_ = true;
          // Without a pause, a store that resets connections would be called in
          // a tight loop.
          return Loop_.after(StoreRetryDelay, [this, CallerExchange, Insert] {
            insertJob(CallerExchange, Insert);
          });
        }
      });
}

void CallerRequestHandler::notifyStored(Row Stored,
                                        const CommitResult &Outcome) {
  Stored.Version_ = Outcome.Version_;
  RowStored_(Stored);
}

void CallerRequestHandler::answerJobState(const ExchangePtr &CallerExchange) {
  if (std::optional<FinalJob> Final =
          JobCache_.finalState(CallerExchange->Job_))
    return CallerExchange->Respond_(makeAnswer(
        200, platform::encodeJobState(Final->State_, Final->Cause_)));
  Store_.read(
      singleRowRange(progressKey(CallerExchange->Job_)),
      timeLeft(*CallerExchange),
      [this, CallerExchange](const Result<RowPage> &Page) {
        if (!Page)
          return CallerExchange->Respond_(makeUnavailableAnswer());
        if (Page->Rows_.empty())
          return readAcceptance(
              CallerExchange, [CallerExchange](const Row *Accepted) {
                CallerExchange->Respond_(
                    Accepted ? makeAnswer(200, platform::encodeJobState(
                                                   JobState::Queued))
                             : makeAnswer(410));
              });
        Result<scheduling::JobProgress> Progress =
            scheduling::decodeProgress(Page->Rows_.front().Value_);
        if (!Progress)
          return CallerExchange->Respond_(makeUnavailableAnswer());
        if (isFinal(Progress->State_))
          JobCache_.insertFinalState(CallerExchange->Job_,
                                     {Progress->State_, Progress->Cause_});
        CallerExchange->Respond_(makeAnswer(
            200, platform::encodeJobState(Progress->State_, Progress->Cause_)));
      });
}

void CallerRequestHandler::readAcceptance(const ExchangePtr &CallerExchange,
                                          AcceptanceCallback Callback) {
  Store_.read(singleRowRange(jobKey(CallerExchange->Job_)),
              timeLeft(*CallerExchange),
              [CallerExchange,
               Callback = std::move(Callback)](const Result<RowPage> &Page) {
                if (!Page)
                  return CallerExchange->Respond_(makeUnavailableAnswer());
                Callback(Page->Rows_.empty() ? nullptr : &Page->Rows_.front());
              });
}

/// Cancels a job, whether it is stored or not. The answer that there is no such
/// job is a promise that none will start, but an instance may still hold its
/// submission. So the cancellation is stored in any case, and keeps the job
/// from being inserted. The owner removes it after the time for which a final
/// state is kept; see Scheduler::cancelJob().
void CallerRequestHandler::cancelJob(const ExchangePtr &CallerExchange) {
  readAcceptance(CallerExchange, [this, CallerExchange](const Row *Accepted) {
    insertCancellation(CallerExchange, Accepted ? Accepted->Version_ : 0);
  });
}

/// \p Version: the version of the job's row, 0 if it is not stored.
void CallerRequestHandler::insertCancellation(const ExchangePtr &CallerExchange,
                                              std::uint64_t Version) {
  if (CallerExchange->IsAnswered_)
    return;
  Duration Timeout = timeLeft(*CallerExchange);
  if (Timeout <= Duration::zero())
    return CallerExchange->Respond_(makeUnknownOutcomeAnswer());
  RowTransaction Cancel;
  Cancel.Conditions_.push_back({jobKey(CallerExchange->Job_), Version});
  Row NewRow;
  NewRow.Key_ = cancellationKey(CallerExchange->Job_);
  NewRow.Value_ = "{}";
  Cancel.Writes_.push_back(NewRow);
  CallerExchange->IsCommitting_ = true;
  Store_.commit(
      Cancel, Timeout,
      [this, CallerExchange, Version, NewRow](const CommitResult &Outcome) {
        CallerExchange->IsCommitting_ = false;
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          logEvent(LogEvent::StopRequested, {{"job", CallerExchange->Job_}});
          notifyStored(NewRow, Outcome);
          return CallerExchange->Respond_(makeAnswer(Version == 0 ? 410 : 200));
        case CommitOutcome::Conflict:
          // The job was stored or removed meanwhile.
          return cancelJob(CallerExchange);
        case CommitOutcome::Refused:
        case CommitOutcome::Rejected:
          // An earlier insert for this request may still take effect.
          return CallerExchange->Respond_(CallerExchange->MayBeStored_
                                              ? makeUnknownOutcomeAnswer()
                                              : makeUnavailableAnswer());
        case CommitOutcome::Unknown:
          CallerExchange->MayBeStored_ = true;
          return Loop_.after(StoreRetryDelay, [this, CallerExchange, Version] {
            insertCancellation(CallerExchange, Version);
          });
        }
      });
}

void CallerRequestHandler::answerPendingCount(
    const ExchangePtr &CallerExchange) {
  std::optional<std::uint64_t> Pending =
      Cell_.pending(CallerExchange->Queue_.Name_);
  CallerExchange->Respond_(
      Pending ? makeAnswer(200, platform::encodePendingCount(*Pending))
              : makeUnavailableAnswer());
}

} // namespace filbertspring::node
