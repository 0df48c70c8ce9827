#include "handlers.h"
#include "json_answer.h"
#include "row_update.h"

#include "filbertspring/config/contract_document.h"
#include "filbertspring/report/burn_counts.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace filbertspring {
namespace {

using nlohmann::json;

const RowKey HeadKey{RowKind::Head, ""};
constexpr std::int64_t AnyVersion = -1;
constexpr std::int64_t DefaultBurnWindowMs = std::int64_t{24} * 3600 * 1000;

/// Returns who wrote \p Row last. Reported to an operator whose change
/// conflicts with another one.
std::string changedBy(const std::optional<StoredRow> &Row) {
  if (!Row)
    return {};
  if (const auto *Terms = std::get_if<ContractRecord>(&Row->Value_))
    return Terms->ChangedBy_;
  if (const auto *Zone = std::get_if<AvailabilityZone>(&Row->Value_))
    return Zone->ChangedBy_;
  return {};
}

/// A change of one configuration row that an operator requests.
struct ConfigurationWrite {
  RowKey Key_;
  std::int64_t ExpectedVersion_ = AnyVersion;
  std::string ChangedBy_;
  /// Returns the new value, given the stored row.
  std::function<RowValue(const std::optional<StoredRow> &)> MakeValue_;
};

/// Writes one row and increments the head row in the same transaction.
HttpAnswer writeConfiguration(ApiContext &Context,
                              const ConfigurationWrite &Write) {
  std::optional<StoredRow> Existing;
  bool VersionMismatch = false;
  auto Decide = [&](const std::vector<std::optional<StoredRow>> &Rows)
      -> std::optional<RowUpdate> {
    Existing = Rows[0];
    RowVersion Stored = Existing ? Existing->Version_ : AbsentVersion;
    VersionMismatch = Write.ExpectedVersion_ != AnyVersion &&
                      Write.ExpectedVersion_ != Stored;
    if (VersionMismatch)
      return std::nullopt;
    HeadRecord Head;
    if (Rows[1])
      Head = std::get<HeadRecord>(Rows[1]->Value_);
    ++Head.Changes_;
    Head.ChangedBy_ = Write.ChangedBy_;
    RowVersion HeadVersion = Rows[1] ? Rows[1]->Version_ : AbsentVersion;
    return RowUpdate{{{Write.Key_, Stored, Write.MakeValue_(Existing)},
                      {HeadKey, HeadVersion, Head}}};
  };
  UpdateResult Result =
      updateRows(Context.Table_, Context.Names_, {Write.Key_, HeadKey}, Decide);
  if (Result.Outcome_ == UpdateOutcome::Written)
    return jsonAnswer(
        200, {{"version", Result.Version_}, {"changed_by", Write.ChangedBy_}});
  if (VersionMismatch && Result.Outcome_ == UpdateOutcome::Unchanged)
    return jsonAnswer(
        409, {{"error", "another change came first"},
              {"version", Existing ? Existing->Version_ : AbsentVersion},
              {"changed_by", changedBy(Existing)}});
  if (Result.Outcome_ == UpdateOutcome::Unknown)
    return errorAnswer(502, "outcome unknown; read it back");
  return errorAnswer(503, "the platform did not take the change");
}

json contractToJson(const StoredRow &Row) {
  const auto &Record = std::get<ContractRecord>(Row.Value_);
  return {{"name", Record.Terms_.Name_.str()},
          {"version", Row.Version_},
          {"changed_by", Record.ChangedBy_},
          {"terms", json::parse(writeContract(Record.Terms_))}};
}

std::vector<ZoneName> zoneNames(const EntrySnapshot &Snapshot) {
  std::vector<ZoneName> Names;
  for (const AvailabilityZone &Zone : Snapshot.Zones_)
    Names.push_back(Zone.Name_);
  return Names;
}

HttpAnswer listContracts(ApiContext &Context) {
  Result<RowBatch> Rows = Context.Table_.scan(RowKind::Contract);
  if (!Rows)
    return errorAnswer(503, "the platform does not answer");
  json List = json::array();
  for (const StoredRow &Row : Rows->Rows_)
    List.push_back(contractToJson(Row));
  return jsonAnswer(200, {{"contracts", std::move(List)},
                          {"head", Context.Snapshots_.current()->Head_},
                          {"version", Context.Snapshots_.current()->Head_}});
}

HttpAnswer showContract(ApiContext &Context, const std::string &Name) {
  Result<std::optional<StoredRow>> Row =
      Context.Table_.readRow({RowKind::Contract, Name});
  if (!Row)
    return errorAnswer(503, "the platform does not answer");
  if (!*Row)
    return errorAnswer(404, "no such contract");
  return jsonAnswer(200, contractToJson(**Row));
}

HttpAnswer putContract(ApiContext &Context, const HttpRequest &Request,
                       const std::string &Name) {
  BodyReader Body(Request.Body_);
  constexpr std::int64_t MaxVersion = std::numeric_limits<std::int64_t>::max();
  std::int64_t ExpectedVersion =
      Body.integer("expected_version", 0, MaxVersion, AnyVersion);
  std::string ChangedBy = Body.text("changed_by");
  ParsedContract Parsed = parseContract(
      Body.field("terms").dump(), zoneNames(*Context.Snapshots_.current()));
  for (const Finding &Item : Parsed.Findings_.items())
    Body.findings().add("/terms" + Item.Place_, Item.Problem_, Item.Allowed_);
  if (Parsed.Terms_ && Parsed.Terms_->Name_.str() != Name)
    Body.findings().add("/terms/name", "not the name in the path", Name);
  if (!Body.findings().empty())
    return findingsAnswer(Body.findings());
  return writeConfiguration(
      Context, {{RowKind::Contract, Name},
                ExpectedVersion,
                ChangedBy,
                [&](const std::optional<StoredRow> &) -> RowValue {
                  return ContractRecord{*Parsed.Terms_, ChangedBy, false};
                }});
}

/// Counts the claimed tasks of each zone.
std::map<ZoneName, std::int64_t> tasksByZone(ApiContext &Context) {
  std::map<ZoneName, std::int64_t> Counts;
  Result<RowBatch> Rows = Context.Table_.scan(RowKind::Rack);
  if (!Rows)
    return Counts;
  for (const StoredRow &Row : Rows->Rows_) {
    const auto &Rack = std::get<RackRecord>(Row.Value_);
    for (const RackWorker &Worker : Rack.Workers_)
      Counts[Rack.Zone_] +=
          static_cast<std::int64_t>(Worker.Assignments_.size());
  }
  return Counts;
}

HttpAnswer listZones(ApiContext &Context) {
  Result<RowBatch> Rows = Context.Table_.scan(RowKind::Zone);
  if (!Rows)
    return errorAnswer(503, "the platform does not answer");
  std::map<ZoneName, std::int64_t> Running = tasksByZone(Context);
  json List = json::array();
  for (const StoredRow &Row : Rows->Rows_) {
    const auto &Zone = std::get<AvailabilityZone>(Row.Value_);
    List.push_back({{"name", Zone.Name_.str()},
                    {"region", Zone.Region_.str()},
                    {"state", nameOf(ZoneStateNames, Zone.State_)},
                    {"version", Row.Version_},
                    {"changed_by", Zone.ChangedBy_},
                    {"reason", Zone.Reason_},
                    {"tasks_running", Running[Zone.Name_]}});
  }
  return jsonAnswer(200, {{"zones", std::move(List)},
                          {"version", Context.Snapshots_.current()->Head_}});
}

HttpAnswer postZone(ApiContext &Context, const HttpRequest &Request,
                    const std::string &Name) {
  BodyReader Body(Request.Body_);
  constexpr std::int64_t MaxVersion = std::numeric_limits<std::int64_t>::max();
  std::int64_t ExpectedVersion =
      Body.integer("expected_version", 0, MaxVersion, AnyVersion);
  std::string ChangedBy = Body.text("changed_by");
  std::string Reason = Body.text("reason", true);
  std::optional<ZoneState> State = valueOf(ZoneStateNames, Body.text("state"));
  if (!State)
    Body.findings().add("/state", "not a state of a zone",
                        "in-service or out-of-service");
  if (!Body.findings().empty())
    return findingsAnswer(Body.findings());
  Result<std::optional<StoredRow>> Row =
      Context.Table_.readRow({RowKind::Zone, Name});
  if (!Row)
    return errorAnswer(503, "the platform does not answer");
  if (!*Row)
    return errorAnswer(404, "no such availability zone");
  return writeConfiguration(
      Context, {{RowKind::Zone, Name},
                ExpectedVersion,
                ChangedBy,
                [&](const std::optional<StoredRow> &Stored) -> RowValue {
                  AvailabilityZone Zone;
                  if (Stored)
                    Zone = std::get<AvailabilityZone>(Stored->Value_);
                  Zone.Name_ = ZoneName(Name);
                  Zone.State_ = *State;
                  Zone.ChangedBy_ = ChangedBy;
                  Zone.Reason_ = Reason;
                  return Zone;
                }});
}

HttpAnswer showBurn(ApiContext &Context, const HttpRequest &Request) {
  std::string_view Text = Request.query("window_ms");
  std::int64_t WindowMs = DefaultBurnWindowMs;
  std::from_chars(Text.data(), Text.data() + Text.size(), WindowMs);
  Result<RowBatch> Rows = Context.Table_.scan(RowKind::Burn);
  if (!Rows)
    return errorAnswer(503, "the platform does not answer");
  BurnCounts Counts;
  Counts.NowMs_ = wallMilliseconds();
  for (const StoredRow &Row : Rows->Rows_)
    Counts.Records_.push_back(std::get<BurnHourRecord>(Row.Value_));
  Counts.Contracts_ = Context.Snapshots_.current()->Contracts_;
  HttpAnswer Answer;
  Answer.Body_ = writeBurnCounts(Counts, WindowMs);
  return Answer;
}

json resourcesToJson(const Resources &Amount) {
  return {{"cpu_millicores", Amount.Cpu_.count()},
          {"memory_mib", Amount.Memory_.count()},
          {"accelerators", Amount.Accelerators_.count()}};
}

HttpAnswer showStatus(ApiContext &Context) {
  std::shared_ptr<const EntrySnapshot> Snapshot = Context.Snapshots_.current();
  placement::SchedulerSnapshot Scheduler = Context.Placement_.snapshot();
  json Peers = json::array();
  for (const PeerView &Peer : Snapshot->Peers_)
    Peers.push_back({{"name", Peer.Name_.str()},
                     {"zone", Peer.Zone_.str()},
                     {"connected", Peer.Connected_},
                     {"head", Peer.Head_}});
  json Zones = json::array();
  for (const AvailabilityZone &Zone : Snapshot->Zones_)
    Zones.push_back({{"name", Zone.Name_.str()},
                     {"state", nameOf(ZoneStateNames, Zone.State_)}});
  json Racks = json::array();
  for (const placement::RackSnapshot &Rack : Scheduler.Racks_)
    if (Rack.Owned_)
      Racks.push_back(Rack.Name_.str());
  json Workers = json::array();
  for (const placement::WorkerSnapshot &Worker : Scheduler.Workers_)
    Workers.push_back(
        {{"name", Worker.Name_.str()},
         {"zone", Worker.Zone_.str()},
         {"state", Worker.Reachable_ ? (Worker.Leaving_ ? "leaving" : "live")
                                     : "unreachable"},
         {"committed", resourcesToJson(Worker.Committed_)},
         {"capacity", resourcesToJson(Worker.Capacity_)}});
  return jsonAnswer(
      200,
      {{"instance", Context.Settings_.Instance_.str()},
       {"zone", Context.Settings_.Zone_.str()},
       {"ready", isReady(Context)},
       {"draining", Context.DrainStarted_.load()},
       {"platform", Snapshot->PlatformReachable_ ? "reachable" : "unreachable"},
       {"head", Snapshot->Head_},
       {"version", Snapshot->Head_},
       {"peers", std::move(Peers)},
       {"racks_owned", std::move(Racks)},
       {"waiting_tasks", Scheduler.WaitingTasks_},
       {"zones", std::move(Zones)},
       {"workers", std::move(Workers)}});
}

} // namespace

HttpAnswer answerAdminCall(ApiContext &Context, const HttpRequest &Request,
                           const PathParts &Path) {
  std::string Group = Path.empty() ? "" : Path[0];
  bool HasName = Path.size() == 2;
  bool IsGet = Request.Method_ == "GET";
  if (Path.size() > 2)
    return errorAnswer(404, "no such path");
  if (Group == "contracts" && IsGet)
    return HasName ? showContract(Context, Path[1]) : listContracts(Context);
  if (Group == "contracts" && HasName && Request.Method_ == "PUT")
    return putContract(Context, Request, Path[1]);
  if (Group == "zones" && IsGet && !HasName)
    return listZones(Context);
  if (Group == "zones" && HasName && Request.Method_ == "POST")
    return postZone(Context, Request, Path[1]);
  if (Group == "burn" && IsGet && !HasName)
    return showBurn(Context, Request);
  if (Group == "status" && IsGet && !HasName)
    return showStatus(Context);
  return errorAnswer(404, "no such path");
}

} // namespace filbertspring
