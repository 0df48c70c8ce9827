/// \file
/// Checks the answers to callers in random histories of submissions and
/// cancellations at two instances, with faults of the store.

#include "callers.h"
#include "cell_directory.h"
#include "platform/caller_codec.h"
#include "rows.h"
#include "store_client.h"
#include "store_standin.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <random>
#include <vector>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;
using platform::test::StoreMode;

constexpr std::uint16_t StorePorts[] = {17431, 17432};
constexpr Duration HistoryTime = 3s;

/// An instance that serves callers, and its access to the store.
struct ServingInstance {
  ServingInstance(EventLoop &Loop, std::uint16_t StorePort)
      : Store_(Loop, fmt::format("127.0.0.1:{}", StorePort), Counters_),
        Cell_(Loop, Store_, {}, "nonce"),
        Requests_(Loop, Store_, Cell_, Counters_,
                  [](const scheduling::Row &) {}) {
    auto Queues = std::make_shared<scheduling::QueueTable>();
    scheduling::Queue Batch;
    Batch.Name_ = "batch";
    Batch.Host_ = "host";
    Batch.PathPrefix_ = "/batch/";
    Batch.Service_ = "service";
    Queues->Queues_ = {Batch};
    Requests_.configure(Queues);
  }

  CounterRegistry Counters_;
  StoreClient Store_;
  CellDirectory Cell_;
  CallerRequestHandler Requests_;
};

/// What callers were told about one job.
struct JobAnswers {
  bool IsAccepted_ = false;
  bool IsCancelled_ = false;
  /// Attempts whose outcome the caller does not know.
  int OpenSubmissions_ = 0;
  int Submissions_ = 0;
};

struct CallerHistory {
  CallerHistory() {
    for (std::uint16_t Port : StorePorts)
      Store_.listen(Port);
    Store_.start();
    for (std::uint16_t Port : StorePorts)
      Instances_.push_back(std::make_unique<ServingInstance>(Loop_, Port));
  }

  Duration draw(Duration Limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, Limit.count())(Random_));
  }

  void send(const char *Method, const std::string &Job,
            const std::function<void(int)> &Answered) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Path_ = "/batch/" + Job;
    Request.Headers_ = {{"Host", "host"},
                        {std::string(platform::DeadlineHeader), "500"}};
    Request.Body_ = R"({"Spec":"","Steps":[{"Count":1,"Cpu":500}]})";
    Instances_[Random_() % Instances_.size()]->Requests_.handle(
        std::move(Request),
        [Answered](const HttpAnswer &Answer) { Answered(Answer.Status_); });
  }

  void submit(const std::string &Job) {
    JobAnswers &Told = Jobs_[Job];
    ++Told.Submissions_;
    ++Told.OpenSubmissions_;
    send("POST", Job, [&Told](int Status) {
      Told.IsAccepted_ |= Status == 200;
      bool IsRejected = Status == 410 || Status == 503 || Status == 400;
      Told.OpenSubmissions_ -= IsRejected ? 1 : 0;
    });
  }

  void cancel(const std::string &Job) {
    JobAnswers &Told = Jobs_[Job];
    send("DELETE", Job, [&Told](int Status) {
      Told.IsCancelled_ |= Status == 200 || Status == 410;
    });
  }

  /// Lets the store fail in a random way for a random time.
  void disturbStore() {
    constexpr StoreMode Modes[] = {StoreMode::Serving, StoreMode::Refusing,
                                   StoreMode::Silent, StoreMode::LosingCommits};
    Store_.setMode(StorePorts[Random_() % 2], Modes[Random_() % 4]);
    Loop_.after(draw(300ms), [this] {
      if (!IsCalm_)
        disturbStore();
    });
  }

  void play(std::size_t Jobs) {
    for (std::size_t Number = 0; Number < Jobs; ++Number) {
      std::string Job = fmt::format("{:016x}", Number + 1);
      Jobs_[Job];
      for (std::size_t Times = 1 + Random_() % 2; Times > 0; --Times)
        Loop_.after(draw(HistoryTime), [this, Job] { submit(Job); });
      for (std::size_t Times = Random_() % 3; Times > 0; --Times)
        Loop_.after(draw(HistoryTime), [this, Job] { cancel(Job); });
    }
    disturbStore();
    Loop_.after(HistoryTime, [this] {
      IsCalm_ = true;
      for (std::uint16_t Port : StorePorts)
        Store_.setMode(Port, StoreMode::Serving);
    });
    Loop_.after(HistoryTime + 1500ms, [this] { Loop_.stop(); });
    Loop_.run();
  }

  bool isStored(const scheduling::RowKey &Key) const {
    return !Store_.get(Key.Table_, Key.Partition_, Key.Key_).empty();
  }

  EventLoop Loop_;
  std::mt19937 Random_{20261206};
  platform::test::StoreStandin Store_;
  std::vector<std::unique_ptr<ServingInstance>> Instances_;
  std::map<std::string, JobAnswers> Jobs_;
  bool IsCalm_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(what_callers_were_told)

BOOST_FIXTURE_TEST_CASE(stays_true_whatever_comes_later, CallerHistory) {
  play(600);
  std::size_t Accepted = 0;
  std::size_t CancelledBefore = 0;
  for (const auto &[Job, Told] : Jobs_) {
    bool IsStored = isStored(jobKey(Job));
    bool IsCancellationStored = isStored(cancellationKey(Job));
    Accepted += Told.IsAccepted_ ? 1 : 0;
    CancelledBefore += Told.IsCancelled_ && !Told.IsAccepted_ ? 1 : 0;
    BOOST_TEST((!Told.IsAccepted_ || IsStored), Job << " is lost");
    BOOST_TEST((!Told.IsCancelled_ || IsCancellationStored),
               Job << " may start although it was cancelled");
    BOOST_TEST((Told.OpenSubmissions_ > 0 || !IsStored),
               Job << " may start although it was refused");
  }
  // Otherwise the history shows nothing.
  BOOST_TEST(Accepted > 50U);
  BOOST_TEST(CancelledBefore > 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
