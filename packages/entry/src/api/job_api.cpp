#include "handlers.h"
#include "json_answer.h"
#include "store_loop.h"

#include "filbertspring/base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace filbertspring {
namespace {

using nlohmann::json;

constexpr std::int64_t MaxSize = std::int64_t{1} << 40U;
constexpr std::int64_t MaxRunTimeMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::size_t MaxPayload = std::size_t{64} << 10U;
constexpr std::size_t MaxKeyLength = 128;

/// The identifier follows from the key, so that a repeated submission names
/// the same row.
JobId jobIdOf(const ContractName &Contract, const IdempotencyKey &Key) {
  std::string Text = Contract.str() + "/" + Key.str();
  XXH128_hash_t Digest = XXH3_128bits(Text.data(), Text.size());
  return JobId(fmt::format("j-{:016x}{:016x}", Digest.high64, Digest.low64));
}

RowKey rowOf(const JobId &Job) { return {RowKind::Job, Job.str()}; }

Resources readSize(const json &Size, Findings &Found) {
  auto Amount = [&](const char *Name) -> std::int64_t {
    if (!Size.is_object() || !Size.contains(Name))
      return 0;
    const json &Value = Size[Name];
    bool Valid = Value.is_number_integer() && Value.get<std::int64_t>() >= 0 &&
                 Value.get<std::int64_t>() <= MaxSize;
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

std::vector<ZoneName> readZones(const json &Zones, const EntrySnapshot &Now,
                                Findings &Found) {
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
    bool Known =
        std::ranges::any_of(Now.Zones_, [&Name](const AvailabilityZone &Zone) {
          return Zone.Name_.str() == Name;
        });
    if (!Known)
      Found.add(fmt::format("/zones/{}", Index),
                "availability zone does not exist", "a zone of the platform");
    Result.emplace_back(Name);
  }
  return Result;
}

/// Checks the contract's terms for the job and fills in what follows from
/// them.
void applyTerms(const EntrySnapshot &Now, JobRecord &Job, bool Urgent,
                Findings &Found) {
  const Contract *Terms = Now.findContract(Job.Contract_);
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

JobRecord readJob(const EntrySnapshot &Now, BodyReader &Body) {
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
  Job.Zones_ = readZones(Body.field("zones"), Now, Body.findings());
  Job.Payload_ = Body.text("payload", true);
  if (Job.Payload_.size() > MaxPayload)
    Body.findings().add("/payload", "too long",
                        fmt::format("at most {} bytes", MaxPayload));
  applyTerms(Now, Job, Body.flag("urgent", false), Body.findings());
  Job.Id_ = jobIdOf(Job.Contract_, Job.Key_);
  Job.SubmittedMs_ = wallMilliseconds();
  return Job;
}

/// Returns true when \p Repeat asks for the same work as \p Stored.
bool sameWork(const JobRecord &Stored, const JobRecord &Repeat) {
  return Stored.Kind_ == Repeat.Kind_ && Stored.Size_ == Repeat.Size_ &&
         Stored.Zones_ == Repeat.Zones_ && Stored.Payload_ == Repeat.Payload_ &&
         Stored.Tasks_.size() == Repeat.Tasks_.size();
}

HttpAnswer jobAnswer(int Status, const json &Body, const char *Outcome) {
  HttpAnswer Answer = jsonAnswer(Status, Body);
  Answer.Headers_.push_back({"x-outcome", Outcome});
  return Answer;
}

HttpAnswer submit(ApiContext &Context, const HttpRequest &Request) {
  std::shared_ptr<const EntrySnapshot> Now = Context.Board_.current();
  if (!Now->Configured_ || Context.Draining_)
    return jobAnswer(503, {{"error", "not ready"}, {"accepted", false}},
                     "not-run");
  BodyReader Body(Request.Body_);
  JobRecord Job = readJob(*Now, Body);
  if (!Body.findings().empty()) {
    HttpAnswer Answer = findingsAnswer(Body.findings());
    Answer.Status_ = 400;
    return Answer;
  }
  std::optional<StoredRow> Before;
  StoreResult Result =
      changeRows(Context.Table_, Context.Names_, {rowOf(Job.Id_)},
                 [&](const std::vector<std::optional<StoredRow>> &Rows)
                     -> std::optional<StoreStep> {
                   Before = Rows[0];
                   if (Before)
                     return std::nullopt;
                   return StoreStep{{{rowOf(Job.Id_), AbsentVersion, Job}}};
                 });
  json Accepted = {{"job", Job.Id_.str()}, {"accepted", true}};
  if (Result.Outcome_ == StoreOutcome::Done) {
    logEvent(LogEvent::JobAccepted,
             {{"job", Job.Id_.str()}, {"contract", Job.Contract_.str()}});
    Context.Placement_.post(placement::RowsRead{
        placement::UnsolicitedRead,
        {{rowOf(Job.Id_), Result.Version_, TransactionId(), Job}},
        {}});
    return jobAnswer(201, Accepted, "completed");
  }
  if (Before) {
    if (!sameWork(std::get<JobRecord>(Before->Value_), Job))
      return errorAnswer(409, "the key belongs to a job with other content");
    return jobAnswer(200, Accepted, "completed");
  }
  if (Result.Outcome_ == StoreOutcome::NotDone)
    return jobAnswer(
        503,
        {{"error", "the platform did not take the job"}, {"accepted", false}},
        "not-run");
  return jobAnswer(502, {{"error", "ask again with the same key"}}, "unknown");
}

const char *jobState(const JobRecord &Job) {
  bool Running = std::ranges::any_of(Job.Tasks_, [](const Task &Each) {
    return Each.State_ == TaskState::Claimed;
  });
  bool Waiting = std::ranges::any_of(Job.Tasks_, [](const Task &Each) {
    return Each.State_ == TaskState::Waiting;
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

HttpAnswer cancel(ApiContext &Context, const JobId &Id) {
  bool Known = false;
  bool Ended = false;
  StoreResult Result = changeRows(
      Context.Table_, Context.Names_, {rowOf(Id)},
      [&](const std::vector<std::optional<StoredRow>> &Rows)
          -> std::optional<StoreStep> {
        Known = Rows[0].has_value();
        if (!Known)
          return std::nullopt;
        auto Restored = Job::restore(std::get<JobRecord>(Rows[0]->Value_));
        Ended = !Restored || Restored->ended();
        if (Ended)
          return std::nullopt;
        Restored->cancel();
        return StoreStep{{{rowOf(Id), Rows[0]->Version_, Restored->record()}}};
      });
  switch (Result.Outcome_) {
  case StoreOutcome::Done:
    logEvent(LogEvent::JobCancelled, {{"job", Id.str()}});
    return jsonAnswer(200, {{"job", Id.str()}, {"state", "cancelled"}});
  case StoreOutcome::Nothing:
    if (!Known)
      return errorAnswer(404, "no such job");
    return jsonAnswer(200, {{"job", Id.str()}, {"state", "ended"}});
  case StoreOutcome::NotDone:
    return errorAnswer(503, "the platform did not take the change");
  case StoreOutcome::Unknown:
    break;
  }
  return jobAnswer(502, {{"error", "ask for the job's state"}}, "unknown");
}

HttpAnswer explain(ApiContext &Context, const JobRecord &Job) {
  std::vector<placement::TaskExplanation> Known =
      Context.Placement_.explain(Job.Id_);
  json Tasks = json::array();
  for (std::size_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    const Task &Entry = Job.Tasks_[Index];
    std::string Why = Entry.Reason_;
    auto Found = std::ranges::find(Known, static_cast<std::int32_t>(Index),
                                   [](const placement::TaskExplanation &Each) {
                                     return Each.Task_.Index_;
                                   });
    if (Found != Known.end() && Entry.State_ == TaskState::Waiting)
      Why = Found->Explanation_;
    Tasks.push_back({{"index", Index},
                     {"state", nameOf(TaskStateNames, Entry.State_)},
                     {"why", Why}});
  }
  return jsonAnswer(200, {{"job", Job.Id_.str()}, {"tasks", std::move(Tasks)}});
}

} // namespace

HttpAnswer answerJobCall(ApiContext &Context, const HttpRequest &Request,
                         const PathParts &Path) {
  bool IsPost = Request.Method_ == "POST";
  if (Path.empty())
    return IsPost ? submit(Context, Request)
                  : errorAnswer(404, "use POST /v1/jobs");
  JobId Id(Path[0]);
  if (Path.size() == 2 && Path[1] == "cancel" && IsPost)
    return cancel(Context, Id);
  bool Explains = Path.size() == 2 && Path[1] == "explain";
  if (Request.Method_ != "GET" || (Path.size() != 1 && !Explains))
    return errorAnswer(404, "no such path");
  Result<std::optional<StoredRow>> Row = Context.Table_.readRow(rowOf(Id));
  if (!Row)
    return errorAnswer(503, "the platform does not answer");
  if (!*Row)
    return errorAnswer(404, "no such job");
  const auto &Job = std::get<JobRecord>((*Row)->Value_);
  return Explains ? explain(Context, Job) : showJob(Job, (*Row)->Version_);
}

} // namespace filbertspring
