#include "callers.h"

#include "cell_reading.h"
#include "filbertspring/base/log.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/caller_codec.h"
#include "rows.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::JobState;
using scheduling::Queue;
using scheduling::Row;
using scheduling::RowPage;
using scheduling::RowTransaction;

/// Kept of a caller's deadline for the way of the answer.
constexpr Duration AnswerSlack = std::chrono::milliseconds(150);
/// Callers without a deadline wait this long.
constexpr Duration DefaultDeadline = std::chrono::milliseconds(3000);
/// When to come back after the store refused a call or gave no answer: the
/// shortest outages are over by then.
constexpr const char *StoreRetryAfterSeconds = "1";
/// Digits of a job's id.
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

/// The request has not run; the caller may come back.
HttpAnswer makeRefusal() {
  HttpAnswer Answer = makeAnswer(503);
  Answer.Headers_.push_back({"Retry-After", StoreRetryAfterSeconds});
  return Answer;
}

/// The outcome is unknown; a repeat with the same id finds it out.
HttpAnswer makeUnknown() { return makeAnswer(504); }

platform::RowRange onlyRow(const scheduling::RowKey &Key) {
  // Keys of a job go on with a dot, which sorts after a hyphen.
  platform::RowRange Range;
  Range.Table_ = Key.Table_;
  Range.Partition_ = Key.Partition_;
  Range.FirstKey_ = Key.Key_;
  Range.EndKey_ = Key.Key_ + "-";
  Range.Limit_ = 1;
  return Range;
}

Duration deadlineOf(const HttpRequest &Request) {
  std::string_view Text = Request.header(platform::DeadlineHeader);
  std::int64_t Milliseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Text.empty() || Error != std::errc() || Milliseconds <= 0)
    return DefaultDeadline;
  return std::chrono::milliseconds(Milliseconds);
}

} // namespace

/// One request from its arrival to its answer.
struct Callers::Exchange {
  HttpRequest Request_;
  HttpResponder Respond_;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  /// A copy: the configuration may change meanwhile.
  Queue Queue_;
  std::string Job_;
  /// An insert has no known outcome.
  bool MayBeStored_ = false;
};

Callers::Callers(EventLoop &Loop, StoreClient &Store, CellDirectory &Cells,
                 CounterRegistry &Counters,
                 std::function<void(const Row &)> Accepted)
    : Loop_(Loop), Store_(Store), Cells_(Cells), Counters_(Counters),
      Accepted_(std::move(Accepted)) {}

void Callers::configure(std::shared_ptr<const scheduling::QueueTable> Queues) {
  Queues_ = std::move(Queues);
}

Duration Callers::timeLeft(const Exchange &Of) const {
  return std::min(StoreTimeout,
                  Of.Deadline_ - SchedulerClock::now() - AnswerSlack);
}

void Callers::handle(HttpRequest Request, HttpResponder Respond) {
  auto Of = std::make_shared<Exchange>();
  Of->ArrivedAt_ = SchedulerClock::now();
  Of->Deadline_ = Of->ArrivedAt_ + deadlineOf(Request);
  std::string Method = Request.Method_;
  Of->Request_ = std::move(Request);
  Of->Respond_ = [this, Method, ArrivedAt = Of->ArrivedAt_,
                  Respond = std::move(Respond)](HttpAnswer Answer) {
    Counters_.observe("caller_request_seconds",
                      SchedulerClock::now() - ArrivedAt,
                      "method=\"" + Method + "\",status=\"" +
                          std::to_string(Answer.Status_) + "\"");
    Respond(std::move(Answer));
  };
  route(Of);
}

void Callers::route(const ExchangePtr &Of) {
  if (!Queues_)
    return Of->Respond_(makeRefusal());
  std::string_view Host = Of->Request_.header("Host");
  Host = Host.substr(0, Host.find(':'));
  const Queue *Found = Queues_->match(Host, Of->Request_.Path_);
  if (!Found)
    return Of->Respond_(makeAnswer(404));
  Of->Queue_ = *Found;
  Of->Job_ = Of->Request_.Path_.substr(Found->PathPrefix_.size());
  const std::string &Method = Of->Request_.Method_;
  if (Method == "GET" && Of->Job_.empty())
    return answerPending(Of);
  if (!isJobId(Of->Job_))
    return Of->Respond_(makeAnswer(404));
  if (Method == "POST")
    return submit(Of);
  if (Method == "GET")
    return readState(Of);
  if (Method == "DELETE")
    return cancel(Of);
  Of->Respond_(makeAnswer(405));
}

void Callers::submit(const ExchangePtr &Of) {
  Result<scheduling::JobSpec> Spec =
      platform::decodeJobSpec(Of->Request_.Body_);
  std::string Problem =
      Spec ? scheduling::findSpecError(*Spec) : Spec.error().message();
  if (!Problem.empty()) {
    logEvent(LogEvent::JobRefused, {{"job", Of->Job_}, {"problem", Problem}});
    return Of->Respond_(makeAnswer(400));
  }
  StoredAcceptance Accepted;
  Accepted.Queue_ = Of->Queue_.Name_;
  Accepted.Service_ = Of->Queue_.Service_;
  Accepted.AcceptedMs_ = wallMilliseconds();
  Accepted.Body_ = std::move(Of->Request_.Body_);
  RowTransaction Insert;
  Insert.Conditions_.push_back({jobKey(Of->Job_), 0});
  Row New;
  New.Key_ = jobKey(Of->Job_);
  New.Value_ = encodeAcceptance(Accepted);
  Insert.Writes_.push_back(std::move(New));
  insert(Of, Insert);
}

