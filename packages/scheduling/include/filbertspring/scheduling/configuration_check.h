#ifndef FILBERTSPRING_SCHEDULING_CONFIGURATION_CHECK_H
#define FILBERTSPRING_SCHEDULING_CONFIGURATION_CHECK_H

/// \file
/// Checks a configuration before an operator sends it, and compares it with the
/// one in force.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/finding.h"
#include "filbertspring/scheduling/queue_table.h"

#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// Returns the entries of \p Table that can never have an effect, and the
/// limits that contradict each other. Places are of the form "queue NAME".
Findings checkConfiguration(const QueueTable &Table);

enum class ChangeKind { Added, Removed, Changed };

inline constexpr EnumTable<ChangeKind, 3> ChangeKindNames{{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Changed, "changed"},
}};

/// A difference between two configurations.
struct ConfigurationChange {
  ChangeKind Kind_ = ChangeKind::Changed;
  /// The entry and its field, such as "queue album: priority".
  std::string Place_;
  /// The values before and after; empty if there is none.
  std::string Before_;
  std::string After_;

  friend bool operator==(const ConfigurationChange &,
                         const ConfigurationChange &) = default;
};

/// Returns the differences between \p Before and \p After. Entries are
/// identified by their names. Keys are shown as in shortenedKey().
std::vector<ConfigurationChange> compareConfigurations(const QueueTable &Before,
                                                       const QueueTable &After);

/// Returns the last four characters of \p Key after an ellipsis, or only the
/// ellipsis if the key is so short that they would reveal most of it.
std::string shortenedKey(std::string_view Key);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_CONFIGURATION_CHECK_H
