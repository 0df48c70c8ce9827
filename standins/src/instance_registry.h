#ifndef FILBERTSPRING_STANDINS_INSTANCE_REGISTRY_H
#define FILBERTSPRING_STANDINS_INSTANCE_REGISTRY_H

/// \file
/// The platform's list of instances, which can be read with a delay.

#include "filbertspring/base/time.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace filbertspring {

/// Keeps the history of each instance's entry, so that the list can be returned
/// as of an earlier time.
class InstanceRegistry {
public:
  /// Sets the entry of \p Name; null removes it. Times must not decrease.
  void set(const std::string &Name, nlohmann::json Entry, TimePoint Now);
  /// Returns the list as it was at \p AsOf, ordered by name.
  nlohmann::json listAt(TimePoint AsOf) const;

private:
  struct Version {
    TimePoint Since_;
    nlohmann::json Entry_;
  };
  std::map<std::string, std::vector<Version>> History_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_INSTANCE_REGISTRY_H
