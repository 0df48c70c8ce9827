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

BOOST_AUTO_TEST_CASE(orders_the_instances_for_each_job) {
  for (int Number = 0; Number < 100; ++Number) {
    JobId Job("job-" + std::to_string(Number));
    std::set<std::size_t> Ranks;
    for (const InstanceName &Each : Alive)
      Ranks.insert(jobRank(Job, Each, Alive));
    BOOST_TEST(Ranks.size() == Alive.size());
    BOOST_TEST(*Ranks.rbegin() == Alive.size() - 1);
  }
}

BOOST_AUTO_TEST_CASE(gives_every_instance_some_jobs) {
  std::set<InstanceName> First;
  for (int Number = 0; Number < 100; ++Number)
    for (const InstanceName &Each : Alive)
      if (jobRank(JobId("job-" + std::to_string(Number)), Each, Alive) == 0)
        First.insert(Each);
  BOOST_TEST(First.size() == Alive.size());
}

BOOST_AUTO_TEST_CASE(takes_an_instance_that_sees_nobody_for_the_first) {
  BOOST_TEST(jobRank(JobId("job"), Alive[0], {}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
