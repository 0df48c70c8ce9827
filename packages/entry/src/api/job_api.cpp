#include "handlers.h"
#include "json_answer.h"
#include "row_update.h"

#include "filbertspring/base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace filbertspring {
namespace {

using nlohmann::json;

constexpr std::int64_t MaxResourceAmount = std::int64_t{1} << 40U;
constexpr std::int64_t MaxRunTimeMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::size_t MaxPayloadBytes = std::size_t{64} << 10U;
constexpr std::size_t MaxKeyLength = 128;

/// Returns the identifier of the job with the idempotency key \p Key. It is a
/// digest of contract and key, so that a repeated submission refers to the same
/// row.
JobId jobIdOf(const ContractName &Contract, const IdempotencyKey &Key) {
  std::string Text = Contract.str() + "/" + Key.str();
  XXH128_hash_t Digest = XXH3_128bits(Text.data(), Text.size());
  return JobId(fmt::format("j-{:016x}{:016x}", Digest.high64, Digest.low64));
}

RowKey jobRowKey(const JobId &Job) { return {RowKind::Job, Job.str()}; }

Resources readSize(const json &Size, Findings &Found) {
  auto Amount = [&](const char *Name) -> std::int64_t {
    if (!Size.is_object() || !Size.contains(Name))
      return 0;
    const json &Value = Size[Name];
    bool Valid = Value.is_number_integer() && Value.get<std::int64_t>() >= 0 &&
                 Value.get<std::int64_t>() <= MaxResourceAmount;
    if (!Valid)
      Found.add(fmt::format("/size/{}", Name), "not a whole number in range",
                "0 or more");
    return Valid ? Value.get<std::int64_t>() : 0;
  };
  if (!Size.is_object())
    Found.add("/size", "missing or not an object",
              "cpu_millicores, memory_mib, accelerators");
  return {Millicores(Amount("cpu_millicores")), Mebibytes(Amount("memory_mib")),
          Accelerators(Amount("accelerators"))};
}

std::vector<ZoneName>
readZones(const json &Zones, const EntrySnapshot &Snapshot, Findings &Found) {
  std::vector<ZoneName> Result;
  if (Zones.is_null())
    return Result;
  if (!Zones.is_array()) {
    Found.add("/zones", "not a list", "a list of zone names");
    return Result;
  }
  for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
    std::string Name =
        Zones[Index].is_string() ? Zones[Index].get<std::string>() : "";
    bool Exists = std::ranges::any_of(Snapshot.Zones_,
                                      [&Name](const AvailabilityZone &Zone) {
                                        return Zone.Name_.str() == Name;
                                      });
    if (!Exists)
      Found.add(fmt::format("/zones/{}", Index),
                "availability zone does not exist", "a zone of the platform");
    Result.emplace_back(Name);
  }
  return Result;
}

/// Checks \p Job against the terms of its contract and sets the fields that the
/// terms determine.
void applyTerms(const EntrySnapshot &Snapshot, JobRecord &Job, bool Urgent,
                Findings &Found) {
  const Contract *Terms = Snapshot.findContract(Job.Contract_);
  if (Terms == nullptr) {
    Found.add("/contract", "contract does not exist", "a contract in force");
    return;
  }
  const BatchKindTerms *Kind = Terms->findKind(Job.Kind_);
  if (Kind == nullptr) {
    Found.add("/kind", "the contract has no such kind of batch work",
              "a kind of the contract");
    return;
  }
  if (Urgent && !Kind->Urgent_)
    Found.add("/urgent", "the contract does not make this kind urgent",
              "false");
  Job.Urgent_ = Kind->Urgent_;
  Job.MaxAttempts_ = Kind->MaxAttempts_;
  if (Job.DeclaredRunTime_ == Duration::zero())
    Job.DeclaredRunTime_ = Kind->DeclaredRunTime_;
  auto Tasks = static_cast<std::int64_t>(Job.Tasks_.size());
  if (Tasks > Terms->Batch_->MaxWaitingTasks_)
    Found.add("/tasks", "more tasks than may wait under the contract",
              fmt::format("at most {}", Terms->Batch_->MaxWaitingTasks_));
  for (std::size_t Index = 0; Index < Job.Zones_.size(); ++Index)
    if (!Terms->allowsZone(Job.Zones_[Index]))
      Found.add(fmt::format("/zones/{}", Index),
                "the contract does not allow this zone",
                "a zone of the contract");
}

