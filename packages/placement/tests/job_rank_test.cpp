#include "filbertspring/placement/job_rank.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace filbertspring;
using namespace filbertspring::placement;

namespace {

const std::vector<InstanceName> Alive{InstanceName("a"), InstanceName("b"),
                                      InstanceName("c"), InstanceName("d")};

} // namespace

BOOST_AUTO_TEST_SUITE(job_rank)

BOOST_AUTO_TEST_CASE(gives_each_instance_a_different_rank_for_a_job) {
  for (int Number = 0; Number < 100; ++Number) {
    JobId Job("job-" + std::to_string(Number));
    std::set<std::size_t> Ranks;
    for (const InstanceName &Instance : Alive)
      Ranks.insert(jobRank(Job, Instance, Alive));
    BOOST_TEST(Ranks.size() == Alive.size());
    BOOST_TEST(*Ranks.rbegin() == Alive.size() - 1);
  }
}

BOOST_AUTO_TEST_CASE(gives_every_instance_the_first_rank_for_some_jobs) {
  std::set<InstanceName> FirstRanked;
  for (int Number = 0; Number < 100; ++Number)
    for (const InstanceName &Instance : Alive)
      if (jobRank(JobId("job-" + std::to_string(Number)), Instance, Alive) == 0)
        FirstRanked.insert(Instance);
  BOOST_TEST(FirstRanked.size() == Alive.size());
}

BOOST_AUTO_TEST_CASE(is_zero_without_known_instances) {
  BOOST_TEST(jobRank(JobId("job"), Alive[0], {}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