/// Inserts until the outcome is known: the condition makes repeats harmless.
void Callers::insert(const ExchangePtr &Of, const RowTransaction &Insert) {
  Duration Timeout = timeLeft(*Of);
  if (Timeout <= Duration::zero() && !Of->MayBeStored_) {
    logEvent(LogEvent::JobRefused,
             {{"job", Of->Job_}, {"problem", "too little time is left"}});
    return Of->Respond_(makeRefusal());
  }
  if (Timeout <= Duration::zero()) {
    logEvent(LogEvent::JobOutcomeUnknown, {{"job", Of->Job_}});
    return Of->Respond_(makeUnknown());
  }
  Store_.commit(
      Insert, Timeout, [this, Of, Insert](const CommitResult &Outcome) {
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          Accepted_(Insert.Writes_.front());
          [[fallthrough]];
        case CommitOutcome::Conflict:
          logEvent(
              LogEvent::JobAccepted,
              {{"job", Of->Job_},
               {"queue", Of->Queue_.Name_},
               {"repeat", Outcome.Outcome_ == CommitOutcome::Conflict ? 1 : 0},
               {"took_ms", (SchedulerClock::now() - Of->ArrivedAt_) /
                               std::chrono::milliseconds(1)}});
          return Of->Respond_(makeAnswer(200));
        case CommitOutcome::Refused:
          // An earlier insert of this exchange may still take effect.
          if (Of->MayBeStored_) {
            logEvent(LogEvent::JobOutcomeUnknown, {{"job", Of->Job_}});
            return Of->Respond_(makeUnknown());
          }
          logEvent(LogEvent::JobRefused,
                   {{"job", Of->Job_}, {"problem", "store refuses calls"}});
          return Of->Respond_(makeRefusal());
        case CommitOutcome::Unknown:
          Of->MayBeStored_ = true;
          // A store that resets connections would be called without a pause.
          return Loop_.after(RetryPause,
                             [this, Of, Insert] { insert(Of, Insert); });
        }
      });
}

void Callers::readState(const ExchangePtr &Of) {
  if (std::optional<JobState> Final = Cache_.finalState(Of->Job_))
    return Of->Respond_(makeAnswer(200, platform::encodeJobState(*Final)));
  Store_.read(onlyRow(progressKey(Of->Job_)), timeLeft(*Of),
              [this, Of](const Result<RowPage> &Page) {
                if (!Page)
                  return Of->Respond_(makeRefusal());
                if (Page->Rows_.empty())
                  return readAcceptance(Of, [Of](const Row *Accepted) {
                    Of->Respond_(Accepted
                                     ? makeAnswer(200, platform::encodeJobState(
                                                           JobState::Queued))
                                     : makeAnswer(410));
                  });
                Result<scheduling::JobProgress> Progress =
                    scheduling::decodeProgress(Page->Rows_.front().Value_);
                if (!Progress)
                  return Of->Respond_(makeRefusal());
                if (isFinal(Progress->State_))
                  Cache_.rememberFinal(Of->Job_, Progress->State_);
                Of->Respond_(makeAnswer(
                    200, platform::encodeJobState(Progress->State_)));
              });
}

void Callers::readAcceptance(const ExchangePtr &Of,
                             AcceptanceCallback Callback) {
  Store_.read(
      onlyRow(jobKey(Of->Job_)), timeLeft(*Of),
      [Of, Callback = std::move(Callback)](const Result<RowPage> &Page) {
        if (!Page)
          return Of->Respond_(makeRefusal());
        Callback(Page->Rows_.empty() ? nullptr : &Page->Rows_.front());
      });
}

void Callers::cancel(const ExchangePtr &Of) {
  readAcceptance(Of, [this, Of](const Row *Accepted) {
    if (!Accepted)
      return Of->Respond_(makeAnswer(410));
    storeCancel(Of, Accepted->Version_);
  });
}

void Callers::storeCancel(const ExchangePtr &Of, std::uint64_t Version) {
  Duration Timeout = timeLeft(*Of);
  if (Timeout <= Duration::zero())
    return Of->Respond_(makeUnknown());
  RowTransaction Cancel;
  Cancel.Conditions_.push_back({jobKey(Of->Job_), Version});
  Row New;
  New.Key_ = cancelKey(Of->Job_);
  New.Value_ = "{}";
  Cancel.Writes_.push_back(New);
  Store_.commit(
      Cancel, Timeout, [this, Of, Version, New](const CommitResult &Outcome) {
        switch (Outcome.Outcome_) {
        case CommitOutcome::Committed:
          logEvent(LogEvent::StopRequested, {{"job", Of->Job_}});
          Accepted_(New);
          return Of->Respond_(makeAnswer(200));
        case CommitOutcome::Conflict:
          // Only removal changes an acceptance.
          return Of->Respond_(makeAnswer(410));
        case CommitOutcome::Refused:
          return Of->Respond_(makeRefusal());
        case CommitOutcome::Unknown:
          return Loop_.after(RetryPause,
                             [this, Of, Version] { storeCancel(Of, Version); });
        }
      });
}

void Callers::answerPending(const ExchangePtr &Of) {
  std::optional<std::uint64_t> Pending = Cells_.pending(Of->Queue_.Name_);
  Of->Respond_(Pending ? makeAnswer(200, platform::encodePendingCount(*Pending))
                       : makeRefusal());
}

} // namespace filbertspring::node
