#ifndef FILBERTSPRING_NODE_WORKSPACE_KEYS_H
#define FILBERTSPRING_NODE_WORKSPACE_KEYS_H

/// \file
/// Finds the workspace to which a caller's key belongs.

#include "filbertspring/scheduling/queue_table.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertspring::node {

/// The keys of all workspaces of one configuration.
///
/// A lookup hashes the key and compares it with the key of the same hash, if
/// there is one. So its cost does not depend on the number of keys. Its time
/// reveals no part of a key: the comparison always examines all bytes, and
/// callers cannot compute the hash, since they do not know the seed.
class WorkspaceKeys {
public:
  WorkspaceKeys() = default;
  /// \p Seed: of the hash; should be random.
  WorkspaceKeys(std::shared_ptr<const scheduling::QueueTable> Table,
                std::uint64_t Seed);

  /// Returns the workspace of \p Key, or null if no workspace has the key.
  const scheduling::Workspace *find(std::string_view Key) const;
  /// Returns the workspaces with a key that already belongs to an earlier one
  /// in the list. Such a key remains that of the earlier workspace.
  const std::vector<scheduling::WorkspaceProblem> &problems() const {
    return Problems_;
  }

private:
  struct Entry {
    /// Owned by Table_, like the workspace.
    const std::string *Key_ = nullptr;
    const scheduling::Workspace *Workspace_ = nullptr;
  };

  std::uint64_t hash(std::string_view Key) const;

  std::shared_ptr<const scheduling::QueueTable> Table_;
  std::uint64_t Seed_ = 0;
  /// By hash.
  std::unordered_multimap<std::uint64_t, Entry> Entries_;
  std::vector<scheduling::WorkspaceProblem> Problems_;
};

/// Returns the end of \p Key, by which people recognize it, for logs; nothing
/// of a key so short that its end would be a large part of it.
std::string shownKey(std::string_view Key);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKSPACE_KEYS_H
