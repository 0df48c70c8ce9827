#include "../refusal.h"
#include "handlers.h"
#include "json_answer.h"
#include "request_keys.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace filbertspring {
namespace {

constexpr std::size_t MaxIdentifierLength = 128;
/// How long a call waits beyond the deadline of its request for the router's
/// decision.
constexpr Duration DecisionGrace = std::chrono::seconds(2);

/// The validated headers and contract terms of a request.
struct CallerRequest {
  RequestId Id_;
  ContractName Contract_;
  ServiceName Service_;
  Duration Deadline_{};
  bool Idempotent_ = true;
  IdempotencyKey Key_;
  Duration LatencyTarget_{};
};

bool isIdentifier(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxIdentifierLength &&
         std::ranges::all_of(Text, [](char Character) {
           return Character > ' ' && Character < '\x7f' && Character != '/';
         });
}

std::optional<std::int64_t> toNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::optional<Refusal> readDeadline(const HttpRequest &Request,
                                    const ServiceTerms &Terms,
                                    CallerRequest &Target) {
  Target.Deadline_ = Terms.Deadline_;
  std::string_view Text = Request.header("x-deadline-ms");
  if (Text.empty())
    return std::nullopt;
  std::optional<std::int64_t> Value = toNumber(Text);
  if (!Value || *Value <= 0)
    return Refusal::InvalidDeadline;
  std::int64_t Limit =
      std::chrono::ceil<std::chrono::milliseconds>(Terms.Deadline_).count();
  Target.Deadline_ = std::chrono::milliseconds(std::min(*Value, Limit));
  return std::nullopt;
}

std::optional<Refusal> readIdempotency(const HttpRequest &Request,
                                       const ServiceTerms &Terms,
                                       CallerRequest &Target) {
  std::string_view Text = Request.header("x-idempotent");
  if (!Text.empty() && Text != "true" && Text != "false")
    return Refusal::InvalidIdempotency;
  Target.Idempotent_ = Text.empty() ? Terms.Idempotent_ : Text == "true";
  if (Target.Idempotent_)
    return std::nullopt;
  std::string_view Key = Request.header("x-idempotency-key");
  if (!isIdentifier(Key))
    return Refusal::KeyMissing;
  Target.Key_ = IdempotencyKey(std::string(Key));
  return std::nullopt;
}

HttpRequest makeExecutorRequest(const HttpRequest &Request,
                                const CallerRequest &Caller) {
  HttpRequest Outgoing;
  Outgoing.Method_ = "POST";
  Outgoing.Path_ = "/run";
  Outgoing.Body_ = Request.Body_;
  auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(Caller.Deadline_);
  Outgoing.Headers_ = {{"x-request-id", Caller.Id_.str()},
                       {"x-contract", Caller.Contract_.str()},
                       {"x-service", Caller.Service_.str()},
                       {"x-idempotent", Caller.Idempotent_ ? "true" : "false"},
                       {"x-deadline-ms", std::to_string(Milliseconds.count())},
                       {"content-type", "application/octet-stream"}};
  return Outgoing;
}

HttpAnswer notRunAnswer(const CallerRequest &Caller,
                        const RequestDecision &Decision) {
  const routing::NotRunRow &Row = routing::notRunRow(Decision.Reason_);
  HttpAnswer Answer = jsonAnswer(
      Row.HttpStatus_, {{"outcome", "not-run"}, {"reason", Row.Name_}});
  auto RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(Decision.RetryAfter_);
  Answer.Headers_ = {{"x-request-id", Caller.Id_.str()},
                     {"x-outcome", "not-run"},
                     {"x-reason", std::string(Row.Name_)},
                     {"retry-after-ms", std::to_string(RetryAfter.count())}};
  return Answer;
}

HttpAnswer unknownAnswer(const CallerRequest &Caller, const char *Reason) {
  HttpAnswer Answer = jsonAnswer(routing::UnknownHttpStatus,
                                 {{"outcome", "unknown"}, {"reason", Reason}});
  Answer.Headers_ = {{"x-request-id", Caller.Id_.str()},
                     {"x-outcome", "unknown"},
                     {"x-reason", Reason}};
  return Answer;
}

HttpAnswer completedAnswer(const CallerRequest &Caller, HttpAnswer Received) {
  HttpAnswer Answer;
  Answer.Status_ = Received.Status_;
  Answer.ContentType_ = Received.ContentType_;
  Answer.Headers_ = {{"x-request-id", Caller.Id_.str()},
                     {"x-outcome", "completed"}};
  for (const char *Name : {"x-zone", "x-endpoint"})
    Answer.Headers_.push_back({Name, std::string(Received.header(Name))});
  Answer.Body_ = std::move(Received.Body_);
  return Answer;
}

HttpAnswer storedAnswer(const CallerRequest &Caller,
                        const RequestKeyRecord &Stored) {
  HttpAnswer Answer;
  Answer.Status_ = Stored.AnswerStatus_;
  Answer.Headers_ = {{"x-request-id", Caller.Id_.str()},
                     {"x-outcome", "completed"},
                     {"x-repeated", "true"}};
  Answer.Body_ = Stored.AnswerBody_;
  return Answer;
}

BurnCause notRunBurnCause(routing::NotRunReason Reason) {
  switch (Reason) {
  case routing::NotRunReason::NoEndpoint:
  case routing::NotRunReason::EndpointsBusy:
  case routing::NotRunReason::EndpointsUnreachable:
    return BurnCause::NoEndpoint;
  default:
    return BurnCause::Shed;
  }
}

std::optional<BurnCause>
burnCause(const CallerRequest &Caller,
          const std::optional<RequestDecision> &Decision, Duration Elapsed) {
  if (!Decision || Decision->Outcome_ == routing::RequestOutcome::Unknown)
    return BurnCause::OutcomeUnknown;
  if (Decision->Outcome_ == routing::RequestOutcome::NotRun)
    return notRunBurnCause(Decision->Reason_);
  if (Decision->Completed_.Status_ >= 500) // NOLINT
    return BurnCause::EndpointFailed;
  if (Elapsed > Caller.LatencyTarget_)
    return BurnCause::Slow;
  return std::nullopt;
}

/// Returns true if the caller is responsible for the outcome. Such outcomes do
/// not count against the error budget of the service.
bool isCallerError(const std::optional<RequestDecision> &Decision) {
  if (!Decision || Decision->Outcome_ != routing::RequestOutcome::NotRun)
    return false;
  return Decision->Reason_ == routing::NotRunReason::RateLimited ||
         Decision->Reason_ == routing::NotRunReason::UnknownContract ||
         Decision->Reason_ == routing::NotRunReason::UnknownService;
}

void recordOutcome(ApiContext &Context, const CallerRequest &Caller,
                   const std::optional<RequestDecision> &Decision,
                   Duration Elapsed) {
  std::string_view Outcome =
      Decision ? nameOf(routing::RequestOutcomeNames, Decision->Outcome_)
               : "unknown";
  std::string Labels =
      fmt::format("contract=\"{}\",service=\"{}\",outcome=\"{}\"",
                  Caller.Contract_.str(), Caller.Service_.str(), Outcome);
  Context.Counters_.counter("filbertspring_requests_total", Labels).add();
  Context.Counters_.observe("filbertspring_request_seconds", Elapsed, Labels);
  if (!isCallerError(Decision))
    Context.BurnRecorder_.count({Caller.Contract_, Caller.Service_,
                                 Context.Settings_.Zone_,
                                 burnCause(Caller, Decision, Elapsed)});
}

/// Passes the request to the router and waits for its decision. Returns
/// std::nullopt if the queue of the router is full, and an empty decision if
/// the router does not decide in time.
std::optional<std::optional<RequestDecision>>
route(ApiContext &Context, const CallerRequest &Caller, HttpRequest Outgoing) {
  TimePoint ArrivedAt = SchedulerClock::now();
  std::uint64_t Number = Context.PendingRequests_.open(std::move(Outgoing));
  std::shared_ptr<PendingRequest> Pending =
      Context.PendingRequests_.find(Number);
  bool Accepted = Context.Routing_.post(routing::RequestArrived{
      Number, Caller.Id_, Caller.Contract_, Caller.Service_,
      ArrivedAt + Caller.Deadline_, Caller.Idempotent_});
  if (!Accepted) {
    Context.PendingRequests_.close(Number);
    return std::nullopt;
  }
  std::optional<RequestDecision> Decision = PendingRequestTable::wait(
      *Pending, ArrivedAt + Caller.Deadline_ + DecisionGrace);
  Context.PendingRequests_.close(Number);
  recordOutcome(Context, Caller, Decision, SchedulerClock::now() - ArrivedAt);
  return Decision;
}

HttpAnswer toAnswer(const CallerRequest &Caller,
                    std::optional<RequestDecision> Decision) {
  if (!Decision)
    return unknownAnswer(Caller, "no-decision");
  switch (Decision->Outcome_) {
  case routing::RequestOutcome::Completed:
    return completedAnswer(Caller, std::move(Decision->Completed_));
  case routing::RequestOutcome::NotRun:
    return notRunAnswer(Caller, *Decision);
  case routing::RequestOutcome::Unknown:
    break;
  }
  logEvent(
      LogEvent::RequestOutcomeUnknown,
      {{"request", Caller.Id_.str()}, {"contract", Caller.Contract_.str()}});
  return unknownAnswer(Caller, "answer-lost");
}

HttpAnswer answerIdempotent(ApiContext &Context, const CallerRequest &Caller,
                            HttpRequest Outgoing) {
  auto Decision = route(Context, Caller, std::move(Outgoing));
  if (!Decision)
    return refuse(Refusal::TooBusy, Caller.Id_.str());
  return toAnswer(Caller, std::move(*Decision));
}

HttpAnswer answerAcquired(ApiContext &Context, const CallerRequest &Caller,
                          HttpRequest Outgoing, const KeyAcquired &Acquired) {
  auto Decision = route(Context, Caller, std::move(Outgoing));
  if (!Decision) {
    releaseKey(Context.Table_, Context.Names_, Acquired);
    return refuse(Refusal::TooBusy, Caller.Id_.str());
  }
  bool NotRun =
      *Decision && (*Decision)->Outcome_ == routing::RequestOutcome::NotRun;
  bool Completed =
      *Decision && (*Decision)->Outcome_ == routing::RequestOutcome::Completed;
  if (NotRun)
    releaseKey(Context.Table_, Context.Names_, Acquired);
  if (Completed)
    completeKey(Context.Table_, Context.Names_, Acquired,
                (*Decision)->Completed_);
  return toAnswer(Caller, std::move(*Decision));
}

HttpAnswer answerNonIdempotent(ApiContext &Context, const CallerRequest &Caller,
                               HttpRequest Outgoing) {
  RequestKeyRecord Wanted;
  Wanted.Contract_ = Caller.Contract_;
  Wanted.Key_ = Caller.Key_;
  Wanted.Request_ = Caller.Id_;
  Wanted.Instance_ = Context.Settings_.Instance_;
  Wanted.BodyDigest_ = bodyDigest(Outgoing.Body_);
  Wanted.WrittenMs_ = wallMilliseconds();
  KeyClaim Claim = claimKey(Context.Table_, Context.Names_, Wanted);
  return std::visit(
      Overloaded{[&](const KeyAcquired &Acquired) {
                   return answerAcquired(Context, Caller, std::move(Outgoing),
                                         Acquired);
                 },
                 [&](const KeyCompleted &Repeated) {
                   return storedAnswer(Caller, Repeated.Record_);
                 },
                 [&](const KeyOutcomeUnknown &) {
                   return unknownAnswer(Caller, "repeat-of-unsettled");
                 },
                 [&](const KeyBodyMismatch &) {
                   return refuse(Refusal::KeyReused, Caller.Id_.str());
                 },
                 [&](const KeyUnavailable &) {
                   return refuse(Refusal::PlatformUnavailable,
                                 Caller.Id_.str());
                 }},
      Claim);
}

HttpAnswer notRunBeforeRouting(const CallerRequest &Caller,
                               routing::NotRunReason Reason) {
  RequestDecision Decision;
  Decision.Outcome_ = routing::RequestOutcome::NotRun;
  Decision.Reason_ = Reason;
  return notRunAnswer(Caller, Decision);
}

} // namespace

