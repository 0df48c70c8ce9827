#ifndef FILBERTSPRING_NODE_SUCCESSOR_SEARCH_H
#define FILBERTSPRING_NODE_SUCCESSOR_SEARCH_H

/// \file
/// The search for an instance that can own the cell better than its present
/// owner.
///
/// The owner of a large cell needs the processor and the link of a strong
/// instance. A weak one becomes the owner if the strong ones are away at that
/// moment; on a saturated owner, ends, cancellations and starts wait.

#include "filbertspring/transport/async_http_client.h"
#include "worker_routes.h"

#include <functional>
#include <string_view>
#include <vector>

namespace filbertspring::node {

/// The path on which an instance answers with status 200 if it can take the
/// cell over.
inline constexpr std::string_view CandidatePath = "/candidate";

/// Returns those of \p Instances that should own the cell rather than an
/// instance with \p OwnCores, the strongest first, at most \p MaxCount.
std::vector<RelayCandidate>
selectSuccessors(std::vector<RelayCandidate> Instances, double OwnCores,
                 std::size_t MaxCount);

/// Asks other instances whether they can take the cell over.
class SuccessorSearch {
public:
  explicit SuccessorSearch(EventLoop &Loop);

  /// Asks \p Candidates, and calls \p Found for each that can take the cell
  /// over. A candidate that does not answer soon is ignored.
  void run(const std::vector<RelayCandidate> &Candidates,
           const std::function<void()> &Found);

private:
  AsyncHttpClient Client_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_SUCCESSOR_SEARCH_H
