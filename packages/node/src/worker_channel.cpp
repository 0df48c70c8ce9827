#include "worker_channel.h"

#include "filbertspring/base/log.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertspring::node {
namespace {

/// Added to the timeout of a relayed call: two batches and their answers
/// between availability zones.
constexpr Duration RelayMargin = std::chrono::milliseconds(300);
/// The timeout of the transfer of a batch.
constexpr Duration BatchTimeout = std::chrono::milliseconds(400);
/// The timeout for connecting to a relay. Several times the round trip between
/// availability zones.
constexpr Duration BatchConnectTimeout = std::chrono::milliseconds(150);
/// Calls that may wait are relayed at most this often, unless an urgent one is.
/// Each batch costs the owner an exchange, and workers delay the answers to
/// renewals. As long as the owner's interval between transactions, after which
/// starts follow.
constexpr Duration MinBatchInterval = std::chrono::milliseconds(25);
/// How often relayed calls are checked for their timeouts.
constexpr Duration ExpiryInterval = std::chrono::milliseconds(50);

AsyncHttpLimits batchLimits() {
  AsyncHttpLimits Limits;
  Limits.ConnectTimeout_ = BatchConnectTimeout;
  return Limits;
}

} // namespace

WorkerChannel::WorkerChannel(EventLoop &Loop, CounterRegistry &Counters,
                             std::string OwnAddress, std::uint64_t OwnerToken)
    : Loop_(Loop), Counters_(Counters), OwnAddress_(std::move(OwnAddress)),
      OwnerToken_(OwnerToken), Workers_(Loop),
      RelayClient_(Loop, batchLimits()),
      IsAlive_(std::make_shared<bool>(true)) {
  expireCalls();
}

WorkerChannel::~WorkerChannel() { *IsAlive_ = false; }

void WorkerChannel::send(const std::string &Address, const HttpRequest &Request,
                         const CallLimits &Limits, HttpCallback Callback,
                         CallUrgency Urgency) {
  TimePoint Now = SchedulerClock::now();
  std::string Relay = Routes_.relayFor(Address, Now);
  if (!Relay.empty())
    return sendRelayed(Relay, Address, Request, Limits, std::move(Callback),
                       Urgency);
  if (Routes_.isDetoured(Address, Now))
    return sendDetoured(Address, Request, Limits, std::move(Callback));
  Workers_.send(Address, Request, Limits, std::move(Callback));
}

/// Makes a call directly because a relay did not reach the worker.
void WorkerChannel::sendDetoured(const std::string &Address,
                                 const HttpRequest &Request,
                                 const CallLimits &Limits,
                                 HttpCallback Callback) {
  Counters_.counter("worker_calls_detoured_total").add();
  Workers_.send(Address, Request, Limits,
                [this, IsAlive = IsAlive_, Address,
                 Callback = std::move(Callback)](Result<HttpAnswer> Answer) {
                  if (!*IsAlive)
                    return;
                  if (!Answer && Answer.error() != Errc::DeadlineExceeded)
                    Routes_.workerMissedByOwner(Address, SchedulerClock::now());
                  Callback(std::move(Answer));
                });
}

void WorkerChannel::sendRelayed(const std::string &Relay,
                                const std::string &Address,
                                const HttpRequest &Request,
                                const CallLimits &Limits, HttpCallback Callback,
                                CallUrgency Urgency) {
  TimePoint Now = SchedulerClock::now();
  std::uint64_t Id = ++LastId_;
  LoopTime Deadline = Loop_.deadlineAfter(Limits.Timeout_ + RelayMargin);
  Pending_.emplace(Id, PendingCall{Relay, Address, Now, Deadline, Limits,
                                   std::move(Callback)});
  Outbox &Waiting = Outboxes_[Relay];
  Waiting.Calls_.push_back({Id, Address, Request, Limits});
  Waiting.Bytes_ += Request.Body_.size();
  Waiting.IsUrgent_ |= Urgency == CallUrgency::AtOnce;
  Counters_.counter("worker_calls_relayed_total").add();
  if (Waiting.Bytes_ >= MaxBatchBytes)
    sendBatch(Relay, Waiting, Now);
}

void WorkerChannel::flush() {
  TimePoint Now = SchedulerClock::now();
  for (auto &[Relay, Waiting] : Outboxes_) {
    bool IsDue = Waiting.IsUrgent_ || Now - Waiting.SentAt_ >= MinBatchInterval;
    if (IsDue && !Waiting.Calls_.empty())
      sendBatch(Relay, Waiting, Now);
  }
}

void WorkerChannel::sendBatch(const std::string &Relay, Outbox &Waiting,
                              TimePoint Now) {
  const RelayClock &Clock = RelayClocks_[Relay];
  WorkerCallBatch Batch{OwnAddress_, OwnerToken_, Clock.process(),
                        std::move(Waiting.Calls_)};
  for (RelayedWorkerCall &Call : Batch.Calls_)
    Call.Limits_.SendBefore_ = Clock.toRelay(Call.Limits_.SendBefore_);
  Waiting = {};
  Waiting.SentAt_ = Now;
  Counters_.counter("worker_call_batches_total").add();
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = WorkerCallsPath;
  Request.Body_ = encodeWorkerCalls(Batch);
  RelayClient_.send(
      Relay, Request, BatchTimeout,
      [this, IsAlive = IsAlive_, Relay, SentAt = SchedulerClock::now(),
       Sent = std::move(Batch.Calls_)](const Result<HttpAnswer> &Answer) {
        if (*IsAlive)
          handleBatchResult(Relay, SentAt, Sent, Answer);
      });
}

