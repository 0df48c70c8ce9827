#ifndef FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H
#define FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H

/// \file
/// Which instance should schedule which rack, and how fast racks are taken
/// over.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring::membership {

/// An instance and where it runs.
struct InstancePlace {
  InstanceName Name_;
  ZoneName Zone_;
};

/// Returns the instance that should schedule \p Rack: by rendezvous hashing
/// over the instances of the rack's zone, or over all when that zone has none.
/// Nothing when \p Live is empty. Linear in \p Live.
std::optional<InstanceName> schedulerOf(const RackName &Rack,
                                        const ZoneName &Zone,
                                        const std::vector<InstancePlace> &Live);

/// The pace of takeovers by one instance.
struct TakeoverSettings {
  /// Each takeover waits a part of this, which its seed decides.
  Duration Jitter_ = std::chrono::seconds(2);
  /// Takeovers per second.
  std::int32_t MaxPerSecond_ = 4;
};

/// Spreads the takeovers of one instance over time, so that the death of
/// another makes no burst of writes. Not thread-safe.
class TakeoverPacer {
public:
  TakeoverPacer(TakeoverSettings Settings, std::uint64_t Seed);
  ~TakeoverPacer();
  TakeoverPacer(TakeoverPacer &&) noexcept;
  TakeoverPacer &operator=(TakeoverPacer &&) noexcept;

  /// Returns the racks to try to take now, out of those in \p Wanted: assigned
  /// to this instance and held by none. A rack returned is delayed anew before
  /// it is returned again.
  std::vector<RackName> due(const std::set<RackName> &Wanted, TimePoint Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_RACK_ASSIGNMENT_H
