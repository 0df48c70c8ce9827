#include "filbertspring/placement/worker_choice.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspring;
using namespace filbertspring::placement;

namespace {

Resources resources(int Cores, int Gibibytes, int AcceleratorCount) {
  return {Millicores(Cores * 1000), Mebibytes(Gibibytes * 1024),
          Accelerators(AcceleratorCount)};
}

const Resources PlainCapacity = resources(60, 250, 0);
const Resources CapacityWithAccelerators = resources(60, 250, 4);

} // namespace

BOOST_AUTO_TEST_SUITE(worker_choice)

BOOST_AUTO_TEST_CASE(leaves_the_least_room) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), PlainCapacity, resources(50, 100, 0)},
      {WorkerName("b"), PlainCapacity, resources(8, 100, 0)},
      {WorkerName("c"), PlainCapacity, resources(4, 100, 0)}};
  BOOST_TEST(chooseWorker(Candidates, resources(5, 1, 0)).value() == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_accelerators_for_tasks_that_need_them) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), CapacityWithAccelerators, resources(8, 100, 4)},
      {WorkerName("b"), PlainCapacity, resources(50, 100, 0)}};
  BOOST_TEST(chooseWorker(Candidates, resources(5, 1, 0)).value() == 1U);
  BOOST_TEST(chooseWorker(Candidates, resources(5, 1, 1)).value() == 0U);
}

BOOST_AUTO_TEST_CASE(chooses_no_worker_without_enough_of_each_resource) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), PlainCapacity, resources(50, 1, 0)}};
  BOOST_TEST(!chooseWorker(Candidates, resources(1, 2, 0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