void WorkerChannel::handleBatchResult(
    const std::string &Relay, TimePoint SentAt,
    const std::vector<RelayedWorkerCall> &Calls,
    const Result<HttpAnswer> &Answer) {
  if (Answer)
    noteClock(Relay, *Answer);
  bool IsTaken = Answer && Answer->Status_ == 200;
  if (IsTaken)
    return handleAnswersInBody(Relay, SentAt, Answer->Body_);
  // After the first batch to a process, its clock is known.
  bool IsOtherProcess = Answer && Answer->Status_ == OtherRelayProcessStatus;
  if (!IsOtherProcess)
    noteFailure(Relay, SentAt);
  // The relay may have made the calls; their answers may still arrive.
  if (!Answer && Answer.error() != Errc::ConnectFailed)
    return;
  for (const RelayedWorkerCall &Call : Calls)
    redirect(Call);
}

void WorkerChannel::noteClock(const std::string &Relay,
                              const HttpAnswer &Answer) {
  std::string_view Process = Answer.header(RelayProcessHeader);
  std::string_view Text = Answer.header(RelayClockHeader);
  Duration::rep Microseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Microseconds);
  if (Process.empty() || Text.empty() || Error != std::errc() ||
      End != Text.data() + Text.size())
    return;
  RelayClocks_[Relay].observed(std::string(Process),
                               TimePoint(Duration(Microseconds)),
                               SchedulerClock::now());
}

/// Handles the answers that a relay had when it answered a batch.
void WorkerChannel::handleAnswersInBody(const std::string &Relay,
                                        TimePoint SentAt,
                                        std::string_view Body) {
  if (Body.empty())
    return;
  Result<WorkerAnswerBatch> Batch = decodeWorkerAnswers(Body);
  if (Batch)
    return handleAnswers(std::move(*Batch));
  logEvent(LogEvent::PeerMessageRejected, {{"relay", Relay}});
  noteFailure(Relay, SentAt);
}

void WorkerChannel::redirect(const RelayedWorkerCall &Call) {
  auto It = Pending_.find(Call.Id_);
  if (It == Pending_.end())
    return;
  PendingCall Redirected = std::move(It->second);
  Pending_.erase(It);
  if (Loop_.hasPassed(Redirected.Deadline_))
    return Redirected.Callback_(fail(Errc::ConnectFailed));
  // The time left includes that for a relay. A longer timeout would put a
  // command behind renewals, whose answers workers delay.
  CallLimits Limits = Redirected.Limits_;
  Limits.Timeout_ =
      std::min(Loop_.timeLeft(Redirected.Deadline_), Limits.Timeout_);
  Workers_.send(Call.Address_, Call.Request_, Limits,
                std::move(Redirected.Callback_));
}

void WorkerChannel::handleAnswers(WorkerAnswerBatch Batch) {
  if (Batch.OwnerToken_ != OwnerToken_)
    return;
  TimePoint Now = SchedulerClock::now();
  std::shared_ptr<bool> IsAlive = IsAlive_;
  for (RelayedWorkerAnswer &Entry : Batch.Answers_) {
    auto It = Pending_.find(Entry.Id_);
    // The call has timed out.
    if (It == Pending_.end())
      continue;
    PendingCall Answered = std::move(It->second);
    Pending_.erase(It);
    Routes_.relayAnswered(Answered.Relay_, Now);
    if (Entry.Answer_)
      Routes_.workerAnsweredRelay(Answered.Address_);
    else if (Entry.Answer_.error() != Errc::DeadlineExceeded)
      Routes_.workerMissedByRelay(Answered.Address_, Now);
    Answered.Callback_(std::move(Entry.Answer_));
    if (!*IsAlive)
      return;
  }
}

void WorkerChannel::noteFailure(const std::string &Relay, TimePoint SentAt) {
  if (Routes_.relayFailed(Relay, SentAt, SchedulerClock::now()))
    logEvent(LogEvent::WorkerRelayFailed, {{"relay", Relay}});
}

/// Ends the relayed calls whose time is over.
void WorkerChannel::expireCalls() {
  std::vector<PendingCall> Expired;
  for (auto It = Pending_.begin(); It != Pending_.end();) {
    if (!Loop_.hasPassed(It->second.Deadline_)) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Pending_.erase(It);
  }
  std::shared_ptr<bool> IsAlive = IsAlive_;
  for (PendingCall &Call : Expired) {
    noteFailure(Call.Relay_, Call.SentAt_);
    Call.Callback_(fail(Errc::OutcomeUnknown));
    if (!*IsAlive)
      return;
  }
  Loop_.after(ExpiryInterval, [this, IsAlive] {
    if (*IsAlive)
      expireCalls();
  });
}

} // namespace filbertspring::node
