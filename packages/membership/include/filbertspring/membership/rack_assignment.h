#ifndef FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H
#define FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H

/// \file
/// Assigns racks to the instances that should schedule them, and limits the
/// rate of takeovers.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring::membership {

/// An instance and the zone in which it runs.
struct InstancePlace {
  InstanceName Name_;
  ZoneName Zone_;
};

/// Returns the instance that should schedule \p Rack: by rendezvous hashing
/// over the instances of the rack's zone, or over all instances when that zone
/// has none. Returns std::nullopt when \p Live is empty. Linear in \p Live.
std::optional<InstanceName> schedulerOf(const RackName &Rack,
                                        const ZoneName &Zone,
                                        const std::vector<InstancePlace> &Live);

/// Limits on the takeovers by one instance.
struct TakeoverSettings {
  /// Each takeover is delayed by a pseudo-random time up to this; the seed
  /// determines it.
  Duration Jitter_ = std::chrono::seconds(2);
  /// Maximum number of takeovers per second.
  std::int32_t MaxPerSecond_ = 4;
};

/// Spreads the takeovers of one instance over time, so that the failure of
/// another instance causes no burst of writes. Not thread-safe.
class TakeoverPacer {
public:
  TakeoverPacer(TakeoverSettings Settings, std::uint64_t Seed);
  ~TakeoverPacer();
  TakeoverPacer(TakeoverPacer &&) noexcept;
  TakeoverPacer &operator=(TakeoverPacer &&) noexcept;

  /// Returns the racks whose takeover should be attempted now. \p Wanted
  /// contains the racks that are assigned to this instance and held by none. A
  /// returned rack is delayed again before it is returned the next time.
  std::vector<RackName> due(const std::set<RackName> &Wanted, TimePoint Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H
