#include "callers.h"

#include "caller_answers.h"
#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/caller_codec.h"
#include "rows.h"
#include "store_access.h"

#include <algorithm>
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
/// Longer timeouts of callers count as this one. They bound how long a request
/// is held while the store does not answer.
constexpr std::chrono::milliseconds MaxCallerTimeout{60'000};
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

/// Returns whether a caller with \p Scope may see and change the job whose row
/// is \p Accepted. A row without a readable owner is nobody's in particular,
/// so it is closed to all who are restricted.
bool covers(const CallerScope &Scope, const Row &Accepted) {
  if (!Scope.IsRestricted_)
    return true;
  Result<std::string> Owner = decodeAcceptedWorkspace(Accepted.Value_);
  return Owner && Scope.covers(*Owner);
}

/// Returns how long the caller of \p Request waits for an answer.
Duration callerTimeout(const HttpRequest &Request) {
  std::string_view Text = Request.header(platform::DeadlineHeader);
  std::int64_t Milliseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Text.empty() || Error != std::errc() || Milliseconds <= 0)
    return DefaultCallerTimeout;
  return std::chrono::milliseconds(
      std::min<std::int64_t>(Milliseconds, MaxCallerTimeout.count()));
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
  CallerScope Scope_;
  std::string Job_;
  /// An insert had an unknown outcome, so the row of the job or of its
  /// cancellation may be stored.
  bool MayBeStored_ = false;
  /// A transaction for this request has no outcome yet.
  bool IsCommitting_ = false;
  bool IsAnswered_ = false;
  /// Answers at the deadline. Ends with the exchange, so that requests that
  /// were answered take no memory.
  std::shared_ptr<void> DeadlineTimer_;
};

CallerRequestHandler::CallerRequestHandler(
    EventLoop &Loop, StoreClient &Store, CellDirectory &Cell,
    CounterRegistry &Counters, std::function<void(const Row &)> RowStored)
    : Loop_(Loop), Store_(Store), Cell_(Cell), Counters_(Counters),
      RowStored_(std::move(RowStored)) {}

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
  CallerExchange->DeadlineTimer_ =
      Loop_.timer(callerTimeout(CallerExchange->Request_) - AnswerMargin,
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
  const HttpRequest &Request = CallerExchange->Request_;
  if (std::optional<HttpAnswer> Refusal = refuseEarly(Request))
    return CallerExchange->Respond_(std::move(*Refusal));
  const Queue *MatchedQueue = findQueue(*Queues_, Request);
  std::variant<CallerScope, KeyRefusal> Checked =
      checkKey(Request, *MatchedQueue);
  // The configuration may have become outdated just now.
  if (const auto *Reason = std::get_if<KeyRefusal>(&Checked))
    return CallerExchange->Respond_(refuseKey(Request, *MatchedQueue, *Reason));
  CallerExchange->Scope_ = std::get<CallerScope>(std::move(Checked));
  CallerExchange->Queue_ = *MatchedQueue;
  CallerExchange->Job_ = Request.Path_.substr(MatchedQueue->PathPrefix_.size());
  if (CallerExchange->Job_.empty())
    return answerPendingCount(CallerExchange);
  if (Request.Method_ == "POST")
    return submitJob(CallerExchange);
  if (Request.Method_ == "GET")
    return answerJobState(CallerExchange);
  cancelJob(CallerExchange);
}

