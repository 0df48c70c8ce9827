#include "command.h"

#include "filbertspring/config/units.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

/// Parses the options of "job submit" and collects findings about invalid ones.
class SubmissionReader {
public:
  explicit SubmissionReader(const ParsedOptions &Options) : Options_(Options) {}

  std::string text(std::string_view Name) {
    std::string Value = Options_.text(Name);
    if (Value.empty())
      Findings_.add(fmt::format("--{}", Name), "is missing");
    return Value;
  }

  std::int64_t count(std::string_view Name, std::int64_t Default,
                     std::int64_t Min) {
    if (!Options_.has(Name))
      return Default;
    auto Value = parseCount(Options_.text(Name), Min);
    if (!Value)
      Findings_.add(fmt::format("--{}", Name), "is out of range",
                    fmt::format("a whole number from {}", Min));
    return Value.value_or(Default);
  }

  template <typename T>
  std::int64_t quantity(std::string_view Name,
                        ParsedQuantity<T> (*Parse)(std::string_view),
                        std::string_view Example) {
    std::string Text = text(Name);
    if (Text.empty())
      return 0;
    ParsedQuantity<T> Value = Parse(Text);
    if (Value && Value->count() > 0)
      return Value->count();
    Findings_.add(
        fmt::format("--{}", Name),
        Value ? fmt::format("\"{}\" is not above zero", Text)
              : fmt::format("\"{}\" {}", Text,
                            nameOf(QuantityErrorMessages, Value.error())),
        fmt::format("such as \"{}\"", Example));
    return 0;
  }

  const Findings &findings() const { return Findings_; }

private:
  const ParsedOptions &Options_;
  Findings Findings_;
};

Json readSubmission(const ParsedOptions &Options, SubmissionReader &Reader) {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  Json Body;
  Body["contract"] = Reader.text("contract");
  Body["kind"] = Reader.text("kind");
  Body["idempotency_key"] = Reader.text("key");
  Body["tasks"] = Reader.count("tasks", 1, 1);
  Body["size"]["cpu_millicores"] = Reader.quantity("cpu", parseCpu, "2 cores");
  Body["size"]["memory_mib"] = Reader.quantity("memory", parseMemory, "4 GiB");
  Body["size"]["accelerators"] = Reader.count("accelerators", 0, 0);
  Body["run_time_ms"] = Reader.quantity("run-time", parseDuration, "10min") /
                        MicrosecondsPerMillisecond;
  Body["zones"] = Options.texts("zone");
  Body["urgent"] = Options.has("urgent");
  Body["payload"] = Options.text("payload");
  return Body;
}

CommandOutput submitJob(const Context &Ctx) {
  SubmissionReader Reader(Ctx.options());
  Json Body = readSubmission(Ctx.options(), Reader);
  if (!Reader.findings().empty())
    return Ctx.findingsOutput("filbertctl job submit", Reader.findings());
  EntryRequest Request{RequestKind::Write, HttpMethod::Post, "/v1/jobs",
                       compactText(Body)};
  CommandOutput Output = Ctx.call(Request, [&](const Json &Answer) {
    return Ctx.successOutput(Answer, memberText(Answer, "job") + "\n");
  });
  if (Output.Code_ == ExitCode::OutcomeUnknown)
    Output.Error_ += "filbertctl: submit again with the same --key; the job "
                     "is accepted once\n";
  return Output;
}

std::string describeTask(const Json &Task) {
  return fmt::format("{:>6}  {:<11}{:>8}  {:<20}{:<14}{}\n",
                     memberText(Task, "index"), memberText(Task, "state"),
                     memberText(Task, "attempt"), memberText(Task, "worker"),
                     memberText(Task, "zone"), memberText(Task, "reason"));
}

std::string describeJob(const Json &Body) {
  std::string Text =
      fmt::format("job {}: {} {} is {}\n", memberText(Body, "job"),
                  memberText(Body, "contract"), memberText(Body, "kind"),
                  memberText(Body, "state"));
  Text += fmt::format("{:>6}  {:<11}{:>8}  {:<20}{:<14}{}\n", "task", "state",
                      "attempt", "worker", "zone", "reason");
  for (const Json &Task : memberArray(Body, "tasks"))
    Text += describeTask(Task);
  return Text;
}

