#include "worker_relay.h"

#include "filbertspring/base/log.h"

#include <iterator>
#include <utility>

namespace filbertspring::node {
namespace {

/// Answers within this time are sent together. Shorter than the owner's
/// interval between transactions, which every new start waits for.
constexpr Duration AnswerDelay = std::chrono::milliseconds(20);
/// The timeout of a batch of answers.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(600);
/// The maximum number of calls without an answer, which bounds the memory of a
/// relay that does not reach its workers.
constexpr std::size_t MaxCallsInFlight = 4000;
/// The maximum number of requests with answers that the owner has not taken.
/// Answers for an owner that is late are sent in fewer and larger requests;
/// they would time out in a queue. More than one, so that a connection that has
/// failed does not delay all answers.
constexpr std::size_t MaxOpenPosts = 2;

/// Removes from \p Answers what one batch holds.
std::vector<RelayedWorkerAnswer>
takeBatch(std::vector<RelayedWorkerAnswer> &Answers) {
  std::size_t Bytes = 0;
  auto End = Answers.begin();
  while (End != Answers.end() && Bytes < MaxBatchBytes) {
    Bytes += End->Answer_ ? End->Answer_->Body_.size() : 0;
    ++End;
  }
  std::vector<RelayedWorkerAnswer> Batch(
      std::make_move_iterator(Answers.begin()), std::make_move_iterator(End));
  Answers.erase(Answers.begin(), End);
  return Batch;
}

} // namespace

WorkerRelay::WorkerRelay(EventLoop &Loop, CounterRegistry &Counters,
                         std::string Process)
    : Loop_(Loop), Counters_(Counters), Process_(std::move(Process)),
      Workers_(Loop), OwnerClient_(Loop, {}) {}

void WorkerRelay::addClock(HttpAnswer &Answer) const {
  Answer.Headers_.push_back({RelayProcessHeader, Process_});
  Answer.Headers_.push_back(
      {RelayClockHeader,
       std::to_string(SchedulerClock::now().time_since_epoch().count())});
}

void WorkerRelay::handle(const HttpRequest &Request,
                         const HttpResponder &Respond) {
  HttpAnswer Answer;
  Result<WorkerCallBatch> Batch = decodeWorkerCalls(Request.Body_);
  if (!Batch) {
    logEvent(LogEvent::PeerMessageRejected, {{"path", Request.Path_}});
    Answer.Status_ = 400;
  } else if (IsStopping_ || CallsInFlight_ > MaxCallsInFlight) {
    Answer.Status_ = 503;
  } else if (Batch->RelayProcess_ != Process_) {
    Answer.Status_ = OtherRelayProcessStatus;
    addClock(Answer);
  }
  if (Answer.Status_ != 200)
    return Respond(std::move(Answer));
  Receiver Owner(Batch->OwnerAddress_, Batch->OwnerToken_);
  OpenBatches_[Owner].push_back([this, Respond](HttpAnswer BatchAnswer) {
    addClock(BatchAnswer);
    Respond(std::move(BatchAnswer));
  });
  requestFlush();
  for (const RelayedWorkerCall &Call : Batch->Calls_)
    makeCall(Owner, Call);
}

void WorkerRelay::makeCall(const Receiver &Owner,
                           const RelayedWorkerCall &Call) {
  ++CallsInFlight_;
  Counters_.counter("worker_calls_for_owner_total").add();
  Workers_.send(Call.Address_, Call.Request_, Call.Limits_,
                [this, Owner, Id = Call.Id_](Result<HttpAnswer> Answer) {
                  --CallsInFlight_;
                  addAnswer(Owner, {Id, std::move(Answer)});
                });
}

void WorkerRelay::addAnswer(const Receiver &Owner, RelayedWorkerAnswer Answer) {
  Answers_[Owner].push_back(std::move(Answer));
  ++UnsentAnswers_;
  requestFlush();
}

void WorkerRelay::requestFlush() {
  if (std::exchange(IsFlushRequested_, true))
    return;
  Loop_.after(AnswerDelay, [this] { flush(); });
}

void WorkerRelay::flush() {
  IsFlushRequested_ = false;
  UnsentAnswers_ = 0;
  for (auto &[Owner, Answers] : Answers_) {
    sendAnswers(Owner, Answers);
    UnsentAnswers_ += Answers.size();
  }
  std::erase_if(Answers_,
                [](const auto &Entry) { return Entry.second.empty(); });
  for (auto &[Owner, Batches] : std::exchange(OpenBatches_, {}))
    for (const HttpResponder &Respond : Batches)
      Respond({});
}

void WorkerRelay::sendAnswers(const Receiver &Owner,
                              std::vector<RelayedWorkerAnswer> &Answers) {
  std::vector<HttpResponder> &Batches = OpenBatches_[Owner];
  while (!Answers.empty()) {
    if (Batches.empty() && OpenPosts_[Owner] >= MaxOpenPosts)
      return;
    std::string Body = encodeWorkerAnswers({Owner.second, takeBatch(Answers)});
    if (Batches.empty()) {
      post(Owner, std::move(Body));
      continue;
    }
    HttpAnswer Answer;
    Answer.Body_ = std::move(Body);
    Batches.back()(std::move(Answer));
    Batches.pop_back();
  }
}

void WorkerRelay::post(const Receiver &Owner, std::string Body) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = WorkerAnswersPath;
  Request.Body_ = std::move(Body);
  // The owner takes calls without an answer for calls that may have been
  // executed.
  ++OpenPosts_[Owner];
  OwnerClient_.send(Owner.first, Request, AnswerTimeout,
                    [this, Owner](const Result<HttpAnswer> &Outcome) {
                      if (!Outcome || Outcome->Status_ != 200)
                        Counters_.counter("worker_answers_lost_total").add();
                      auto Open = OpenPosts_.find(Owner);
                      if (--Open->second == 0)
                        OpenPosts_.erase(Open);
                      if (Answers_.contains(Owner))
                        requestFlush();
                    });
}

} // namespace filbertspring::node
