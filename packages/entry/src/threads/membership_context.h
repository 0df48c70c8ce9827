#ifndef FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_CONTEXT_H
#define FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_CONTEXT_H

/// \file
/// State shared by the components that run on the membership thread.

#include "membership_service.h"

#include "filbertspring/base/ring.h"
#include "filbertspring/membership/lease.h"
#include "filbertspring/membership/rack_assignment.h"

#include <functional>
#include <string>

namespace filbertspring {

/// A task for the membership thread, such as handling an answer or a message.
using MembershipTask = std::function<void()>;

/// State shared by the components that run on the membership thread. Other
/// threads use only \c Tasks_, through post().
struct MembershipContext {
  MembershipContext(const Settings &Values,
                    const MembershipDependencies &Dependencies);

  /// Queues \p Task for the membership thread. If the queue is full, the task
  /// is dropped and counted; a component that waits for an answer times out.
  void post(MembershipTask Task);

  const Settings &Settings_;
  MembershipDependencies Dependencies_;
  /// The name of this process among the entry instances. A restarted process
  /// has a different name, so that it never claims what the previous process
  /// may still use.
  InstanceName Self_;
  std::string BootId_;
  membership::InstancePlace Place_;
  membership::LeaseSettings Lease_;
  Ring<MembershipTask> Tasks_;
  /// The snapshot that is published to the threads that serve callers.
  EntrySnapshot Snapshot_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_MEMBERSHIP_CONTEXT_H
