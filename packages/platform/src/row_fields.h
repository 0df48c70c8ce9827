#ifndef FILBERTSPRING_PLATFORM_ROW_FIELDS_H
#define FILBERTSPRING_PLATFORM_ROW_FIELDS_H

/// \file
/// JSON fields of the stored rows.

#include "byte_text.h"
#include "domain_fields.h"
#include "filbertspring/config/contract_document.h"
#include "filbertspring/domain/store.h"

namespace filbertspring {

/// Decodes the value of a row of \p Kind. Errors: InvalidJson.
Result<RowValue> rowValueFromJson(RowKind Kind, const Json &Document);

inline const auto &namesOf(ZoneState) { return ZoneStateNames; }
inline const auto &namesOf(TaskState) { return TaskStateNames; }
inline const auto &namesOf(RequestKeyState) { return RequestKeyStateNames; }

template <typename Archive, ValueOf<HeadRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("changes", Value.Changes_);
  Fields("changed_by", Value.ChangedBy_);
}

/// Returns \p Terms as a contract document, the form in which it is stored.
inline Json toField(const Contract &Terms) {
  return parseJson(writeContract(Terms));
}

inline bool fromField(const Json &Source, Contract &Terms) {
  Result<std::string> Text = dumpJson(Source);
  if (!Text)
    return false;
  ParsedContract Parsed = parseContract(*Text, /*KnownZones=*/{});
  if (Parsed.Terms_)
    Terms = std::move(*Parsed.Terms_);
  return Parsed.Terms_.has_value();
}

template <typename Archive, ValueOf<ContractRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("terms", Value.Terms_);
  Fields("changed_by", Value.ChangedBy_);
  Fields("removed", Value.Removed_);
}

template <typename Archive, ValueOf<AvailabilityZone> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("name", Value.Name_);
  Fields("region", Value.Region_);
  Fields("state", Value.State_);
  Fields("changed_by", Value.ChangedBy_);
  Fields("reason", Value.Reason_);
}

template <typename Archive, ValueOf<Assignment> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("attempt", Value.Attempt_);
  Fields("contract", Value.Contract_);
  Fields("size", Value.Size_);
}

template <typename Archive, ValueOf<RackWorker> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("name", Value.Name_);
  Fields("capacity", Value.Capacity_);
  Fields("reserved", Value.Reserved_);
  Fields("assignments", Value.Assignments_);
}

template <typename Archive, ValueOf<QuotaGrant> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("contract", Value.Contract_);
  Fields("amount", Value.Amount_);
}

template <typename Archive, ValueOf<RackRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("name", Value.Name_);
  Fields("zone", Value.Zone_);
  Fields("owner", Value.Owner_);
  Fields("epoch", Value.Epoch_);
  Fields("workers", Value.Workers_);
  Fields("grants", Value.Grants_);
}

template <typename Archive, ValueOf<Placement> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("zone", Value.Zone_);
  Fields("rack", Value.Rack_);
  Fields("worker", Value.Worker_);
}

template <typename Archive, ValueOf<Task> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("state", Value.State_);
  Fields("attempt", Value.Attempt_);
  Fields("failures", Value.Failures_);
  Fields("evictions", Value.Evictions_);
  Fields("where", Value.Placement_);
  Fields("checkpoint", Value.Checkpoint_);
  Fields("reason", Value.Reason_);
}

template <typename Archive, ValueOf<JobRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("id", Value.Id_);
  Fields("contract", Value.Contract_);
  Fields("kind", Value.Kind_);
  Fields("idempotency_key", Value.Key_);
  Fields("urgent", Value.Urgent_);
  Fields("max_attempts", Value.MaxAttempts_);
  Fields("size", Value.Size_);
  Fields("declared_run_time_us", Value.DeclaredRunTime_);
  Fields("zones", Value.Zones_);
  Fields("submitted_ms", Value.SubmittedMs_);
  Fields("payload", Value.Payload_);
  Fields("tasks", Value.Tasks_);
}

template <typename Archive, ValueOf<RackGrant> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("rack", Value.Rack_);
  Fields("amount", Value.Amount_);
}

template <typename Archive, ValueOf<QuotaLedgerRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("contract", Value.Contract_);
  Fields("grants", Value.Grants_);
}

template <typename Archive, ValueOf<InstanceShare> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("instance", Value.Instance_);
  Fields("permille", Value.Permille_);
}

template <typename Archive, ValueOf<ShareLedgerRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("contract", Value.Contract_);
  Fields("shares", Value.Shares_);
}

template <typename Archive, ValueOf<HeartbeatRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("instance", Value.Instance_);
  Fields("zone", Value.Zone_);
  Fields("sequence", Value.Sequence_);
  Fields("leaving", Value.Leaving_);
  Fields("http", Value.Http_);
  Fields("peer", Value.Peer_);
}

template <typename Archive, ValueOf<RequestKeyRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("contract", Value.Contract_);
  Fields("key", Value.Key_);
  Fields("state", Value.State_);
  Fields("request", Value.Request_);
  Fields("instance", Value.Instance_);
  Fields("body_digest", Value.BodyDigest_);
  Fields("answer_status", Value.AnswerStatus_);
  Fields("answer_body", ByteText{Value.AnswerBody_});
  Fields("written_ms", Value.WrittenMs_);
}

template <typename Archive, ValueOf<WatchEvent> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("sequence", Value.Sequence_);
  Fields("payload", Value.Payload_);
}

template <typename Archive, ValueOf<WatchRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("id", Value.Id_);
  Fields("contract", Value.Contract_);
  Fields("subject", Value.Subject_);
  Fields("expires_ms", Value.ExpiresMs_);
  Fields("next_sequence", Value.NextSequence_);
  Fields("events", Value.Events_);
  Fields("closed", Value.Closed_);
}

template <typename Archive, ValueOf<BurnMinute> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("minute", Value.Minute_);
  Fields("contract", Value.Contract_);
  Fields("service", Value.Service_);
  Fields("zone", Value.Zone_);
  Fields("good", Value.Good_);
  Fields("bad", Value.Bad_);
}

template <typename Archive, ValueOf<BurnHourRecord> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("instance", Value.Instance_);
  Fields("hour", Value.Hour_);
  Fields("observed_minutes", Value.ObservedMinutes_);
  Fields("minutes", Value.Minutes_);
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_ROW_FIELDS_H
