#include "filbertspring/placement/job_rank.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace filbertspring::placement {
namespace {

std::pair<std::uint64_t, const InstanceName &>
scoreOf(const JobId &Job, const InstanceName &Instance) {
  std::uint64_t Seed = XXH3_64bits(Job.str().data(), Job.str().size());
  const std::string &Name = Instance.str();
  return {XXH3_64bits_withSeed(Name.data(), Name.size(), Seed), Instance};
}

} // namespace

std::size_t jobRank(const JobId &Job, const InstanceName &Self,
                    std::span<const InstanceName> Alive) {
  auto OwnScore = scoreOf(Job, Self);
  return std::ranges::count_if(Alive, [&](const InstanceName &Other) {
    return Other != Self && scoreOf(Job, Other) > OwnScore;
  });
}

} // namespace filbertspring::placement
