#include "handlers.h"
#include "json_answer.h"
#include "row_update.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <thread>
#include <xxhash.h>

namespace filbertspring {
namespace {

using nlohmann::json;

constexpr std::int64_t MaxWaitMs = 20'000;
constexpr Duration ReadInterval = std::chrono::seconds(1);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
/// Maximum number of calls that wait at the same time. Each of them occupies
/// the thread of a connection.
constexpr int MaxWaitingCalls = 128;

RowKey watchRowKey(const std::string &Id) { return {RowKind::Watch, Id}; }

std::int64_t queryNumber(const HttpRequest &Request, const char *Name,
                         std::int64_t Default) {
  std::string_view Text = Request.query(Name);
  std::int64_t Value = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

HttpAnswer updateAnswer(const UpdateResult &Result, const json &Done) {
  if (Result.Outcome_ == UpdateOutcome::Written)
    return jsonAnswer(200, Done);
  if (Result.Outcome_ == UpdateOutcome::Unknown)
    return errorAnswer(502, "outcome unknown; ask again");
  return errorAnswer(503, "the platform did not take the change");
}

HttpAnswer openWatch(ApiContext &Context, const HttpRequest &Request) {
  BodyReader Body(Request.Body_);
  WatchRecord Record;
  Record.Contract_ = ContractName(Body.text("contract"));
  Record.Subject_ = Body.text("subject");
  std::string Key = Body.text("idempotency_key");
  std::shared_ptr<const EntrySnapshot> Snapshot = Context.Snapshots_.current();
  const Contract *Terms = Snapshot->findContract(Record.Contract_);
  if (Terms == nullptr || !Terms->Watches_) {
    Body.findings().add("/contract", "no contract with watches has this name",
                        "a contract with watches");
    return findingsAnswer(Body.findings());
  }
  std::int64_t MaxDurationMs = std::chrono::floor<std::chrono::milliseconds>(
                                   Terms->Watches_->MaxDuration_)
                                   .count();
  std::int64_t DurationMs = Body.integer("duration_ms", 1, MaxDurationMs);
  if (!Body.findings().empty())
    return findingsAnswer(Body.findings());
  std::string Text = Record.Contract_.str() + "/" + Key;
  Record.Id_ = fmt::format("w-{:016x}", XXH3_64bits(Text.data(), Text.size()));
  Record.ExpiresMs_ = wallMilliseconds() + DurationMs;
  bool Exists = false;
  UpdateResult Result = updateRows(
      Context.Table_, Context.Names_, {watchRowKey(Record.Id_)},
      [&](const std::vector<std::optional<StoredRow>> &Rows)
          -> std::optional<RowUpdate> {
        Exists = Rows[0].has_value();
        if (Exists)
          return std::nullopt;
        return RowUpdate{{{watchRowKey(Record.Id_), AbsentVersion, Record}}};
      });
  HttpAnswer Answer = Exists ? jsonAnswer(200, {{"watch", Record.Id_}})
                             : updateAnswer(Result, {{"watch", Record.Id_}});
  if (Result.Outcome_ == UpdateOutcome::Written)
    Answer.Status_ = 201;
  return Answer;
}

/// Applies \p Mutate to a stored watch. Writes the watch unless \p Mutate
/// fails.
HttpAnswer updateWatch(ApiContext &Context, const std::string &Id,
                       const std::function<Status(Watch &)> &Mutate) {
  bool Exists = false;
  Status Allowed;
  UpdateResult Result = updateRows(
      Context.Table_, Context.Names_, {watchRowKey(Id)},
      [&](const std::vector<std::optional<StoredRow>> &Rows)
          -> std::optional<RowUpdate> {
        Exists = Rows[0].has_value();
        if (!Exists)
          return std::nullopt;
        auto Stored = Watch::restore(std::get<WatchRecord>(Rows[0]->Value_));
        Allowed = Stored ? Mutate(*Stored) : fail(Stored.error());
        if (!Allowed)
          return std::nullopt;
        return RowUpdate{
            {{watchRowKey(Id), Rows[0]->Version_, Stored->record()}}};
      });
  if (Result.Outcome_ == UpdateOutcome::Unchanged && !Exists)
    return errorAnswer(404, "no such watch");
  if (!Allowed)
    return errorAnswer(409, Allowed.error().message());
  return updateAnswer(Result, {{"watch", Id}});
}

json eventsToJson(const Watch &Stored, std::int64_t Cursor) {
  json Events = json::array();
  std::int64_t Last = Cursor;
  for (const WatchEvent &Event : Stored.after(Cursor)) {
    Events.push_back(
        {{"sequence", Event.Sequence_}, {"payload", Event.Payload_}});
    Last = Event.Sequence_;
  }
  bool Expired = Stored.record().ExpiresMs_ <= wallMilliseconds();
  return {{"events", std::move(Events)},
          {"cursor", Last},
          {"closed", Stored.record().Closed_ || Expired}};
}

/// Sleeps for at most \p Limit; returns early when the instance drains.
void sleepUnlessDraining(const ApiContext &Context, Duration Limit) {
  TimePoint End = SchedulerClock::now() + Limit;
  while (SchedulerClock::now() < End && !Context.RefusesNewWork_)
    std::this_thread::sleep_for(DrainPollInterval);
}

/// Waits for events after \p Cursor. A drain ends the call without events; the
/// caller then repeats the call with the same cursor at another instance.
HttpAnswer waitForEvents(ApiContext &Context, const std::string &Id,
                         std::int64_t Cursor, std::int64_t WaitMs) {
  static std::atomic<int> WaitingCalls{0};
  TimePoint End = SchedulerClock::now() + std::chrono::milliseconds(WaitMs);
  bool MayWait = ++WaitingCalls <= MaxWaitingCalls;
  HttpAnswer Answer;
  while (true) {
    Result<std::optional<StoredRow>> Row =
        Context.Table_.readRow(watchRowKey(Id));
    if (!Row)
      Answer = errorAnswer(503, "the platform does not answer");
    else if (!*Row)
      Answer = errorAnswer(404, "no such watch");
    if (!Row || !*Row)
      break;
    auto Stored = Watch::restore(std::get<WatchRecord>((*Row)->Value_));
    if (!Stored) {
      Answer = errorAnswer(500, Stored.error().message());
      break;
    }
    json Body = eventsToJson(*Stored, Cursor);
    bool Finished = !Body["events"].empty() || Body["closed"] == true ||
                    !MayWait || Context.RefusesNewWork_ ||
                    SchedulerClock::now() >= End;
    if (Finished) {
      Answer = jsonAnswer(200, Body);
      break;
    }
    sleepUnlessDraining(Context,
                        std::min(ReadInterval, End - SchedulerClock::now()));
  }
  --WaitingCalls;
  return Answer;
}

HttpAnswer readWatch(ApiContext &Context, const HttpRequest &Request,
                     const std::string &Id) {
  std::int64_t Cursor =
      std::max<std::int64_t>(queryNumber(Request, "cursor", 0), 0);
  std::int64_t WaitMs = std::clamp<std::int64_t>(
      queryNumber(Request, "wait_ms", 0), 0, MaxWaitMs);
  if (Cursor > 0) {
    HttpAnswer Acknowledged =
        updateWatch(Context, Id, [Cursor](Watch &Stored) -> Status {
          // If the events are already removed, nothing is written.
          if (Stored.record().Events_.empty() ||
              Stored.record().Events_.front().Sequence_ > Cursor)
            return fail(Errc::Duplicate);
          return Stored.acknowledge(Cursor);
        });
    bool Fatal = Acknowledged.Status_ != 200 && Acknowledged.Status_ != 409;
    if (Fatal)
      return Acknowledged;
  }
  return waitForEvents(Context, Id, Cursor, WaitMs);
}

} // namespace

HttpAnswer answerWatchCall(ApiContext &Context, const HttpRequest &Request,
                           const PathParts &Path) {
  bool IsPost = Request.Method_ == "POST";
  if (Path.empty())
    return IsPost ? openWatch(Context, Request)
                  : errorAnswer(404, "use POST /v1/watches");
  if (Path.size() == 1 && Request.Method_ == "GET")
    return readWatch(Context, Request, Path[0]);
  if (Path.size() == 2 && Path[1] == "close" && IsPost)
    return updateWatch(Context, Path[0], [](Watch &Stored) -> Status {
      Stored.close();
      return {};
    });
  if (Path.size() == 2 && Path[1] == "events" && IsPost) {
    BodyReader Body(Request.Body_);
    std::string Payload = Body.text("payload");
    if (!Body.findings().empty())
      return findingsAnswer(Body.findings());
    return updateWatch(Context, Path[0], [&Payload](Watch &Stored) {
      return Stored.append(Payload);
    });
  }
  return errorAnswer(404, "no such path");
}

} // namespace filbertspring
