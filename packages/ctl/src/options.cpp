#include "options.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <map>

namespace filbertspring::ctl_detail {

struct ParsedOptions::Impl {
  std::map<std::string, std::vector<std::string>, std::less<>> Values_;
  std::vector<std::string> Arguments_;
};

ParsedOptions::ParsedOptions() : Impl_(std::make_unique<Impl>()) {}
ParsedOptions::~ParsedOptions() = default;
ParsedOptions::ParsedOptions(ParsedOptions &&) noexcept = default;
ParsedOptions &ParsedOptions::operator=(ParsedOptions &&) noexcept = default;

bool ParsedOptions::has(std::string_view Name) const {
  return Impl_->Values_.contains(Name);
}

std::string ParsedOptions::text(std::string_view Name) const {
  auto Entry = Impl_->Values_.find(Name);
  return Entry == Impl_->Values_.end() ? std::string() : Entry->second.back();
}

std::vector<std::string> ParsedOptions::texts(std::string_view Name) const {
  auto Entry = Impl_->Values_.find(Name);
  return Entry == Impl_->Values_.end() ? std::vector<std::string>()
                                       : Entry->second;
}

const std::vector<std::string> &ParsedOptions::arguments() const {
  return Impl_->Arguments_;
}

tl::expected<ParsedOptions, std::string>
parseOptions(std::span<const OptionSpec> Specs,
             const std::vector<std::string> &Arguments) {
  cxxopts::Options Options("filbertctl");
  for (const OptionSpec &Spec : Specs) {
    if (Spec.Placeholder_.empty())
      Options.add_options()(std::string(Spec.Name_), "");
    else
      Options.add_options()(std::string(Spec.Name_), "",
                            cxxopts::value<std::string>());
  }
  std::vector<const char *> RawArguments{"filbertctl"};
  for (const std::string &Argument : Arguments)
    RawArguments.push_back(Argument.c_str());
  ParsedOptions Parsed;
  try {
    auto Result = Options.parse(static_cast<int>(RawArguments.size()),
                                RawArguments.data());
    for (const cxxopts::KeyValue &Option : Result.arguments())
      Parsed.Impl_->Values_[Option.key()].push_back(Option.value());
    Parsed.Impl_->Arguments_ = Result.unmatched();
  } catch (const std::exception &Error) {
    return tl::unexpected(std::string(Error.what()));
  }
  return Parsed;
}

std::string describeOptions(std::span<const OptionSpec> Specs) {
  std::string Text;
  for (const OptionSpec &Spec : Specs) {
    std::string LeftColumn =
        fmt::format("--{} {}", Spec.Name_, Spec.Placeholder_);
    Text += fmt::format("  {:<26} {}\n", LeftColumn, Spec.Help_);
  }
  return Text;
}

} // namespace filbertspring::ctl_detail