std::string jobPath(std::string_view Job) {
  return "/v1/jobs/" + pathSegment(Job);
}

CommandOutput showJob(const Context &Ctx) {
  return Ctx.call(
      {RequestKind::Read, HttpMethod::Get, jobPath(Ctx.argument(0)), {}},
      [&](const Json &Body) {
        return Ctx.successOutput(Body, describeJob(Body));
      });
}

CommandOutput cancelJob(const Context &Ctx) {
  EntryRequest Request{RequestKind::Write, HttpMethod::Post,
                       jobPath(Ctx.argument(0)) + "/cancel", "{}"};
  return Ctx.call(Request, [&](const Json &Body) {
    return Ctx.successOutput(Body, fmt::format("job {}: {}\n", Ctx.argument(0),
                                               memberText(Body, "state")));
  });
}

/// A reference to tasks on the command line: JOB or JOB/INDEX.
struct TaskReference {
  std::string Job_;
  /// Empty when all tasks of the job are meant.
  std::string Index_;
};

TaskReference parseTaskReference(const std::string &Text) {
  std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return {Text, {}};
  return {Text.substr(0, Slash), Text.substr(Slash + 1)};
}

CommandOutput explainTask(const Context &Ctx) {
  TaskReference Name = parseTaskReference(Ctx.argument(0));
  EntryRequest Request{
      RequestKind::Read, HttpMethod::Get, jobPath(Name.Job_) + "/explain", {}};
  return Ctx.call(Request, [&](const Json &Body) {
    Json Selected = Json::array();
    std::string Text;
    for (const Json &Task : memberArray(Body, "tasks")) {
      if (!Name.Index_.empty() && memberText(Task, "index") != Name.Index_)
        continue;
      Selected.push_back(Task);
      Text +=
          fmt::format("{}/{} {}: {}\n", Name.Job_, memberText(Task, "index"),
                      memberText(Task, "state"), memberText(Task, "why"));
    }
    if (Selected.empty())
      return Ctx.failureOutput(
          ExitCode::NotFound,
          fmt::format("task {} does not exist", Ctx.argument(0)));
    Json Document;
    Document["job"] = Name.Job_;
    Document["tasks"] = std::move(Selected);
    return Ctx.successOutput(Document, Text);
  });
}

constexpr std::array<OptionSpec, 11> SubmitOptions{{
    {"contract", "NAME", "the contract (required)"},
    {"kind", "NAME", "the kind of batch work (required)"},
    {"key", "TEXT", "idempotency key: a job is accepted once (required)"},
    {"tasks", "N", "number of tasks (default: 1)"},
    {"cpu", "AMOUNT", "processors of a task, such as '2 cores' (required)"},
    {"memory", "AMOUNT", "memory of a task, such as '4 GiB' (required)"},
    {"accelerators", "N", "accelerators of a task (default: 0)"},
    {"run-time", "TIME", "declared run time, such as 10min (required)"},
    {"zone", "NAME", "allowed zone; repeat it for several (default: all)"},
    {"urgent", "", "goes before waiting work that is not urgent"},
    {"payload", "TEXT", "what the tasks are to do"},
}};

constexpr std::array<Command, 4> JobCommandTable{{
    {"job submit", "", 0, 0, "submits a job and prints its identifier",
     "filbertctl job submit --contract denizkul-tours --kind permit-filing \\\n"
     "  --key permit-2026-0412 --cpu '1 cores' --memory '512 MiB' \\\n"
     "  --run-time 2min --payload 'voyage 412'",
     SubmitOptions, submitJob},
    {"job status",
     "JOB",
     1,
     1,
     "shows a job and its tasks",
     "filbertctl job status j-81f2",
     {},
     showJob},
    {"job cancel",
     "JOB",
     1,
     1,
     "cancels the tasks that have not ended",
     "filbertctl job cancel j-81f2",
     {},
     cancelJob},
    {"explain",
     "JOB[/INDEX]",
     1,
     1,
     "says why tasks are in their states",
     "filbertctl explain j-81f2\nfilbertctl explain j-81f2/0 --json",
     {},
     explainTask},
}};

} // namespace

std::span<const Command> jobCommands() { return JobCommandTable; }

} // namespace filbertspring::ctl_detail
