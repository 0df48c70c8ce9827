#include "filbertspring/config/contract_document.h"

#include "finding_lines.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;

namespace {

/// Draws a duration from 1 to \p MaxUnits times \p Unit.
Duration drawDuration(Duration Unit, std::int64_t MaxUnits) {
  return Unit * *rc::gen::inRange<std::int64_t>(1, MaxUnits + 1);
}

ServiceTerms drawService(std::size_t Index) {
  ServiceTerms Service;
  Service.Name_ = ServiceName("service-" + std::to_string(Index));
  Service.LatencyTarget_ = drawDuration(Duration(1), 60'000'000);
  Service.Objective_ = *rc::gen::inRange(1, 100'000) / 100'000.0;
  Service.RatePerSecond_ =
      *rc::gen::inRange<std::int64_t>(MinServiceRate, 1'000'000);
  Service.Concurrency_ =
      *rc::gen::inRange<std::int64_t>(MinServiceConcurrency, 1'000'000);
  Service.Deadline_ = Service.LatencyTarget_ + drawDuration(Duration(1), 1000);
  Service.Idempotent_ = *rc::gen::arbitrary<bool>();
  return Service;
}

BatchTerms drawBatch() {
  BatchTerms Batch;
  Batch.Quota_ = {Millicores(*rc::gen::inRange(0, 1'000'000)),
                  Mebibytes(*rc::gen::inRange(0, 1'000'000)),
                  Accelerators(*rc::gen::inRange(0, 1000))};
  Batch.MaxWaitingTasks_ = *rc::gen::inRange(1, 100'000);
  auto Count = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Batch.Kinds_.push_back(
        {BatchKindName("kind." + std::to_string(Index)),
         *rc::gen::arbitrary<bool>(),
         *rc::gen::inRange<std::int32_t>(1, MaxTaskAttempts + 1),
         drawDuration(std::chrono::seconds(1), 100'000)});
  return Batch;
}

Contract drawContract() {
  Contract Terms;
  Terms.Name_ = ContractName("contract_1");
  Terms.Team_ = TeamName("team");
  Terms.Weight_ = *rc::gen::inRange(1, MaxContractWeight + 1);
  if (*rc::gen::arbitrary<bool>())
    Terms.Zones_ = {ZoneName("porto"), ZoneName("lisboa")};
  auto Count = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Terms.Services_.push_back(drawService(Index));
  if (*rc::gen::arbitrary<bool>())
    Terms.Batch_ = drawBatch();
  if (*rc::gen::arbitrary<bool>())
    Terms.Watches_ = WatchTerms{*rc::gen::inRange(1, 1000),
                                drawDuration(std::chrono::seconds(1), 100'000)};
  return Terms;
}

bool sameService(const ServiceTerms &Left, const ServiceTerms &Right) {
  return Left.Name_ == Right.Name_ &&
         Left.LatencyTarget_ == Right.LatencyTarget_ &&
         Left.Objective_ == Right.Objective_ &&
         Left.RatePerSecond_ == Right.RatePerSecond_ &&
         Left.Concurrency_ == Right.Concurrency_ &&
         Left.Deadline_ == Right.Deadline_ &&
         Left.Idempotent_ == Right.Idempotent_;
}

bool sameKind(const BatchKindTerms &Left, const BatchKindTerms &Right) {
  return Left.Name_ == Right.Name_ && Left.Urgent_ == Right.Urgent_ &&
         Left.MaxAttempts_ == Right.MaxAttempts_ &&
         Left.DeclaredRunTime_ == Right.DeclaredRunTime_;
}

bool sameBatch(const BatchTerms &Left, const BatchTerms &Right) {
  return Left.Quota_ == Right.Quota_ &&
         Left.MaxWaitingTasks_ == Right.MaxWaitingTasks_ &&
         std::ranges::equal(Left.Kinds_, Right.Kinds_, sameKind);
}

bool sameContract(const Contract &Left, const Contract &Right) {
  if (Left.Batch_.has_value() != Right.Batch_.has_value() ||
      Left.Watches_.has_value() != Right.Watches_.has_value())
    return false;
  if (Left.Batch_ && !sameBatch(*Left.Batch_, *Right.Batch_))
    return false;
  if (Left.Watches_ &&
      (Left.Watches_->MaxOpen_ != Right.Watches_->MaxOpen_ ||
       Left.Watches_->MaxDuration_ != Right.Watches_->MaxDuration_))
    return false;
  return Left.Name_ == Right.Name_ && Left.Team_ == Right.Team_ &&
         Left.Weight_ == Right.Weight_ && Left.Zones_ == Right.Zones_ &&
         std::ranges::equal(Left.Services_, Right.Services_, sameService);
}

} // namespace

BOOST_AUTO_TEST_SUITE(contract_documents)

BOOST_AUTO_TEST_CASE(what_is_written_is_read_back_unchanged) {
  BOOST_TEST(rc::check("contracts round trip", [] {
    Contract Terms = drawContract();
    std::string Text = writeContract(Terms);
    ParsedContract Parsed =
        parseContract(Text, {ZoneName("porto"), ZoneName("lisboa")});
    RC_ASSERT(Parsed.Findings_.toText("contract") == "");
    RC_ASSERT(sameContract(*Parsed.Terms_, Terms));
    RC_ASSERT(writeContract(*Parsed.Terms_) == Text);
  }));
}

BOOST_AUTO_TEST_CASE(errors_of_all_kinds_are_found_in_one_run) {
  const std::vector<std::string> Expected = {
      "/team: is missing",
      "/weight: 0 is out of range",
      "/zones/0: is not a string",
      "/services/0/latency_target: 250 has no unit",
      "/services/0/rate: \"400\" has no unit",
      "/services/0/idempotent: is not true or false",
      "/services/0/priority: key is not known",
      "/services/1: is not an object",
      "/batch/quota/cpu: \"400 GiB\" has an unknown unit",
      "/batch/quota/memory: is missing",
      "/batch/kinds/0/run_time: \"0s\" is out of range",
      "/zones/1: availability zone \"atlantis\" does not exist",
      "/services/0/objective: objective is out of range",
      "/services/2/name: name is used twice"};
  ParsedContract Parsed = parseContract(R"({
    "name": "c", "weight": 0, "zones": [1, "atlantis"],
    "services": [
      {"name": "s", "latency_target": 250, "objective": 1, "rate": "400",
       "concurrency": 300, "deadline": "2s", "idempotent": "yes",
       "priority": 1},
      null,
      {"name": "s", "latency_target": "250ms", "objective": 0.9,
       "rate": "400/s", "concurrency": 300, "deadline": "2s",
       "idempotent": true}],
    "batch": {"quota": {"cpu": "400 GiB"}, "max_waiting_tasks": 1,
      "kinds": [{"name": "k", "max_attempts": 1, "run_time": "0s"}]}
  })",
                                        {ZoneName("porto")});
  BOOST_TEST(findingLines(Parsed.Findings_) == Expected,
             boost::test_tools::per_element());
  BOOST_TEST(!Parsed.Terms_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
