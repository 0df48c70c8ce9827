#include "caller_access.h"

#include <utility>

namespace filbertspring::node {

std::variant<CallerScope, KeyRefusal>
checkCallerKey(const scheduling::QueueTable &Table, const WorkspaceKeys &Keys,
               const scheduling::Queue &Target, std::string_view Key,
               Duration Age) {
  if (!Table.requiresKeys())
    return CallerScope{};
  if (Target.IsPublic_)
    return CallerScope{.IsRestricted_ = true, .Workspace_ = {}};
  // Even a call without a key: it may not need one any longer.
  if (Age > MaxConfigurationAge)
    return KeyRefusal::Outdated;
  if (Key.empty())
    return KeyRefusal::Missing;
  const scheduling::Workspace *Owner = Keys.find(Key);
  if (!Owner)
    return KeyRefusal::Unknown;
  return CallerScope{.IsRestricted_ = true, .Workspace_ = Owner->Name_};
}

std::optional<std::int64_t> KeyRefusalLog::noted(KeyRefusal Reason,
                                                 TimePoint Now) {
  Kind &Noted = Kinds_[static_cast<std::size_t>(Reason)];
  ++Noted.Unlogged_;
  if (Now < Noted.NextLineAt_)
    return std::nullopt;
  Noted.NextLineAt_ = Now + LogInterval;
  return std::exchange(Noted.Unlogged_, 0);
}

} // namespace filbertspring::node
