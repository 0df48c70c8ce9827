#include "command.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

/// Returns what one entry instance says of itself, or an object without
/// "instance" when it does not answer.
Json readStatus(const Context &Run, const Address &Entry) {
  Json Status;
  Status["address"] = Entry.toString();
  Result<Reply> Answer = Run.client().sendTo(
      Entry, {CallKind::Read, HttpMethod::Get, "/v1/admin/status", {}});
  Status["reachable"] = Answer.has_value();
  if (!Answer)
    return Status;
  Json Body = Json::parse(Answer->Body_, nullptr, false);
  if (Answer->Status_ == 200 && Body.is_object())
    Status.update(Body);
  return Status;
}

std::string describeInstance(const Json &Status) {
  std::string Where = memberText(Status, "address");
  if (!Status.contains("instance"))
    return fmt::format("{}: no answer\n", Where);
  std::string Text = fmt::format(
      "{} at {} in {}: {}{}, platform {}, head {}\n",
      memberText(Status, "instance"), Where, memberText(Status, "zone"),
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

CommandOutput showStatus(const Context &Run) {
  Json Document;
  Document["entries"] = Json::array();
  std::string Text;
  bool Any = false;
  for (const Address &Entry : Run.client().entries()) {
    Json Status = readStatus(Run, Entry);
    Any = Any || Status.contains("instance");
    Text += describeInstance(Status);
    Document["entries"].push_back(std::move(Status));
  }
  if (!Any)
    return Run.failed(ExitCode::Unreachable, "no entry instance answered",
                      Document);
  return Run.done(Document, Text);
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
