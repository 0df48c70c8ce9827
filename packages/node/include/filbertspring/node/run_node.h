#ifndef FILBERTSPRING_NODE_RUN_NODE_H
#define FILBERTSPRING_NODE_RUN_NODE_H

/// \file
/// Entry point of an instance that runs on the users' platform.

namespace filbertspring::node {

/// Runs an instance until it receives SIGTERM or SIGINT. Returns the exit code:
/// 0 for a regular stop, 1 for invalid arguments, 2 for invalid settings, 3 if
/// an address cannot be listened on.
int runNode(int ArgumentCount, char **Arguments);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_RUN_NODE_H
