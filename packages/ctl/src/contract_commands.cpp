#include "command.h"

#include "expected_version.h"

#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/text_file.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

EntryRequest makeContractRequest(std::string_view Name) {
  return {RequestKind::Read,
          HttpMethod::Get,
          "/v1/admin/contracts/" + pathSegment(Name),
          {}};
}

/// The availability zones reported by an entry instance.
struct ZoneList {
  /// False when no entry instance answered the request.
  bool Received_ = false;
  std::vector<ZoneName> Names_;
};

ZoneList readZones(const Context &Ctx) {
  ZoneList Zones;
  Ctx.call({RequestKind::Read, HttpMethod::Get, "/v1/admin/zones", {}},
           [&](const Json &Body) {
             Zones.Received_ = true;
             for (const Json &Zone : memberArray(Body, "zones"))
               Zones.Names_.emplace_back(memberText(Zone, "name"));
             return CommandOutput();
           });
  return Zones;
}

/// Calls \p Handler with the contract parsed from the file named on the command
/// line, or returns a failure when the file is unreadable or invalid.
CommandOutput withContractFile(
    const Context &Ctx,
    const std::function<CommandOutput(const Contract &)> &Handler) {
  const std::string &Path = Ctx.argument(0);
  Result<std::string> Text = readTextFile(Path);
  if (!Text)
    return Ctx.failureOutput(
        ExitCode::Usage, fmt::format("{}: {}", Path, Text.error().message()));
  // The file is validated even when no instance answers, so that its findings
  // take precedence over the connection error.
  ZoneList Zones = readZones(Ctx);
  ParsedContract Parsed = parseContract(*Text, Zones.Names_);
  if (!Parsed.Terms_)
    return Ctx.findingsOutput(Path, Parsed.Findings_);
  if (!Zones.Received_)
    return Ctx.failureOutput(
        ExitCode::Unreachable,
        "no entry instance told the availability zones; nothing "
        "was changed");
  return Handler(*Parsed.Terms_);
}

CommandOutput sendContract(const Context &Ctx, const Contract &Terms,
                           std::int64_t Expected) {
  Json Body;
  Body["terms"] = Json::parse(writeContract(Terms), nullptr, false);
  Body["expected_version"] = Expected;
  Body["changed_by"] = Ctx.operatorName();
  EntryRequest Request{RequestKind::Write, HttpMethod::Put,
                       "/v1/admin/contracts/" + pathSegment(Terms.Name_.str()),
                       compactText(Body)};
  return Ctx.call(Request, [&](const Json &Answer) {
    return Ctx.successOutput(
        Answer, fmt::format("contract {}: version {} is accepted\n",
                            Terms.Name_.str(), memberText(Answer, "version")));
  });
}

CommandOutput applyContract(const Context &Ctx) {
  return withContractFile(Ctx, [&](const Contract &Terms) {
    return withExpectedVersion(Ctx, makeContractRequest(Terms.Name_.str()),
                               [&](std::int64_t Expected) {
                                 return sendContract(Ctx, Terms, Expected);
                               });
  });
}

CommandOutput showContract(const Context &Ctx) {
  return Ctx.call(makeContractRequest(Ctx.argument(0)), [&](const Json &Body) {
    Json Terms = Body.value("terms", Json::object());
    return Ctx.successOutput(Body, fmt::format("// version {} by {}\n{}\n",
                                               memberText(Body, "version"),
                                               memberText(Body, "changed_by"),
                                               Terms.dump(2)));
  });
}

CommandOutput listContracts(const Context &Ctx) {
  EntryRequest Request{
      RequestKind::Read, HttpMethod::Get, "/v1/admin/contracts", {}};
  return Ctx.call(Request, [&](const Json &Body) {
    std::string Text =
        fmt::format("{:<32}{:>10}  {}\n", "contract", "version", "changed by");
    for (const Json &Item : memberArray(Body, "contracts"))
      Text += fmt::format("{:<32}{:>10}  {}\n", memberText(Item, "name"),
                          memberText(Item, "version"),
                          memberText(Item, "changed_by"));
    return Ctx.successOutput(Body, Text);
  });
}

/// Formats each operation of the JSON patch \p Patch, which applies to
/// \p Before, on one line.
std::string describePatch(const Json &Before, const Json &Patch) {
  std::string Text;
  for (const Json &Operation : Patch) {
    std::string Path = memberText(Operation, "path");
    Json::json_pointer Pointer(Path);
    if (memberText(Operation, "op") == "add")
      Text += fmt::format("+ {}: {}\n", Path, Operation["value"].dump());
    else if (memberText(Operation, "op") == "remove")
      Text += fmt::format("- {}: {}\n", Path, Before[Pointer].dump());
    else
      Text += fmt::format("~ {}: {} -> {}\n", Path, Before[Pointer].dump(),
                          Operation["value"].dump());
  }
  return Text.empty() ? "no difference\n" : Text;
}

/// Returns the terms in \p InForce, normalized to the units that
/// writeContract() uses.
Json canonicalTerms(const Json &InForce) {
  Json Terms = InForce.value("terms", Json::object());
  ParsedContract Parsed = parseContract(compactText(Terms), {});
  return Parsed.Terms_ ? Json::parse(writeContract(*Parsed.Terms_)) : Terms;
}

CommandOutput showDifference(const Context &Ctx, const Json &InForce,
                             const Contract &Terms) {
  Json Before = canonicalTerms(InForce);
  Json After = Json::parse(writeContract(Terms), nullptr, false);
  Json Document;
  Document["version"] = InForce.value("version", Json(0));
  Document["patch"] = Json::diff(Before, After);
  return Ctx.successOutput(Document, describePatch(Before, Document["patch"]));
}

CommandOutput diffContract(const Context &Ctx) {
  return withContractFile(Ctx, [&](const Contract &Terms) {
    return Ctx.call(
        makeContractRequest(Terms.Name_.str()),
        [&](const Json &Body) { return showDifference(Ctx, Body, Terms); });
  });
}

constexpr std::array<Command, 4> ContractCommandTable{{
    {"contract apply",
     "FILE",
     1,
     1,
     "checks a contract file and puts it in force",
     "filbertctl contract apply contract.json --entry 127.0.0.1:18101\n"
     "filbertctl contract apply contract.json --expected-version 7",
     {},
     applyContract},
    {"contract show",
     "NAME",
     1,
     1,
     "prints a contract in force as a file",
     "filbertctl contract show denizkul-tours > contract.json",
     {},
     showContract},
    {"contract list",
     "",
     0,
     0,
     "lists the contracts in force",
     "filbertctl contract list --json",
     {},
     listContracts},
    {"contract diff",
     "FILE",
     1,
     1,
     "shows what apply would change, place by place",
     "filbertctl contract diff contract.json",
     {},
     diffContract},
}};

} // namespace

std::span<const Command> contractCommands() { return ContractCommandTable; }

} // namespace filbertspring::ctl_detail
