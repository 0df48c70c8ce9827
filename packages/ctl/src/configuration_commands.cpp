#include "command.h"

#include "filbertspring/config/text_file.h"
#include "filbertspring/scheduling/configuration_check.h"
#include "platform/configuration_codec.h"
#include "platform/configuration_errors.h"

#include <array>
#include <fmt/format.h>
#include <optional>

namespace filbertspring::ctl_detail {
namespace {

using scheduling::ChangeKind;
using scheduling::ConfigurationChange;
using scheduling::QueueTable;

/// A configuration that was read from a file, or why it cannot be used.
struct ReadConfiguration {
  std::optional<QueueTable> Table_;
  Findings Errors_;
  /// Why the file could not be read; empty if it could.
  std::string Unreadable_;
};

ReadConfiguration readConfiguration(const std::string &Path) {
  ReadConfiguration Read;
  Result<std::string> Text = readTextFile(Path);
  if (!Text) {
    Read.Unreadable_ = fmt::format("{}: {}", Path, Text.error().message());
    return Read;
  }
  Result<QueueTable> Table = platform::decodeConfiguration(*Text);
  if (Table)
    Read.Table_ = std::move(*Table);
  else
    Read.Errors_ = platform::findConfigurationErrors(*Text);
  return Read;
}

std::string describeChange(const ConfigurationChange &Change) {
  switch (Change.Kind_) {
  case ChangeKind::Added:
    return fmt::format("+ {} {}\n", Change.Place_, Change.After_);
  case ChangeKind::Removed:
    return fmt::format("- {} {}\n", Change.Place_, Change.Before_);
  case ChangeKind::Changed:
    break;
  }
  return fmt::format("~ {}: {} -> {}\n", Change.Place_, Change.Before_,
                     Change.After_);
}

Json changesToJson(const std::vector<ConfigurationChange> &Changes) {
  Json Array = Json::array();
  for (const ConfigurationChange &Change : Changes)
    Array.push_back({{"kind", std::string(nameOf(scheduling::ChangeKindNames,
                                                 Change.Kind_))},
                     {"place", Change.Place_},
                     {"before", Change.Before_},
                     {"after", Change.After_}});
  return Array;
}

CommandOutput unreadableOutput(const Context &Ctx, const std::string &Problem) {
  CommandOutput Output{
      ExitCode::Unreadable, {}, fmt::format("filbertctl: {}\n", Problem)};
  if (Ctx.options().has("json"))
    Output.Out_ = fmt::format("{}\n", compactText(Json{{"exit", "unreadable"},
                                                       {"message", Problem}}));
  return Output;
}

CommandOutput checkConfigurationFile(const Context &Ctx) {
  const std::string &Path = Ctx.argument(0);
  ReadConfiguration Checked = readConfiguration(Path);
  if (!Checked.Unreadable_.empty())
    return unreadableOutput(Ctx, Checked.Unreadable_);
  if (!Checked.Table_)
    return Ctx.findingsOutput(Path, Checked.Errors_);
  std::vector<ConfigurationChange> Changes;
  if (Ctx.options().has("against")) {
    std::string Other = Ctx.options().text("against");
    ReadConfiguration InForce = readConfiguration(Other);
    if (!InForce.Unreadable_.empty())
      return unreadableOutput(Ctx, InForce.Unreadable_);
    if (!InForce.Table_)
      return Ctx.findingsOutput(Other, InForce.Errors_);
    Changes = compareConfigurations(*InForce.Table_, *Checked.Table_);
  }
  std::string Text;
  for (const ConfigurationChange &Change : Changes)
    Text += describeChange(Change);
  Findings Found = checkConfiguration(*Checked.Table_);
  Json Document = {{"changes", changesToJson(Changes)}};
  if (Found.empty())
    return Ctx.successOutput(Document, Text + "nothing found\n");
  CommandOutput Output = Ctx.findingsOutput(Path, Found, std::move(Document));
  if (!Ctx.options().has("json"))
    Output.Out_ = std::move(Text);
  return Output;
}

constexpr std::array<OptionSpec, 1> CheckConfigurationOptions{{
    {"against", "FILE", "also print the differences from this configuration"},
}};

constexpr std::array<Command, 1> ConfigurationCommandTable{{
    {"check-configuration", "FILE", 1, 1,
     "checks a configuration of the users' platform; sends nothing",
     "filbertctl check-configuration new.json --against in-force.json",
     CheckConfigurationOptions, checkConfigurationFile, false},
}};

} // namespace

std::span<const Command> configurationCommands() {
  return ConfigurationCommandTable;
}

} // namespace filbertspring::ctl_detail
