#include "worker_calls.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"
#include "platform/worker_codec.h"

namespace filbertspring::node {
namespace {

using scheduling::CallOutcome;
using scheduling::WorkerReport;

/// The longest that a worker takes to answer, besides the time that a renewal
/// asks it to wait: many round trips between availability zones.
constexpr Duration CallTimeout = std::chrono::milliseconds(600);

AsyncHttpLimits orderLimits() {
  AsyncHttpLimits Limits;
  Limits.ConnectionsPerAddress_ = 2;
  return Limits;
}

CallOutcome outcomeOf(const Result<HttpAnswer> &Answer) {
  if (Answer)
    return platform::decodeCallOutcome(*Answer);
  return Answer.error() == Errc::ConnectFailed ? CallOutcome::NotSent
                                               : CallOutcome::NoAnswer;
}

constexpr EnumTable<CallOutcome, 10> OutcomeNames{{
    {CallOutcome::Accepted, "accepted"},
    {CallOutcome::RejectedStaleToken, "fenced"},
    {CallOutcome::RejectedOldRun, "old_run"},
    {CallOutcome::RejectedPastDeadline, "late"},
    {CallOutcome::RejectedNoCapacity, "no_room"},
    {CallOutcome::RejectedOther, "rejected"},
    {CallOutcome::Unhealthy, "unhealthy"},
    {CallOutcome::OtherInstance, "other_instance"},
    {CallOutcome::NotSent, "not_sent"},
    {CallOutcome::NoAnswer, "no_answer"},
}};

} // namespace

WorkerCalls::WorkerCalls(EventLoop &Loop, CounterRegistry &Counters,
                         scheduling::Scheduler &Target,
                         std::uint64_t OwnerToken,
                         std::function<void()> Changed)
    : Counters_(Counters), Target_(Target), OwnerToken_(OwnerToken),
      Changed_(std::move(Changed)), Renewals_(Loop, orderLimits()),
      Orders_(Loop, orderLimits()), IsAlive_(std::make_shared<bool>(true)) {}

WorkerCalls::~WorkerCalls() { *IsAlive_ = false; }

void WorkerCalls::carryOut(const scheduling::Action &Decided) {
  std::visit(
      Overloaded{
          [this](const scheduling::RenewLease &Renewal) { renew(Renewal); },
          [this](const scheduling::StartTask &Start) { start(Start); },
          [this](const scheduling::StopTask &Stop) { stop(Stop); },
          [this](const scheduling::PaceTask &Pace) { pace(Pace); },
      },
      Decided);
}

void WorkerCalls::renew(const scheduling::RenewLease &Renewal) {
  Renewals_.send(
      Renewal.Address_, platform::makeRenewalRequest(Renewal, OwnerToken_),
      CallTimeout + Renewal.Wait_,
      [this, IsAlive = IsAlive_,
       Worker = Renewal.Worker_](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive)
          return;
        TimePoint Now = SchedulerClock::now();
        CallOutcome Outcome = outcomeOf(Answer);
        Counters_.counter("worker_reports_total").add();
        if (Outcome != CallOutcome::Accepted) {
          Target_.renewalFailed(Worker, Outcome, Now);
          return Changed_();
        }
        Result<WorkerReport> Report = platform::decodeRenewalAnswer(*Answer);
        if (Report)
          Target_.renewalAnswered(Worker, *Report, Now);
        else
          Target_.renewalFailed(Worker, CallOutcome::RejectedOther, Now);
        Changed_();
      });
}

void WorkerCalls::start(const scheduling::StartTask &Start) {
  TimePoint SentAt = SchedulerClock::now();
  Orders_.send(Start.Address_, platform::makeStartRequest(Start, OwnerToken_),
               CallTimeout,
               [this, IsAlive = IsAlive_, Worker = Start.Worker_,
                Name = Start.Name_, Run = Start.Run_, Waited = Start.Waited_,
                SentAt](const Result<HttpAnswer> &Answer) {
                 if (!*IsAlive)
                   return;
                 TimePoint Now = SchedulerClock::now();
                 CallOutcome Outcome = outcomeOf(Answer);
                 Counters_.observe("task_start_seconds", Now - SentAt);
                 Counters_.observe("task_wait_seconds", Waited);
                 logEvent(Outcome == CallOutcome::Accepted
                              ? LogEvent::TaskStarted
                              : LogEvent::StartRefused,
                          {{"task", Name.text()},
                           {"run", static_cast<std::int64_t>(Run)},
                           {"worker", Worker},
                           {"token", static_cast<std::int64_t>(OwnerToken_)},
                           {"waited_ms", Waited / std::chrono::milliseconds(1)},
                           {"outcome", nameOf(OutcomeNames, Outcome)}});
                 Target_.startAnswered(Worker, Name, Run, Outcome, Now);
                 Changed_();
               });
}

void WorkerCalls::stop(const scheduling::StopTask &Stop) {
  Orders_.send(
      Stop.Address_, platform::makeStopRequest(Stop, OwnerToken_), CallTimeout,
      [this, IsAlive = IsAlive_, Worker = Stop.Worker_, Name = Stop.Name_,
       Run = Stop.Run_](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive)
          return;
        CallOutcome Outcome = outcomeOf(Answer);
        logEvent(LogEvent::TaskEvicted,
                 {{"task", Name.text()},
                  {"run", static_cast<std::int64_t>(Run)},
                  {"worker", Worker},
                  {"outcome", nameOf(OutcomeNames, Outcome)}});
        Target_.stopAnswered(Worker, Name, Run, Outcome, SchedulerClock::now());
        Changed_();
      });
}

void WorkerCalls::pace(const scheduling::PaceTask &Pace) {
  Counters_.counter("task_paces_total").add();
  Orders_.send(
      Pace.Address_, platform::makePaceRequest(Pace, OwnerToken_), CallTimeout,
      [this, IsAlive = IsAlive_, Worker = Pace.Worker_, Name = Pace.Name_,
       Run = Pace.Run_](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive || (Answer && Answer->Status_ == 200))
          return;
        Target_.paceFailed(Worker, Name, Run);
      });
}

} // namespace filbertspring::node
