#include "worker_call_batch.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

WorkerCallBatch makeCalls() {
  WorkerCallBatch Batch{"10.0.0.1:7000", 17, "process", {}};
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/start";
  Request.Headers_ = {{"Expected", "w1"}};
  Request.Body_ = "{\"a\":\"3:x\"}";
  Batch.Calls_.push_back({1, "10.0.0.9:80", Request, {600ms, TimePoint(5s)}});
  Request.Body_.clear();
  Request.Headers_.clear();
  Batch.Calls_.push_back({2, "10.0.0.8:80", Request, {1600ms}});
  return Batch;
}

WorkerAnswerBatch makeAnswers() {
  WorkerAnswerBatch Batch{17, {}};
  HttpAnswer Answer;
  Answer.Status_ = 409;
  Answer.Body_ = "{}";
  Batch.Answers_.push_back({1, Answer});
  for (Errc Error :
       {Errc::ConnectFailed, Errc::OutcomeUnknown, Errc::DeadlineExceeded})
    Batch.Answers_.push_back({2, fail(Error)});
  return Batch;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_batch_of_worker_calls)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written) {
  auto Batch = decodeWorkerCalls(encodeWorkerCalls(makeCalls()));
  BOOST_REQUIRE(Batch.has_value());
  BOOST_TEST(Batch->OwnerAddress_ == "10.0.0.1:7000");
  BOOST_TEST(Batch->OwnerToken_ == 17U);
  BOOST_TEST(Batch->RelayProcess_ == "process");
  BOOST_REQUIRE(Batch->Calls_.size() == 2U);
  const RelayedWorkerCall &First = Batch->Calls_.front();
  BOOST_TEST(First.Id_ == 1U);
  BOOST_TEST(First.Address_ == "10.0.0.9:80");
  BOOST_TEST((First.Limits_.Timeout_ == 600ms));
  BOOST_TEST((First.Limits_.SendBefore_ == TimePoint(5s)));
  BOOST_TEST((Batch->Calls_.back().Limits_.SendBefore_ == TimePoint::max()));
  BOOST_TEST(First.Request_.Path_ == "/start");
  BOOST_TEST(First.Request_.header("Expected") == "w1");
  BOOST_TEST(First.Request_.Body_ == "{\"a\":\"3:x\"}");
  BOOST_TEST(Batch->Calls_.back().Request_.Headers_.empty());
}

BOOST_AUTO_TEST_CASE(is_rejected_when_it_is_cut_off) {
  std::string Text = encodeWorkerCalls(makeCalls());
  std::size_t Accepted = 0;
  // A batch may end after its header and after each call.
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    Accepted += decodeWorkerCalls(Text.substr(0, Length)).has_value() ? 1 : 0;
  BOOST_TEST(Accepted == 2U);
}

BOOST_AUTO_TEST_CASE(is_rejected_when_it_has_another_form) {
  for (const char *Text :
       {"", "x", "{}", "1:a", "1:a1:x", "1:a99999999999999999999999:1",
        "0:2:17", "13:10.0.0.1:70002:17-1:x"})
    BOOST_TEST(!decodeWorkerCalls(Text).has_value(), Text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_batch_of_worker_answers)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written) {
  auto Batch = decodeWorkerAnswers(encodeWorkerAnswers(makeAnswers()));
  BOOST_REQUIRE(Batch.has_value());
  BOOST_TEST(Batch->OwnerToken_ == 17U);
  BOOST_REQUIRE(Batch->Answers_.size() == 4U);
  BOOST_REQUIRE(Batch->Answers_[0].Answer_.has_value());
  BOOST_TEST(Batch->Answers_[0].Answer_->Status_ == 409);
  BOOST_TEST(Batch->Answers_[0].Answer_->Body_ == "{}");
  BOOST_TEST((Batch->Answers_[1].Answer_.error() == Errc::ConnectFailed));
  BOOST_TEST((Batch->Answers_[2].Answer_.error() == Errc::OutcomeUnknown));
  BOOST_TEST((Batch->Answers_[3].Answer_.error() == Errc::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(is_rejected_when_it_has_another_form) {
  for (const char *Text : {"", "x", "2:17x", "2:171:1", "2:171:11:03:odd"})
    BOOST_TEST(!decodeWorkerAnswers(Text).has_value(), Text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
