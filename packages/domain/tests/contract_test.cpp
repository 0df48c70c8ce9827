#include "filbertspring/domain/contract.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace std::chrono_literals;

namespace {

Contract validContract() {
  Contract Terms;
  Terms.Name_ = ContractName("denizkul-bookings");
  Terms.Team_ = TeamName("denizkul");
  Terms.Zones_ = {ZoneName("bodrum")};
  Terms.Services_ = {
      {ServiceName("booking-check"), 250ms, 0.99, 400, 300, 2s, true}};
  Terms.Batch_ =
      BatchTerms{{}, 10, {{BatchKindName("permit-filing"), true, 3, 60s}}};
  return Terms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(contract)

BOOST_AUTO_TEST_CASE(that_is_valid_has_no_findings) {
  Findings Report;
  checkContract(validContract(), {ZoneName("bodrum")}, Report);
  BOOST_TEST(Report.toText("contract") == "");
}

BOOST_AUTO_TEST_CASE(with_several_errors_has_them_all_reported) {
  Contract Terms = validContract();
  Terms.Weight_ = 0;
  Terms.Zones_.emplace_back("atlantis");
  Terms.Services_[0].Objective_ = 1.0;
  Terms.Services_.push_back(Terms.Services_[0]);
  Terms.Batch_->Kinds_[0].MaxAttempts_ = 0;
  Findings Report;
  checkContract(Terms, {ZoneName("bodrum")}, Report);
  std::vector<std::string> Places;
  for (const Finding &Item : Report.items())
    Places.push_back(Item.Place_);
  const std::vector<std::string> Expected = {"/weight",
                                             "/zones/1",
                                             "/services/0/objective",
                                             "/services/1/objective",
                                             "/services/1/name",
                                             "/batch/kinds/0/max_attempts"};
  BOOST_TEST(Places == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
