/// \file
/// Tests of callers' requests against a store whose answers a test chooses.

#include "callers.h"
#include "cell_directory.h"
#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "platform/caller_codec.h"
#include "store_client.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <thread>

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
                       if (IsStoreSilent_)
                         return;
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

  /// Submits a job whose caller waits for \p Timeout, and returns the status of
  /// the answer.
  int submit(Duration Timeout = 3s) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/batch/0123456789abcdef";
    Request.Headers_ = {
        {"Host", "host"},
        {std::string(platform::DeadlineHeader), std::to_string(Timeout / 1ms)}};
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
  bool IsStoreSilent_ = false;
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

// Timeouts of store calls hardly count the delay of the loop.
BOOST_FIXTURE_TEST_CASE(is_answered_at_its_deadline_by_a_late_loop, Caller) {
  IsStoreSilent_ = true;
  bool IsPastDeadline = false;
  Loop_.after(50ms, [] { std::this_thread::sleep_for(600ms); });
  Loop_.after(1s, [&] { IsPastDeadline = true; });
  BOOST_TEST(submit(900ms) == 504);
  BOOST_TEST(!IsPastDeadline);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_head_of_a_request)

// A body that would be dropped must not be stored first.
BOOST_FIXTURE_TEST_CASE(is_refused_if_the_request_cannot_be_handled, Caller) {
  struct Head {
    const char *Method_;
    const char *Path_;
    const char *Length_;
    int Status_;
  };
  for (const Head &Each :
       {Head{"POST", "/batch/0123456789abcdef", "262144", 0},
        Head{"POST", "/batch/0123456789abcdef", "262145", 413},
        Head{"POST", "/nowhere/0123456789abcdef", "1", 404},
        Head{"POST", "/batch/no-id", "1", 404},
        Head{"PUT", "/batch/0123456789abcdef", "1", 405},
        Head{"GET", "/batch/", "0", 0}, Head{"POST", "/batch/", "1", 404}}) {
    HttpRequest Request;
    Request.Method_ = Each.Method_;
    Request.Path_ = Each.Path_;
    Request.Headers_ = {{"Host", "host:80"}, {"Content-Length", Each.Length_}};
    std::optional<HttpAnswer> Refusal = Requests_.refuseEarly(Request);
    BOOST_TEST((Refusal ? Refusal->Status_ : 0) == Each.Status_, Each.Path_);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
