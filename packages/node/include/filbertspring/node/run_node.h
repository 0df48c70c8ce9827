#ifndef FILBERTSPRING_NODE_RUN_NODE_H
#define FILBERTSPRING_NODE_RUN_NODE_H

/// \file
/// An instance on the users' platform.

namespace filbertspring::node {

/// Runs an instance until it is asked to stop. Returns the exit code: 0 ok,
/// 1 wrong usage, 2 findings in the settings, 3 failed.
int runNode(int ArgumentCount, char **Arguments);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_RUN_NODE_H
