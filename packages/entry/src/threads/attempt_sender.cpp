#include "attempt_sender.h"

#include <charconv>

namespace filbertspring {
namespace {

using routing::AttemptResult;

/// Maximum number of idle connections kept open to each endpoint.
constexpr std::size_t MaxIdleConnections = 16;

std::int64_t parseHeaderNumber(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::optional<routing::ObservedLoad> reportedLoad(const HttpAnswer &Answer) {
  if (Answer.header("x-in-flight").empty())
    return std::nullopt;
  return routing::ObservedLoad{parseHeaderNumber(Answer.header("x-in-flight")),
                               parseHeaderNumber(Answer.header("x-slots")),
                               Answer.header("x-state") == "leaving"};
}

/// Returns the result of an attempt that the endpoint answered.
AttemptResult resultOfAnswer(const HttpAnswer &Answer) {
  bool Refused = Answer.Status_ == 503 && // NOLINT
                 Answer.header("x-outcome") == "not-run";
  if (!Refused)
    return AttemptResult::Completed;
  return Answer.header("x-reason") == "leaving" ? AttemptResult::RefusedLeaving
                                                : AttemptResult::RefusedBusy;
}

AttemptResult resultOfExchange(const ExchangeResult &Exchange, bool TimedOut) {
  switch (Exchange.Outcome_) {
  case ExchangeOutcome::Answered:
    return resultOfAnswer(Exchange.Answer_);
  case ExchangeOutcome::ConnectFailed:
    return AttemptResult::ConnectFailed;
  case ExchangeOutcome::RequestIdMismatch:
    return AttemptResult::RequestIdMismatch;
  case ExchangeOutcome::Lost:
    break;
  }
  return TimedOut ? AttemptResult::TimedOut : AttemptResult::ConnectionLost;
}

} // namespace

AttemptSender::AttemptSender(std::size_t Threads, Duration IdleLimit,
                             PendingRequestTable &PendingRequests,
                             EndCallback OnEnded)
    : PendingRequests_(PendingRequests), OnEnded_(std::move(OnEnded)),
      Pool_(MaxIdleConnections, IdleLimit), Attempts_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

AttemptSender::~AttemptSender() { stop(); }

bool AttemptSender::send(routing::SendAttempt Attempt) {
  return Attempts_.tryPush(std::move(Attempt));
}

void AttemptSender::dropConnections(const Address &Target) {
  Pool_.dropConnections(Target);
}

void AttemptSender::run() {
  while (std::optional<routing::SendAttempt> Attempt = Attempts_.pop())
    OnEnded_(perform(*Attempt));
}

routing::AttemptEnded
AttemptSender::perform(const routing::SendAttempt &Attempt) {
  routing::AttemptEnded EndEvent;
  EndEvent.Ticket_ = Attempt.Ticket_;
  EndEvent.Attempt_ = Attempt.Attempt_;
  EndEvent.Endpoint_ = Attempt.Endpoint_;
  EndEvent.Result_ = AttemptResult::ConnectFailed;
  std::shared_ptr<PendingRequest> Pending =
      PendingRequests_.find(Attempt.Ticket_);
  if (!Pending)
    return EndEvent; // The caller already has an answer; nothing was sent.

  TimePoint SentAt = SchedulerClock::now();
  RequestId Request(std::string(Pending->Outgoing_.header("x-request-id")));
  ExchangeResult Exchange =
      Pool_.exchange(Attempt.Address_, Pending->Outgoing_,
                     {Request, Attempt.Timeout_, Attempt.FreshConnection_});
  EndEvent.Elapsed_ = SchedulerClock::now() - SentAt;
  EndEvent.Result_ =
      resultOfExchange(Exchange, EndEvent.Elapsed_ >= Attempt.Timeout_);
  EndEvent.Load_ = reportedLoad(Exchange.Answer_);
  if (EndEvent.Result_ == AttemptResult::Completed) {
    Exchange.Answer_.Headers_.push_back({"x-zone", Attempt.Zone_.str()});
    Exchange.Answer_.Headers_.push_back(
        {"x-endpoint", Attempt.Endpoint_.str()});
    PendingRequests_.storeReceived(Attempt.Ticket_, Attempt.Attempt_,
                                   std::move(Exchange.Answer_));
  }
  return EndEvent;
}

void AttemptSender::stop() {
  Attempts_.close();
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

} // namespace filbertspring
