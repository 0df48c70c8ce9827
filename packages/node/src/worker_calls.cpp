#include "worker_calls.h"

#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"
#include "platform/worker_codec.h"

namespace filbertspring::node {
namespace {

using scheduling::CallOutcome;
using scheduling::WorkerReport;

CallOutcome callOutcome(const Result<HttpAnswer> &Answer) {
  if (Answer)
    return platform::decodeCallOutcome(*Answer);
  if (Answer.error() == Errc::DeadlineExceeded)
    return CallOutcome::Expired;
  return Answer.error() == Errc::ConnectFailed ? CallOutcome::NotSent
                                               : CallOutcome::NoAnswer;
}

/// Names of the outcomes in log lines.
constexpr EnumTable<CallOutcome, 11> OutcomeNames{{
    {CallOutcome::Accepted, "accepted"},
    {CallOutcome::RejectedStaleToken, "fenced"},
    {CallOutcome::RejectedOldRun, "old_run"},
    {CallOutcome::RejectedPastDeadline, "late"},
    {CallOutcome::RejectedNoCapacity, "no_room"},
    {CallOutcome::RejectedOther, "rejected"},
    {CallOutcome::Unhealthy, "unhealthy"},
    {CallOutcome::OtherInstance, "other_instance"},
    {CallOutcome::NotSent, "not_sent"},
    {CallOutcome::Expired, "expired"},
    {CallOutcome::NoAnswer, "no_answer"},
}};

} // namespace

WorkerCalls::WorkerCalls(EventLoop &Loop, CounterRegistry &Counters,
                         scheduling::Scheduler &Scheduler,
                         std::string OwnAddress, std::uint64_t OwnerToken,
                         std::function<void()> OutcomeReported)
    : Counters_(Counters), Scheduler_(Scheduler),
      OutcomeReported_(std::move(OutcomeReported)),
      Channel_(Loop, Counters, std::move(OwnAddress), OwnerToken),
      IsAlive_(std::make_shared<bool>(true)) {}

WorkerCalls::~WorkerCalls() { *IsAlive_ = false; }

void WorkerCalls::execute(const scheduling::Action &Requested,
                          const scheduling::CommandLimits &Limits) {
  TimePoint SendBefore = scheduling::sendingLimit(Requested, Limits);
  std::visit(
      Overloaded{
          [&](const scheduling::RenewLease &Renewal) {
            renew(Renewal, SendBefore);
          },
          [&](const scheduling::StartTask &Start) { start(Start, SendBefore); },
          [&](const scheduling::StopTask &Stop) { stop(Stop, SendBefore); },
          [&](const scheduling::PaceTask &Pace) { pace(Pace, SendBefore); },
      },
      Requested);
}

void WorkerCalls::renew(const scheduling::RenewLease &Renewal,
                        TimePoint SendBefore) {
  Channel_.send(
      Renewal.Address_, platform::makeRenewalRequest(Renewal),
      CallLimits{WorkerCallTimeout + Renewal.Wait_, SendBefore},
      [this, IsAlive = IsAlive_, Renewal](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive)
          return;
        TimePoint Now = SchedulerClock::now();
        CallOutcome Outcome = callOutcome(Answer);
        Counters_.counter("worker_reports_total").add();
        if (Outcome != CallOutcome::Accepted) {
          Scheduler_.renewalFailed(Renewal, Outcome, Now);
          return OutcomeReported_();
        }
        Result<WorkerReport> Report = platform::decodeRenewalAnswer(*Answer);
        if (Report && Report->UnreadableEntries_ > 0)
          logEvent(LogEvent::PeerMessageRejected,
                   {{"worker", Renewal.Worker_},
                    {"entries",
                     static_cast<std::int64_t>(Report->UnreadableEntries_)}});
        if (Report)
          Scheduler_.renewalAnswered(Renewal, *Report, Now);
        else
          Scheduler_.renewalFailed(Renewal, CallOutcome::RejectedOther, Now);
        OutcomeReported_();
      },
      CallUrgency::MayWait);
}

void WorkerCalls::start(const scheduling::StartTask &Start,
                        TimePoint SendBefore) {
  TimePoint SentAt = SchedulerClock::now();
  Channel_.send(
      Start.Address_, platform::makeStartRequest(Start),
      CallLimits{WorkerCallTimeout, SendBefore},
      [this, IsAlive = IsAlive_, Worker = Start.Worker_, Name = Start.Name_,
       Run = Start.Run_, Token = Start.Token_, Waited = Start.Waited_,
       Checkpoint = Start.Checkpoint_,
       SentAt](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive)
          return;
        TimePoint Now = SchedulerClock::now();
        CallOutcome Outcome = callOutcome(Answer);
        Counters_.observe("task_start_seconds", Now - SentAt);
        Counters_.observe("task_wait_seconds", Waited);
        std::vector<LogField> Fields = {
            {"task", Name.text()},
            {"run", static_cast<std::int64_t>(Run)},
            {"worker", Worker},
            {"token", static_cast<std::int64_t>(Token)},
            {"waited_ms", Waited / std::chrono::milliseconds(1)},
            {"outcome", nameOf(OutcomeNames, Outcome)}};
        if (!Checkpoint.empty())
          Fields.emplace_back("checkpoint", Checkpoint);
        logEvent(Outcome == CallOutcome::Accepted ? LogEvent::TaskStarted
                                                  : LogEvent::StartRefused,
                 Fields);
        std::optional<std::int64_t> ClockMs;
        if (Answer)
          ClockMs = platform::decodeAnswerClock(*Answer);
        Scheduler_.startAnswered(Worker, Name, Run, Outcome, Now, ClockMs);
        OutcomeReported_();
      });
}

void WorkerCalls::stop(const scheduling::StopTask &Stop, TimePoint SendBefore) {
  Channel_.send(Stop.Address_, platform::makeStopRequest(Stop),
                CallLimits{WorkerCallTimeout, SendBefore},
                [this, IsAlive = IsAlive_, Worker = Stop.Worker_,
                 Name = Stop.Name_,
                 Run = Stop.Run_](const Result<HttpAnswer> &Answer) {
                  if (!*IsAlive)
                    return;
                  CallOutcome Outcome = callOutcome(Answer);
                  logEvent(LogEvent::TaskEvicted,
                           {{"task", Name.text()},
                            {"run", static_cast<std::int64_t>(Run)},
                            {"worker", Worker},
                            {"outcome", nameOf(OutcomeNames, Outcome)}});
                  Scheduler_.stopAnswered(Worker, Name, Run, Outcome,
                                          SchedulerClock::now());
                  OutcomeReported_();
                });
}

void WorkerCalls::pace(const scheduling::PaceTask &Pace, TimePoint SendBefore) {
  Counters_.counter("task_paces_total").add();
  Channel_.send(
      Pace.Address_, platform::makePaceRequest(Pace),
      CallLimits{WorkerCallTimeout, SendBefore},
      [this, IsAlive = IsAlive_, Worker = Pace.Worker_, Name = Pace.Name_,
       Run = Pace.Run_](const Result<HttpAnswer> &Answer) {
        if (!*IsAlive || (Answer && Answer->Status_ == 200))
          return;
        Scheduler_.paceFailed(Worker, Name, Run);
      },
      CallUrgency::MayWait);
}

} // namespace filbertspring::node
