#include "exchange_desk.h"

#include <charconv>

namespace filbertspring {
namespace {

using routing::AttemptResult;

/// Idle connections kept to each endpoint.
constexpr std::size_t MaxIdleConnections = 16;

std::int64_t toNumber(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::optional<routing::ObservedLoad> loadOf(const HttpAnswer &Answer) {
  if (Answer.header("x-in-flight").empty())
    return std::nullopt;
  return routing::ObservedLoad{toNumber(Answer.header("x-in-flight")),
                               toNumber(Answer.header("x-slots")),
                               Answer.header("x-state") == "leaving"};
}

/// Returns what the endpoint itself said about the request.
AttemptResult answeredResult(const HttpAnswer &Answer) {
  bool Refused = Answer.Status_ == 503 && // NOLINT
                 Answer.header("x-outcome") == "not-run";
  if (!Refused)
    return AttemptResult::Completed;
  return Answer.header("x-reason") == "leaving" ? AttemptResult::RefusedLeaving
                                                : AttemptResult::RefusedBusy;
}

AttemptResult resultOf(const ExchangeResult &Exchange, bool TimedOut) {
  switch (Exchange.Outcome_) {
  case ExchangeOutcome::Answered:
    return answeredResult(Exchange.Answer_);
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

ExchangeDesk::ExchangeDesk(std::size_t Threads, Duration IdleLimit,
                           TicketDesk &Tickets, Ended OnEnded)
    : Tickets_(Tickets), OnEnded_(std::move(OnEnded)),
      Pool_(MaxIdleConnections, IdleLimit), Attempts_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

ExchangeDesk::~ExchangeDesk() { stop(); }

bool ExchangeDesk::send(routing::SendAttempt Attempt) {
  return Attempts_.tryPush(std::move(Attempt));
}

void ExchangeDesk::dropConnections(const Address &Target) {
  Pool_.dropConnections(Target);
}

void ExchangeDesk::run() {
  while (std::optional<routing::SendAttempt> Attempt = Attempts_.pop())
    OnEnded_(perform(*Attempt));
}

routing::AttemptEnded
ExchangeDesk::perform(const routing::SendAttempt &Attempt) {
  routing::AttemptEnded Ended;
  Ended.Ticket_ = Attempt.Ticket_;
  Ended.Attempt_ = Attempt.Attempt_;
  Ended.Endpoint_ = Attempt.Endpoint_;
  Ended.Result_ = AttemptResult::ConnectFailed;
  std::shared_ptr<Ticket> Held = Tickets_.find(Attempt.Ticket_);
  if (!Held)
    return Ended; // Its caller was answered; nothing was sent.

  TimePoint SentAt = SchedulerClock::now();
  RequestId Request(std::string(Held->Outgoing_.header("x-request-id")));
  ExchangeResult Exchange =
      Pool_.exchange(Attempt.Address_, Held->Outgoing_,
                     {Request, Attempt.Timeout_, Attempt.FreshConnection_});
  Ended.Elapsed_ = SchedulerClock::now() - SentAt;
  Ended.Result_ = resultOf(Exchange, Ended.Elapsed_ >= Attempt.Timeout_);
  Ended.Load_ = loadOf(Exchange.Answer_);
  if (Ended.Result_ == AttemptResult::Completed) {
    Exchange.Answer_.Headers_.push_back({"x-zone", Attempt.Zone_.str()});
    Exchange.Answer_.Headers_.push_back(
        {"x-endpoint", Attempt.Endpoint_.str()});
    Tickets_.storeReceived(Attempt.Ticket_, Attempt.Attempt_,
                           std::move(Exchange.Answer_));
  }
  return Ended;
}

void ExchangeDesk::stop() {
  Attempts_.close();
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