void CallerRequestHandler::submitJob(const ExchangePtr &CallerExchange) {
  if (!platform::isDocumentWithinLimits(CallerExchange->Request_.Body_))
    return rejectJob(CallerExchange, "the document is nested too deeply",
                     CallerExchange->Request_.Body_.size());
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
  Accepted.Workspace_ = CallerExchange->Scope_.Workspace_;
  RowTransaction Insert;
  Insert.Conditions_.push_back({jobKey(CallerExchange->Job_), 0});
  // The job may have been cancelled before it came; see cancelJob().
  Insert.Conditions_.push_back({cancellationKey(CallerExchange->Job_), 0});
  if (CallerExchange->Scope_.IsRestricted_)
    Insert.Conditions_.push_back(
        {cancellationKeyWithin(Accepted.Workspace_, CallerExchange->Job_), 0});
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

void CallerRequestHandler::rejectUnstorableJob(
    const ExchangePtr &CallerExchange, std::string_view Problem) {
  logEvent(LogEvent::JobRefused,
           {{"job", CallerExchange->Job_}, {"problem", Problem}});
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
        if (Outcome.Outcome_ == CommitOutcome::Conflict) {
          const Row *Stored = findRow(Outcome.CurrentRows_, Accepted.Key_);
          if (!Stored)
            return rejectUnstorableJob(CallerExchange, "cancelled before");
          if (!covers(CallerExchange->Scope_, *Stored))
            return rejectUnstorableJob(CallerExchange,
                                       "the id is another workspace's");
        }
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          notifyStored(Accepted, Outcome);
          if (CallerExchange->Scope_.IsRestricted_)
            JobCache_.insertOwner(CallerExchange->Job_,
                                  CallerExchange->Scope_.Workspace_,
                                  CallerExchange->ArrivedAt_);
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
  const CallerScope &Scope = CallerExchange->Scope_;
  std::optional<FinalJob> Final = JobCache_.finalState(CallerExchange->Job_);
  // If the cached job is not the caller's, the id may have been used again.
  if (Final && (!Scope.IsRestricted_ ||
                (Final->Workspace_ && Scope.covers(*Final->Workspace_))))
    return CallerExchange->Respond_(makeAnswer(
        200, platform::encodeJobState(Final->State_, Final->Cause_)));
  Store_.read(
      singleRowRange(progressKey(CallerExchange->Job_)),
      timeLeft(*CallerExchange),
      [this, CallerExchange,
       SentAt = SchedulerClock::now()](const Result<RowPage> &Page) {
        if (!Page)
          return CallerExchange->Respond_(makeUnavailableAnswer());
        std::optional<scheduling::JobProgress> Progress;
        if (!Page->Rows_.empty()) {
          Result<scheduling::JobProgress> Decoded =
              scheduling::decodeProgress(Page->Rows_.front().Value_);
          if (!Decoded)
            return CallerExchange->Respond_(makeUnavailableAnswer());
          Progress = std::move(*Decoded);
        }
        if (Progress && !CallerExchange->Scope_.IsRestricted_)
          return answerStoredState(CallerExchange, &*Progress, std::nullopt);
        // Saves the read of the job's row, which holds the body.
        std::optional<std::string> KnownOwner =
            JobCache_.owner(CallerExchange->Job_, SchedulerClock::now());
        if (KnownOwner && CallerExchange->Scope_.IsRestricted_ &&
            CallerExchange->Scope_.covers(*KnownOwner))
          return answerStoredState(CallerExchange,
                                   Progress ? &*Progress : nullptr, KnownOwner);
        // The job's row tells the workspace. Read after the progress, which is
        // removed later than it or at the same time.
        readAcceptance(CallerExchange, [this, CallerExchange, SentAt,
                                        Progress](const Row *Accepted) {
          if (!Accepted || !covers(CallerExchange->Scope_, *Accepted))
            return CallerExchange->Respond_(makeAnswer(410));
          Result<std::string> Owner = decodeAcceptedWorkspace(Accepted->Value_);
          bool HasEnded = Progress && isFinal(Progress->State_);
          if (Owner && !HasEnded)
            JobCache_.insertOwner(CallerExchange->Job_, *Owner, SentAt);
          answerStoredState(CallerExchange, Progress ? &*Progress : nullptr,
                            Owner ? std::optional(*Owner) : std::nullopt);
        });
      });
}

void CallerRequestHandler::answerStoredState(
    const ExchangePtr &CallerExchange, const scheduling::JobProgress *Progress,
    std::optional<std::string> Workspace) {
  if (!Progress)
    return CallerExchange->Respond_(
        makeAnswer(200, platform::encodeJobState(JobState::Queued)));
  if (isFinal(Progress->State_))
    JobCache_.insertFinalState(
        CallerExchange->Job_,
        {Progress->State_, Progress->Cause_, std::move(Workspace)});
  CallerExchange->Respond_(makeAnswer(
      200, platform::encodeJobState(Progress->State_, Progress->Cause_)));
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
/// state is kept; see Scheduler::cancelJob(). If the job is not the caller's,
/// the cancellation binds only submissions by the caller's workspace.
void CallerRequestHandler::cancelJob(const ExchangePtr &CallerExchange) {
  readAcceptance(CallerExchange, [this, CallerExchange](const Row *Accepted) {
    const CallerScope &Scope = CallerExchange->Scope_;
    bool IsCallers = Accepted && covers(Scope, *Accepted);
    bool IsScoped = Scope.IsRestricted_ && !IsCallers;
    insertCancellation(
        CallerExchange,
        {IsScoped
             ? cancellationKeyWithin(Scope.Workspace_, CallerExchange->Job_)
             : cancellationKey(CallerExchange->Job_),
         Accepted ? Accepted->Version_ : 0, IsCallers ? 200 : 410});
  });
}

void CallerRequestHandler::insertCancellation(const ExchangePtr &CallerExchange,
                                              const Cancellation &Requested) {
  if (CallerExchange->IsAnswered_)
    return;
  Duration Timeout = timeLeft(*CallerExchange);
  if (Timeout <= Duration::zero())
    return CallerExchange->Respond_(makeUnknownOutcomeAnswer());
  RowTransaction Cancel;
  Cancel.Conditions_.push_back(
      {jobKey(CallerExchange->Job_), Requested.JobVersion_});
  Row NewRow;
  NewRow.Key_ = Requested.Key_;
  NewRow.Value_ = "{}";
  Cancel.Writes_.push_back(NewRow);
  CallerExchange->IsCommitting_ = true;
  Store_.commit(
      Cancel, Timeout,
      [this, CallerExchange, Requested, NewRow](const CommitResult &Outcome) {
        CallerExchange->IsCommitting_ = false;
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          logEvent(LogEvent::StopRequested, {{"job", CallerExchange->Job_}});
          notifyStored(NewRow, Outcome);
          return CallerExchange->Respond_(makeAnswer(Requested.Status_));
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
          return Loop_.after(StoreRetryDelay,
                             [this, CallerExchange, Requested] {
                               insertCancellation(CallerExchange, Requested);
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
