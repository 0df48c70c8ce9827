#ifndef FILBERTSPRING_DOMAIN_ZONE_H
#define FILBERTSPRING_DOMAIN_ZONE_H

/// \file
/// An availability zone and whether operators have put it in service.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"

#include <string>

namespace filbertspring {

/// Whether an availability zone may receive new work.
enum class ZoneState { InService, OutOfService };

inline constexpr EnumTable<ZoneState, 2> ZoneStateNames{
    {{ZoneState::InService, "in-service"},
     {ZoneState::OutOfService, "out-of-service"}}};

/// An availability zone as the table stores it.
struct AvailabilityZone {
  ZoneName Name_;
  RegionName Region_;
  ZoneState State_ = ZoneState::InService;
  /// Who made the last change, and why; informational.
  std::string ChangedBy_;
  std::string Reason_;

  bool inService() const { return State_ == ZoneState::InService; }
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_ZONE_H
