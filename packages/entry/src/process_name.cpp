#include "process_name.h"

#include <fmt/format.h>
#include <random>

namespace filbertspring {

InstanceName makeProcessName(const InstanceName &Instance) {
  std::random_device Device;
  return InstanceName(
      fmt::format("{}.{:08x}{:08x}", Instance.str(), Device(), Device()));
}

std::uint64_t randomSeed() {
  constexpr unsigned HalfBits = 32;
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

std::string UniqueNameGenerator::next(const char *Kind) {
  return fmt::format("{}-{}-{}", Kind, Process_.str(), ++LastNumber_);
}

} // namespace filbertspring
