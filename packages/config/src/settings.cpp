#include "filbertspring/config/settings.h"

namespace filbertspring {

std::vector<ZoneName> Settings::zoneNames() const {
  std::vector<ZoneName> Names;
  for (const ZoneSettings &Zone : Zones_)
    Names.push_back(Zone.Name_);
  return Names;
}

} // namespace filbertspring
