#include "workspace_keys.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace filbertspring::node {
namespace {

/// The number of characters of a key that logs show.
constexpr std::size_t ShownCharacters = 4;
/// Shorter keys are not shown at all.
constexpr std::size_t MinShownKeyBytes = 12;

/// Compares two texts in a time that depends on their lengths alone.
bool isSameSecret(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  // Volatile, so that the compiler cannot end the loop at the first difference.
  volatile unsigned char Difference = 0;
  for (std::size_t Position = 0; Position < Left.size(); ++Position)
    Difference = static_cast<unsigned char>(
        Difference | (static_cast<unsigned char>(Left[Position]) ^
                      static_cast<unsigned char>(Right[Position])));
  return Difference == 0;
}

} // namespace

WorkspaceKeys::WorkspaceKeys(
    std::shared_ptr<const scheduling::QueueTable> Table, std::uint64_t Seed)
    : Table_(std::move(Table)), Seed_(Seed) {
  for (const scheduling::Workspace &Owner : Table_->Workspaces_) {
    for (const std::string &Key : Owner.Keys_) {
      const scheduling::Workspace *Earlier = find(Key);
      if (!Earlier)
        Entries_.emplace(hash(Key), Entry{&Key, &Owner});
      else if (Earlier != &Owner)
        Problems_.push_back(
            {Owner.Name_, fmt::format("the key {} belongs to {} already",
                                      shownKey(Key), Earlier->Name_)});
    }
  }
}

std::uint64_t WorkspaceKeys::hash(std::string_view Key) const {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Seed_);
}

const scheduling::Workspace *WorkspaceKeys::find(std::string_view Key) const {
  auto [First, Last] = Entries_.equal_range(hash(Key));
  for (auto It = First; It != Last; ++It)
    if (isSameSecret(*It->second.Key_, Key))
      return It->second.Workspace_;
  return nullptr;
}

std::string shownKey(std::string_view Key) {
  if (Key.size() < MinShownKeyBytes)
    return "(short)";
  return fmt::format("...{}", Key.substr(Key.size() - ShownCharacters));
}

} // namespace filbertspring::node