HttpAnswer answerRequest(ApiContext &Context, const HttpRequest &Request,
                         const PathParts &Path) {
  constexpr std::size_t PathDepth = 2;
  if (Path.size() != PathDepth || Request.Method_ != "POST")
    return errorAnswer(404, "use POST /v1/requests/CONTRACT/SERVICE");
  CallerRequest Caller;
  std::string_view GivenId = Request.header("x-request-id");
  if (!GivenId.empty() && !isIdentifier(GivenId))
    return refuse(Refusal::InvalidIdentifier, "invalid");
  Caller.Id_ = RequestId(GivenId.empty() ? Context.Names_.next("request")
                                         : std::string(GivenId));
  Caller.Contract_ = ContractName(Path[0]);
  Caller.Service_ = ServiceName(Path[1]);

  std::shared_ptr<const EntrySnapshot> Snapshot = Context.Snapshots_.current();
  if (!Snapshot->Configured_)
    return refuse(Refusal::NotReady, Caller.Id_.str());
  const Contract *Terms = Snapshot->findContract(Caller.Contract_);
  if (Terms == nullptr)
    return notRunBeforeRouting(Caller, routing::NotRunReason::UnknownContract);
  const ServiceTerms *Service = Terms->findService(Caller.Service_);
  if (Service == nullptr)
    return notRunBeforeRouting(Caller, routing::NotRunReason::UnknownService);
  Caller.LatencyTarget_ = Service->LatencyTarget_;
  if (auto Reason = readDeadline(Request, *Service, Caller))
    return refuse(*Reason, Caller.Id_.str());
  if (auto Reason = readIdempotency(Request, *Service, Caller))
    return refuse(*Reason, Caller.Id_.str());

  Context.Demand_.recordArrival(Caller.Contract_, Caller.Service_);
  HttpRequest Outgoing = makeExecutorRequest(Request, Caller);
  HttpAnswer Answer =
      Caller.Idempotent_
          ? answerIdempotent(Context, Caller, std::move(Outgoing))
          : answerNonIdempotent(Context, Caller, std::move(Outgoing));
  Context.Demand_.recordEnd(Caller.Contract_, Caller.Service_);
  return Answer;
}

} // namespace filbertspring
