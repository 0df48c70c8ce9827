#include "worker_relay.h"

#include "filbertspring/base/log.h"

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
} // namespace

WorkerRelay::WorkerRelay(EventLoop &Loop, CounterRegistry &Counters)
    : Loop_(Loop), Counters_(Counters), Workers_(Loop), OwnerClient_(Loop, {}) {
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
  }
  if (Answer.Status_ != 200)
    return Respond(std::move(Answer));
  Receiver Owner(Batch->OwnerAddress_, Batch->OwnerToken_);
  OpenBatches_[Owner].push_back(Respond);
  requestFlush();
  for (const RelayedWorkerCall &Call : Batch->Calls_)
    makeCall(Owner, Call);
}

void WorkerRelay::makeCall(const Receiver &Owner,
                           const RelayedWorkerCall &Call) {
  ++CallsInFlight_;
  Counters_.counter("worker_calls_for_owner_total").add();
  Workers_.send(Call.Address_, Call.Request_, Call.Timeout_,
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
  for (auto &[Owner, Answers] : std::exchange(Answers_, {})) {
    std::vector<RelayedWorkerAnswer> Part;
    std::size_t Bytes = 0;
    for (RelayedWorkerAnswer &Entry : Answers) {
      Bytes += Entry.Answer_ ? Entry.Answer_->Body_.size() : 0;
      Part.push_back(std::move(Entry));
      if (Bytes < MaxBatchBytes)
        continue;
      send(Owner, std::exchange(Part, {}));
      Bytes = 0;
    }
    if (!Part.empty())
      send(Owner, std::move(Part));
  }
  for (auto &[Owner, Batches] : std::exchange(OpenBatches_, {}))
    for (const HttpResponder &Respond : Batches)
      Respond({});
}

void WorkerRelay::send(const Receiver &Owner,
                       std::vector<RelayedWorkerAnswer> Answers) {
  std::string Body = encodeWorkerAnswers({Owner.second, std::move(Answers)});
  std::vector<HttpResponder> &Batches = OpenBatches_[Owner];
  if (!Batches.empty()) {
    HttpAnswer Answer;
    Answer.Body_ = std::move(Body);
    Batches.back()(std::move(Answer));
    return Batches.pop_back();
  }
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = WorkerAnswersPath;
  Request.Body_ = std::move(Body);
  // The owner takes calls without an answer for calls that may have been
  // executed.
  OwnerClient_.send(Owner.first, Request, AnswerTimeout,
                    [this](const Result<HttpAnswer> &Outcome) {
                      if (!Outcome || Outcome->Status_ != 200)
                        Counters_.counter("worker_answers_lost_total").add();
                    });
}

} // namespace filbertspring::node