JobRecord readJob(const EntrySnapshot &Snapshot, BodyReader &Body) {
  JobRecord Job;
  Job.Contract_ = ContractName(Body.text("contract"));
  Job.Kind_ = BatchKindName(Body.text("kind"));
  Job.Key_ = IdempotencyKey(Body.text("idempotency_key"));
  if (Job.Key_.empty() || Job.Key_.str().size() > MaxKeyLength)
    Body.findings().add("/idempotency_key", "empty or too long",
                        fmt::format("1 to {} characters", MaxKeyLength));
  constexpr auto MaxTasks = static_cast<std::int64_t>(Job::MaxTasks);
  Job.Tasks_.resize(
      static_cast<std::size_t>(Body.integer("tasks", 1, MaxTasks, 1)));
  Job.Size_ = readSize(Body.field("size"), Body.findings());
  Job.DeclaredRunTime_ = std::chrono::milliseconds(
      Body.integer("run_time_ms", 1, MaxRunTimeMs, 0));
  Job.Zones_ = readZones(Body.field("zones"), Snapshot, Body.findings());
  Job.Payload_ = Body.text("payload", true);
  if (Job.Payload_.size() > MaxPayloadBytes)
    Body.findings().add("/payload", "too long",
                        fmt::format("at most {} bytes", MaxPayloadBytes));
  applyTerms(Snapshot, Job, Body.flag("urgent", false), Body.findings());
  Job.Id_ = jobIdOf(Job.Contract_, Job.Key_);
  Job.SubmittedMs_ = wallMilliseconds();
  return Job;
}

/// Returns true if \p Repeat requests the same work as \p Stored.
bool isSameWork(const JobRecord &Stored, const JobRecord &Repeat) {
  return Stored.Kind_ == Repeat.Kind_ && Stored.Size_ == Repeat.Size_ &&
         Stored.Zones_ == Repeat.Zones_ && Stored.Payload_ == Repeat.Payload_ &&
         Stored.Tasks_.size() == Repeat.Tasks_.size();
}

HttpAnswer jobAnswer(int Status, const json &Body, const char *Outcome) {
  HttpAnswer Answer = jsonAnswer(Status, Body);
  Answer.Headers_.push_back({"x-outcome", Outcome});
  return Answer;
}

HttpAnswer submitJob(ApiContext &Context, const HttpRequest &Request) {
  std::shared_ptr<const EntrySnapshot> Snapshot = Context.Snapshots_.current();
  if (!Snapshot->Configured_ || Context.RefusesNewWork_)
    return jobAnswer(503, {{"error", "not ready"}, {"accepted", false}},
                     "not-run");
  BodyReader Body(Request.Body_);
  JobRecord Job = readJob(*Snapshot, Body);
  if (!Body.findings().empty()) {
    HttpAnswer Answer = findingsAnswer(Body.findings());
    Answer.Status_ = 400;
    return Answer;
  }
  std::optional<StoredRow> Existing;
  UpdateResult Result =
      updateRows(Context.Table_, Context.Names_, {jobRowKey(Job.Id_)},
                 [&](const std::vector<std::optional<StoredRow>> &Rows)
                     -> std::optional<RowUpdate> {
                   Existing = Rows[0];
                   if (Existing)
                     return std::nullopt;
                   return RowUpdate{{{jobRowKey(Job.Id_), AbsentVersion, Job}}};
                 });
  json Accepted = {{"job", Job.Id_.str()}, {"accepted", true}};
  if (Result.Outcome_ == UpdateOutcome::Written) {
    logEvent(LogEvent::JobAccepted,
             {{"job", Job.Id_.str()}, {"contract", Job.Contract_.str()}});
    Context.Placement_.post(placement::RowsRead{
        placement::UnsolicitedRead,
        {{jobRowKey(Job.Id_), Result.Version_, TransactionId(), Job}},
        {}});
    return jobAnswer(201, Accepted, "completed");
  }
  if (Existing) {
    if (!isSameWork(std::get<JobRecord>(Existing->Value_), Job))
      return errorAnswer(409, "the key belongs to a job with other content");
    return jobAnswer(200, Accepted, "completed");
  }
  if (Result.Outcome_ == UpdateOutcome::NotWritten)
    return jobAnswer(
        503,
        {{"error", "the platform did not take the job"}, {"accepted", false}},
        "not-run");
  return jobAnswer(502, {{"error", "ask again with the same key"}}, "unknown");
}

const char *jobState(const JobRecord &Job) {
  bool Running = std::ranges::any_of(Job.Tasks_, [](const Task &Entry) {
    return Entry.State_ == TaskState::Claimed;
  });
  bool Waiting = std::ranges::any_of(Job.Tasks_, [](const Task &Entry) {
    return Entry.State_ == TaskState::Waiting;
  });
  if (Running)
    return "running";
  return Waiting ? "waiting" : "ended";
}

