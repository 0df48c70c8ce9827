#include "command.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

/// Returns the status reported by one entry instance, or an object without
/// "instance" when it reports none.
Json readStatus(const Context &Ctx, const Address &Entry) {
  Json Status;
  Status["address"] = Entry.toString();
  Result<EntryResponse> Answer = Ctx.client().sendTo(
      Entry, {RequestKind::Read, HttpMethod::Get, "/v1/admin/status", {}});
  Status["reachable"] = Answer.has_value();
  if (!Answer)
    return Status;
  Json Body = Json::parse(Answer->Body_, nullptr, false);
  if (Answer->Status_ == 200 && Body.is_object())
    Status.update(Body);
  return Status;
}

std::string describeInstance(const Json &Status) {
  std::string EntryAddress = memberText(Status, "address");
  if (!Status.contains("instance"))
    return fmt::format("{}: no answer\n", EntryAddress);
  std::string Text = fmt::format(
      "{} at {} in {}: {}{}, platform {}, head {}\n",
      memberText(Status, "instance"), EntryAddress, memberText(Status, "zone"),
      memberText(Status, "ready") == "true" ? "ready" : "not ready",
      memberText(Status, "draining") == "true" ? ", draining" : "",
      memberText(Status, "platform"), memberText(Status, "head"));
  for (const Json &Peer : memberArray(Status, "peers"))
    Text += fmt::format("  peer {} in {}: {}, head {}\n",
                        memberText(Peer, "name"), memberText(Peer, "zone"),
                        memberText(Peer, "connected") == "true" ? "connected"
                                                                : "cut off",
                        memberText(Peer, "head"));
  for (const Json &Rack : memberArray(Status, "racks_owned"))
    Text +=
        fmt::format("  rack {}\n",
                    Rack.is_string() ? Rack.get<std::string>() : Rack.dump());
  for (const Json &Worker : memberArray(Status, "workers"))
    Text += fmt::format("  worker {} in {}: {}, committed {} of {}\n",
                        memberText(Worker, "name"), memberText(Worker, "zone"),
                        memberText(Worker, "state"),
                        memberText(Worker, "committed"),
                        memberText(Worker, "capacity"));
  return Text;
}

CommandOutput showStatus(const Context &Ctx) {
  Json Document;
  Document["entries"] = Json::array();
  std::string Text;
  bool AnyAnswered = false;
  for (const Address &Entry : Ctx.client().entries()) {
    Json Status = readStatus(Ctx, Entry);
    AnyAnswered = AnyAnswered || Status.contains("instance");
    Text += describeInstance(Status);
    Document["entries"].push_back(std::move(Status));
  }
  if (!AnyAnswered)
    return Ctx.failureOutput(ExitCode::Unreachable,
                             "no entry instance answered", Document);
  return Ctx.successOutput(Document, Text);
}

constexpr std::array<Command, 1> StatusCommandTable{{
    {"status",
     "",
     0,
     0,
     "shows each entry instance that --entry names",
     "filbertctl status --entry 127.0.0.1:18101,127.0.0.1:18102",
     {},
     showStatus},
}};

} // namespace

std::span<const Command> statusCommands() { return StatusCommandTable; }

} // namespace filbertspring::ctl_detail
