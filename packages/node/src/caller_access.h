#ifndef FILBERTSPRING_NODE_CALLER_ACCESS_H
#define FILBERTSPRING_NODE_CALLER_ACCESS_H

/// \file
/// Decides which calls are admitted by their key, and which jobs a caller may
/// see and change. Does no I/O itself.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/queue_table.h"
#include "workspace_keys.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace filbertspring::node {

/// Why the key of a call does not admit it.
enum class KeyRefusal {
  /// The call has no key.
  Missing,
  /// No workspace has the key.
  Unknown,
  /// The configuration may have changed since it was last confirmed.
  Outdated,
};

inline constexpr EnumTable<KeyRefusal, 3> KeyRefusalNames{{
    {KeyRefusal::Missing, "missing"},
    {KeyRefusal::Unknown, "unknown"},
    {KeyRefusal::Outdated, "outdated"},
}};

/// The jobs that a caller may see and change.
struct CallerScope {
  /// The deployment requires keys. Otherwise callers have access to all jobs.
  bool IsRestricted_ = false;
  /// The workspace of the caller's key; empty if the queue is public.
  std::string Workspace_;

  /// Returns whether the caller may see and change jobs of \p Owner, which is
  /// empty for jobs that belong to no workspace: those are open to everybody.
  bool covers(std::string_view Owner) const {
    return !IsRestricted_ || Owner.empty() || Owner == Workspace_;
  }
  friend bool operator==(const CallerScope &, const CallerScope &) = default;
};

/// The time after which a change of the configuration must be in force. Calls
/// whose key has to be checked are refused if the configuration was not
/// confirmed for longer than this. Below the promised 3,000 ms by a margin for
/// differences between the clocks of two machines in this time.
inline constexpr Duration MaxConfigurationAge = std::chrono::milliseconds(2900);

/// Returns the scope of a caller who sends \p Key (empty: none) to \p Target,
/// or why the call is refused.
/// \p Age: the time since the configuration was confirmed to be the newest.
std::variant<CallerScope, KeyRefusal>
checkCallerKey(const scheduling::QueueTable &Table, const WorkspaceKeys &Keys,
               const scheduling::Queue &Target, std::string_view Key,
               Duration Age);

/// Combines refusals, so that a crowd of callers without a valid key logs one
/// line of each kind in LogInterval.
class KeyRefusalLog {
public:
  static constexpr Duration LogInterval = std::chrono::seconds(1);

  /// Notes a refusal at \p Now. Returns how many a line has to report now, if
  /// one is due.
  std::optional<std::int64_t> noted(KeyRefusal Reason, TimePoint Now);

private:
  struct Kind {
    std::int64_t Unlogged_ = 0;
    TimePoint NextLineAt_{};
  };
  std::array<Kind, KeyRefusalNames.size()> Kinds_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CALLER_ACCESS_H
