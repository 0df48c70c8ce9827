#include "filbertspring/ctl/command_line.h"

#include "command.h"

#include "filbertspring/config/address_text.h"
#include "filbertspring/config/units.h"

#include <cstdlib>
#include <fmt/format.h>
#include <sstream>

namespace filbertspring {
namespace {

using namespace ctl_detail;
using namespace std::chrono_literals;

constexpr Duration DefaultTimeout = 5s;
constexpr const char *EntryVariable = "FILBERTSPRING_ENTRY";

std::vector<Command> allCommands() {
  std::vector<Command> Commands;
  for (std::span<const Command> Group :
       {contractCommands(), zoneCommands(), jobCommands(), reportCommands(),
        statusCommands()})
    Commands.insert(Commands.end(), Group.begin(), Group.end());
  return Commands;
}

std::string describeExitCodes() {
  std::string Text = "Exit codes:";
  for (const EnumName<ExitCode> &Entry : ExitCodeNames)
    Text += fmt::format(" {} {}{}", static_cast<int>(Entry.Value_), Entry.Name_,
                        Entry.Value_ == ExitCode::OutcomeUnknown ? "\n" : ",");
  return Text;
}

std::string helpText() {
  std::string Text = "Usage: filbertctl COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command &Item : allCommands())
    Text += fmt::format("  {:<26} {}\n",
                        fmt::format("{} {}", Item.Name_, Item.Arguments_),
                        Item.Summary_);
  return Text + "\nOptions of all commands:\n" +
         describeOptions(CommonOptions) + "\n" + describeExitCodes() +
         "\nfilbertctl COMMAND --help shows examples.\n";
}

std::string helpText(const Command &Item) {
  std::string Text = fmt::format("Usage: filbertctl {}{}{} [OPTIONS]\n\n{}\n",
                                 Item.Name_, Item.Arguments_.empty() ? "" : " ",
                                 Item.Arguments_, Item.Summary_);
  if (!Item.Options_.empty())
    Text += "\nOptions:\n" + describeOptions(Item.Options_);
  Text += "\nOptions of all commands:\n" + describeOptions(CommonOptions);
  std::istringstream Lines{std::string(Item.Examples_)};
  Text += "\nExamples:\n";
  for (std::string Line; std::getline(Lines, Line);)
    Text += fmt::format("  {}\n", Line);
  return Text + "\n" + describeExitCodes();
}

CommandOutput usageError(std::string_view Message) {
  return {ExitCode::Usage,
          {},
          fmt::format("filbertctl: {}\nfilbertctl --help shows the commands\n",
                      Message)};
}

/// Returns the number of words of \p Item that begin \p Arguments, 0 when
/// they do not name it.
std::size_t matchCommand(const Command &Item,
                         const std::vector<std::string> &Arguments) {
  std::istringstream Words{std::string(Item.Name_)};
  std::size_t Count = 0;
  for (std::string Word; Words >> Word; ++Count)
    if (Count >= Arguments.size() || Arguments[Count] != Word)
      return 0;
  return Count;
}

/// Reads the addresses of --entry or of the environment.
tl::expected<std::vector<Address>, std::string>
readEntries(const ParsedOptions &Options) {
  std::vector<std::string> Lists = Options.texts("entry");
  if (const char *Default = std::getenv(EntryVariable);
      Default && Lists.empty())
    Lists.emplace_back(Default);
  std::vector<Address> Entries;
  for (const std::string &List : Lists) {
    std::istringstream Items(List);
    for (std::string Item; std::getline(Items, Item, ',');) {
      std::optional<Address> Parsed = parseAddress(Item);
      if (!Parsed)
        return tl::unexpected(
            fmt::format("\"{}\" is not an IP number and a port", Item));
      Entries.push_back(std::move(*Parsed));
    }
  }
  if (Entries.empty())
    return tl::unexpected(fmt::format(
        "no entry instance is named: use --entry or ${}", EntryVariable));
  return Entries;
}

/// Reads --timeout.
tl::expected<Duration, std::string> readTimeout(const ParsedOptions &Options) {
  if (!Options.has("timeout"))
    return DefaultTimeout;
  ParsedQuantity<Duration> Given = parseDuration(Options.text("timeout"));
  if (!Given)
    return tl::unexpected(fmt::format(
        "--timeout {}", nameOf(QuantityErrorMessages, Given.error())));
  if (*Given < 1ms || *Given > 10min)
    return tl::unexpected(std::string("--timeout is from 1ms to 10min"));
  return *Given;
}

CommandOutput runCommand(const Command &Item,
                         const std::vector<std::string> &Arguments) {
  std::vector<OptionSpec> Specs(CommonOptions.begin(), CommonOptions.end());
  Specs.insert(Specs.end(), Item.Options_.begin(), Item.Options_.end());
  auto Options = parseOptions(Specs, Arguments);
  if (!Options)
    return usageError(Options.error());
  if (Options->has("help"))
    return {ExitCode::Done, helpText(Item), {}};
  std::size_t Count = Options->arguments().size();
  if (Count < Item.MinArguments_ || Count > Item.MaxArguments_)
    return usageError(fmt::format("usage: {} {}", Item.Name_, Item.Arguments_));
  auto Entries = readEntries(*Options);
  if (!Entries)
    return usageError(Entries.error());
  auto Timeout = readTimeout(*Options);
  if (!Timeout)
    return usageError(Timeout.error());
  return Item.Run_(
      Context(std::move(*Options), EntryClient(std::move(*Entries), *Timeout)));
}

CommandOutput findAndRun(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return usageError("no command");
  if (Arguments[0] == "--help" || Arguments[0] == "help")
    return {ExitCode::Done, helpText(), {}};
  for (const Command &Item : allCommands())
    if (std::size_t Words = matchCommand(Item, Arguments); Words > 0)
      return runCommand(Item,
                        {Arguments.begin() + static_cast<std::ptrdiff_t>(Words),
                         Arguments.end()});
  return usageError(fmt::format("unknown command \"{}\"", Arguments[0]));
}

} // namespace

CommandOutput runCommandLine(const std::vector<std::string> &Arguments) {
  try {
    return findAndRun(Arguments);
  } catch (const std::exception &Error) {
    // Thrown by a library, perhaps after a change was sent.
    return {ExitCode::OutcomeUnknown,
            {},
            fmt::format("filbertctl: internal error: {}; a change may have "
                        "taken effect\n",
                        Error.what())};
  }
}

} // namespace filbertspring
