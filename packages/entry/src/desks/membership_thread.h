#ifndef FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_THREAD_H
#define FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_THREAD_H

/// \file
/// What the parts that run on the membership thread share.

#include "membership_desk.h"

#include "filbertspring/base/ring.h"
#include "filbertspring/membership/lease.h"
#include "filbertspring/membership/rack_assignment.h"

#include <functional>
#include <string>

namespace filbertspring {

/// Work for the membership thread: the handling of an answer or a message.
using MembershipTask = std::function<void()>;

/// What the parts of the membership thread share. Only \c Tasks_ is used by
/// other threads.
struct MembershipThread {
  MembershipThread(const Settings &Values, const MembershipPartners &Partners);

  /// Gives \p Task to the membership thread. A full ring drops it; whoever
  /// waits for an answer gives up after a time.
  void post(MembershipTask Task);

  const Settings &Values_;
  MembershipPartners Partners_;
  /// The name of this process among the instances. A restarted process has
  /// another one, so that it never takes what its predecessor may still use.
  InstanceName Self_;
  std::string Boot_;
  membership::InstancePlace Place_;
  membership::LeaseSettings Lease_;
  Ring<MembershipTask> Tasks_;
  /// What is shown to the threads that serve callers.
  EntrySnapshot Shown_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_MEMBERSHIP_THREAD_H
