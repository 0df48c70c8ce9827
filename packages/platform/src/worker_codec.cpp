#include "filbertspring/platform/worker_codec.h"

#include "domain_fields.h"

namespace filbertspring {

inline const auto &namesOf(AttemptState) { return AttemptStateNames; }
inline const auto &namesOf(StartRefusal) { return StartRefusalNames; }

template <typename Archive, ValueOf<AttemptReport> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("state", Value.State_);
  Fields("usage", Value.Usage_);
  Fields("progress", Value.Progress_);
  Fields("checkpoint", Value.Checkpoint_);
  Fields("reason", Value.Reason_);
}

template <typename Archive, ValueOf<ServiceReport> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("service", Value.Service_);
  Fields("p99_us", Value.P99_);
  Fields("load", Value.Load_);
  Fields("measured_at", Value.MeasuredAt_);
}

template <typename Archive, ValueOf<WorkerReport> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("worker", Value.Worker_);
  Fields("boot", Value.Boot_);
  Fields("clock", Value.Clock_);
  Fields("epoch", Value.Epoch_);
  Fields("attempts", Value.Attempts_);
  Fields("services", Value.Services_);
}

template <typename Archive, ValueOf<StartCommand> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("contract", Value.Contract_);
  Fields("kind", Value.Kind_);
  Fields("size", Value.Size_);
  Fields("declared_run_time_us", Value.DeclaredRunTime_);
  Fields("checkpoint", Value.Checkpoint_);
  Fields("payload", Value.Payload_);
  Fields("start_before", Value.StartBefore_);
  Fields("lease_until", Value.LeaseUntil_);
}

template <typename Archive, ValueOf<RenewCommand> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("lease_until", Value.LeaseUntil_);
}

template <typename Archive, ValueOf<StopCommand> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("checkpoint", Value.Checkpoint_);
}

template <typename Archive, ValueOf<ThrottleCommand> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("fraction", Value.Fraction_);
}

template <typename Archive, ValueOf<WorkerCommands> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("epoch", Value.Epoch_);
  Fields("boot", Value.Boot_);
  Fields("acknowledged", Value.Acknowledged_);
  Fields("stops", Value.Stops_);
  Fields("renewals", Value.Renewals_);
  Fields("throttles", Value.Throttles_);
  Fields("starts", Value.Starts_);
}

template <typename Archive, ValueOf<RefusedStart> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("reason", Value.Reason_);
}

template <typename Archive, ValueOf<WorkerAnswer> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("obeyed", Value.Accepted_);
  Fields("refused", Value.Refused_);
  Fields("report", Value.Report_);
}

Result<std::string> encodeWorkerCommands(const WorkerCommands &Commands) {
  return encodeJson(Commands);
}

Result<std::string> encodeWorkerAnswer(const WorkerAnswer &Answer) {
  return encodeJson(Answer);
}

Result<std::string> encodeWorkerReport(const WorkerReport &Report) {
  return encodeJson(Report);
}

Result<WorkerCommands> decodeWorkerCommands(std::string_view Text) {
  return decodeJson<WorkerCommands>(Text);
}

Result<WorkerAnswer> decodeWorkerAnswer(std::string_view Text) {
  return decodeJson<WorkerAnswer>(Text);
}

Result<WorkerReport> decodeWorkerReport(std::string_view Text) {
  return decodeJson<WorkerReport>(Text);
}

} // namespace filbertspring
