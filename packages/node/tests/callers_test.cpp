/// \file
/// Tests of callers' requests against a store whose answers a test chooses.

#include "callers.h"
#include "cell_directory.h"
#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "store_client.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr const char *RefusingStoreAddress = "127.0.0.1:17422";

/// An instance that takes jobs, and a store that answers each transaction with
/// the same status.
struct Caller {
  Caller()
      : StoreServer_(Loop_, {},
                     [this](const HttpRequest &, const HttpResponder &Respond) {
                       ++StoreCalls_;
                       HttpAnswer Answer;
                       Answer.Status_ = StoreStatus_;
                       Respond(Answer);
                     }),
        Store_(Loop_, RefusingStoreAddress, Counters_),
        Cell_(Loop_, Store_, {}, "nonce"),
        Requests_(Loop_, Store_, Cell_, Counters_,
                  [](const scheduling::Row &) {}) {
    BOOST_REQUIRE(StoreServer_.listen(RefusingStoreAddress).has_value());
    auto Queues = std::make_shared<scheduling::QueueTable>();
    scheduling::Queue Batch;
    Batch.Name_ = "batch";
    Batch.Host_ = "host";
    Batch.PathPrefix_ = "/batch/";
    Batch.Service_ = "service";
    Queues->Queues_ = {Batch};
    Requests_.configure(Queues);
  }

  /// Submits a job and returns the status of the answer.
  int submit() {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/batch/0123456789abcdef";
    Request.Headers_ = {{"Host", "host"}};
    Request.Body_ = R"({"Spec":"","Steps":[{"Count":1,"Cpu":500}]})";
    std::optional<int> Status;
    Requests_.handle(std::move(Request), [&](HttpAnswer Answer) {
      Status = Answer.Status_;
      Loop_.stop();
    });
    Loop_.after(5s, [this] { Loop_.stop(); });
    Loop_.run();
    Loop_.context().restart();
    return Status.value_or(0);
  }

  EventLoop Loop_;
  CounterRegistry Counters_;
  int StoreStatus_ = 503;
  int StoreCalls_ = 0;
  AsyncHttpServer StoreServer_;
  StoreClient Store_;
  CellDirectory Cell_;
  CallerRequestHandler Requests_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_submission)

BOOST_FIXTURE_TEST_CASE(is_unavailable_while_the_store_refuses_calls, Caller) {
  for (int Status : {429, 503}) {
    StoreStatus_ = Status;
    BOOST_TEST(submit() == 503);
  }
}

// A repeat cannot succeed, so the caller must not be told to come back.
BOOST_FIXTURE_TEST_CASE(that_the_store_can_never_take_is_rejected_at_once,
                        Caller) {
  for (int Status : {400, 413}) {
    StoreStatus_ = Status;
    StoreCalls_ = 0;
    BOOST_TEST(submit() == 400);
    BOOST_TEST(StoreCalls_ == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