json taskToJson(const Task &Entry, std::size_t Index) {
  return {{"index", Index},
          {"state", nameOf(TaskStateNames, Entry.State_)},
          {"attempt", Entry.Attempt_},
          {"failures", Entry.Failures_},
          {"evictions", Entry.Evictions_},
          {"worker", Entry.Placement_.Worker_.str()},
          {"zone", Entry.Placement_.Zone_.str()},
          {"reason", Entry.Reason_}};
}

HttpAnswer showJob(const JobRecord &Job, RowVersion Version) {
  json Tasks = json::array();
  for (std::size_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    Tasks.push_back(taskToJson(Job.Tasks_[Index], Index));
  return jsonAnswer(200, {{"job", Job.Id_.str()},
                          {"contract", Job.Contract_.str()},
                          {"kind", Job.Kind_.str()},
                          {"state", jobState(Job)},
                          {"tasks", std::move(Tasks)},
                          {"version", Version}});
}

HttpAnswer cancelJob(ApiContext &Context, const JobId &Id) {
  bool Exists = false;
  bool HasEnded = false;
  UpdateResult Result = updateRows(
      Context.Table_, Context.Names_, {jobRowKey(Id)},
      [&](const std::vector<std::optional<StoredRow>> &Rows)
          -> std::optional<RowUpdate> {
        Exists = Rows[0].has_value();
        if (!Exists)
          return std::nullopt;
        auto Restored = Job::restore(std::get<JobRecord>(Rows[0]->Value_));
        HasEnded = !Restored || Restored->ended();
        if (HasEnded)
          return std::nullopt;
        Restored->cancel();
        return RowUpdate{
            {{jobRowKey(Id), Rows[0]->Version_, Restored->record()}}};
      });
  switch (Result.Outcome_) {
  case UpdateOutcome::Written:
    logEvent(LogEvent::JobCancelled, {{"job", Id.str()}});
    return jsonAnswer(200, {{"job", Id.str()}, {"state", "cancelled"}});
  case UpdateOutcome::Unchanged:
    if (!Exists)
      return errorAnswer(404, "no such job");
    return jsonAnswer(200, {{"job", Id.str()}, {"state", "ended"}});
  case UpdateOutcome::NotWritten:
    return errorAnswer(503, "the platform did not take the change");
  case UpdateOutcome::Unknown:
    break;
  }
  return jobAnswer(502, {{"error", "ask for the job's state"}}, "unknown");
}

HttpAnswer explainJob(ApiContext &Context, const JobRecord &Job) {
  std::vector<placement::TaskExplanation> Explanations =
      Context.Placement_.explain(Job.Id_);
  json Tasks = json::array();
  for (std::size_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    const Task &Entry = Job.Tasks_[Index];
    std::string Explanation = Entry.Reason_;
    auto Found =
        std::ranges::find(Explanations, static_cast<std::int32_t>(Index),
                          [](const placement::TaskExplanation &Item) {
                            return Item.Task_.Index_;
                          });
    if (Found != Explanations.end() && Entry.State_ == TaskState::Waiting)
      Explanation = Found->Explanation_;
    Tasks.push_back({{"index", Index},
                     {"state", nameOf(TaskStateNames, Entry.State_)},
                     {"why", Explanation}});
  }
  return jsonAnswer(200, {{"job", Job.Id_.str()}, {"tasks", std::move(Tasks)}});
}

} // namespace

HttpAnswer answerJobCall(ApiContext &Context, const HttpRequest &Request,
                         const PathParts &Path) {
  bool IsPost = Request.Method_ == "POST";
  if (Path.empty())
    return IsPost ? submitJob(Context, Request)
                  : errorAnswer(404, "use POST /v1/jobs");
  JobId Id(Path[0]);
  if (Path.size() == 2 && Path[1] == "cancel" && IsPost)
    return cancelJob(Context, Id);
  bool IsExplain = Path.size() == 2 && Path[1] == "explain";
  if (Request.Method_ != "GET" || (Path.size() != 1 && !IsExplain))
    return errorAnswer(404, "no such path");
  Result<std::optional<StoredRow>> Row = Context.Table_.readRow(jobRowKey(Id));
  if (!Row)
    return errorAnswer(503, "the platform does not answer");
  if (!*Row)
    return errorAnswer(404, "no such job");
  const auto &Job = std::get<JobRecord>((*Row)->Value_);
  return IsExplain ? explainJob(Context, Job) : showJob(Job, (*Row)->Version_);
}

} // namespace filbertspring
