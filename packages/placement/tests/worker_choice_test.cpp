#include "filbertspring/placement/worker_choice.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspring;
using namespace filbertspring::placement;

namespace {

Resources amount(int Cores, int Gigabytes, int Devices) {
  return {Millicores(Cores * 1000), Mebibytes(Gigabytes * 1024),
          Accelerators(Devices)};
}

const Resources Whole = amount(60, 250, 0);
const Resources WholeWithDevices = amount(60, 250, 4);

} // namespace

BOOST_AUTO_TEST_SUITE(worker_choice)

BOOST_AUTO_TEST_CASE(keeps_the_least_room) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), Whole, amount(50, 100, 0)},
      {WorkerName("b"), Whole, amount(8, 100, 0)},
      {WorkerName("c"), Whole, amount(4, 100, 0)}};
  BOOST_TEST(chooseWorker(Candidates, amount(5, 1, 0)).value() == 1U);
}

BOOST_AUTO_TEST_CASE(leaves_accelerators_to_those_who_need_them) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), WholeWithDevices, amount(8, 100, 4)},
      {WorkerName("b"), Whole, amount(50, 100, 0)}};
  BOOST_TEST(chooseWorker(Candidates, amount(5, 1, 0)).value() == 1U);
  BOOST_TEST(chooseWorker(Candidates, amount(5, 1, 1)).value() == 0U);
}

BOOST_AUTO_TEST_CASE(finds_nothing_when_any_resource_is_short) {
  std::vector<WorkerCandidate> Candidates{
      {WorkerName("a"), Whole, amount(50, 1, 0)}};
  BOOST_TEST(!chooseWorker(Candidates, amount(1, 2, 0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
