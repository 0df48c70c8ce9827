#ifndef FILBERTSPRING_NODE_JOB_CACHE_H
#define FILBERTSPRING_NODE_JOB_CACHE_H

/// \file
/// Cache of final job states. They never change, so a cached state saves a call
/// to the store.

#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/job.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertspring::node {

/// The final state of a job.
struct FinalJob {
  scheduling::JobState State_ = scheduling::JobState::Completed;
  /// Why the job failed; see JobProgress::Cause_.
  std::string Cause_;
  /// The workspace that the job belongs to, empty if to none; not set if it is
  /// not known here.
  std::optional<std::string> Workspace_ = {};
};

/// Keeps the final states of recent jobs. The size is limited; the state that
/// was inserted first is evicted first. Operations take constant time.
class JobCache {
public:
  void insertFinalState(const std::string &Job, FinalJob State);
  std::optional<FinalJob> finalState(const std::string &Job) const;

  /// How long a job's workspace remains known. The rows of a job are kept for
  /// longer after its end (SchedulerSettings::FinalStateRetention_), and its id
  /// cannot belong to another workspace before they are removed.
  static constexpr Duration OwnerValidity = std::chrono::seconds(100);
  /// Notes that \p Job, which had not ended at \p Time, belongs to
  /// \p Workspace.
  void insertOwner(const std::string &Job, const std::string &Workspace,
                   TimePoint Time);
  /// Returns the workspace that \p Job belongs to, if it is known at \p Now.
  std::optional<std::string> owner(const std::string &Job, TimePoint Now) const;

private:
  struct Owner {
    std::string Workspace_;
    TimePoint ValidUntil_;
  };

  std::unordered_map<std::string, FinalJob> FinalStates_;
  std::deque<std::string> InsertionOrder_;
  std::unordered_map<std::string, Owner> Owners_;
  std::deque<std::string> OwnerInsertionOrder_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_JOB_CACHE_H
