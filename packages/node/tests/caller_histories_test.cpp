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
  ServingInstance(EventLoop &Loop, std::uint16_t StorePort,
                  const std::vector<std::string> &Workspaces)
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
    for (const std::string &Name : Workspaces)
      Queues->Workspaces_.push_back({Name, {"key of " + Name}, 1.0, {}});
    Requests_.configure(Queues);
  }

  CounterRegistry Counters_;
  StoreClient Store_;
  CellDirectory Cell_;
  CallerRequestHandler Requests_;
};

/// What the callers of a workspace were told about one job.
struct JobAnswers {
  bool IsAccepted_ = false;
  bool IsCancelled_ = false;
  /// Whether they sent a cancellation, whatever became of it.
  bool HasCancelled_ = false;
  /// Attempts whose outcome the caller does not know.
  int OpenSubmissions_ = 0;
  int Submissions_ = 0;
};

/// A history without workspaces, or one in which the workspaces use the same
/// ids.
struct CallerHistory {
  explicit CallerHistory(std::vector<std::string> Workspaces = {})
      : Workspaces_(std::move(Workspaces)) {
    for (std::uint16_t Port : StorePorts)
      Store_.listen(Port);
    Store_.start();
    for (std::uint16_t Port : StorePorts)
      Instances_.push_back(
          std::make_unique<ServingInstance>(Loop_, Port, Workspaces_));
  }

  Duration draw(Duration Limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, Limit.count())(Random_));
  }

  void send(const char *Method, const std::string &Workspace,
            const std::string &Job, const std::function<void(int)> &Answered) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Path_ = "/batch/" + Job;
    Request.Headers_ = {
        {"Host", "host"},
        {std::string(platform::DeadlineHeader), "500"},
        {std::string(platform::KeyHeader), "key of " + Workspace}};
    Request.Body_ = R"({"Spec":"","Steps":[{"Count":1,"Cpu":500}]})";
    CallerRequestHandler &Requests =
        Instances_[Random_() % Instances_.size()]->Requests_;
    Requests.confirmConfiguration(SchedulerClock::now());
    Requests.handle(std::move(Request), [Answered](const HttpAnswer &Answer) {
      Answered(Answer.Status_);
    });
  }

  void submit(const std::string &Workspace, const std::string &Job) {
    JobAnswers &Told = Jobs_[{Workspace, Job}];
    ++Told.Submissions_;
    ++Told.OpenSubmissions_;
    send("POST", Workspace, Job, [&Told](int Status) {
      Told.IsAccepted_ |= Status == 200;
      bool IsRejected = Status == 410 || Status == 503 || Status == 400;
      Told.OpenSubmissions_ -= IsRejected ? 1 : 0;
    });
  }

  void cancel(const std::string &Workspace, const std::string &Job) {
    JobAnswers &Told = Jobs_[{Workspace, Job}];
    Told.HasCancelled_ = true;
    send("DELETE", Workspace, Job, [&Told](int Status) {
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

  void playJob(const std::string &Workspace, const std::string &Job) {
    Jobs_[{Workspace, Job}];
    for (std::size_t Times = 1 + Random_() % 2; Times > 0; --Times)
      Loop_.after(draw(HistoryTime),
                  [this, Workspace, Job] { submit(Workspace, Job); });
    for (std::size_t Times = Random_() % 3; Times > 0; --Times)
      Loop_.after(draw(HistoryTime),
                  [this, Workspace, Job] { cancel(Workspace, Job); });
  }

  void play(std::size_t Jobs) {
    for (std::size_t Number = 0; Number < Jobs; ++Number) {
      std::string Job = fmt::format("{:016x}", Number + 1);
      for (const std::string &Workspace : Workspaces_)
        playJob(Workspace, Job);
      if (Workspaces_.empty())
        playJob("", Job);
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

  /// Returns whether the job is stored for \p Workspace.
  bool isStoredFor(const std::string &Workspace, const std::string &Job) const {
    scheduling::RowKey Key = jobKey(Job);
    std::string Stored = Store_.get(Key.Table_, Key.Partition_, Key.Key_);
    return !Stored.empty() && decodeAcceptedWorkspace(Stored) == Workspace;
  }

  /// Checks what is stored against what the callers were told.
  void check() {
    std::size_t Accepted = 0;
    std::size_t CancelledBefore = 0;
    for (const auto &[Id, Told] : Jobs_) {
      const auto &[Workspace, Job] = Id;
      bool IsStored = isStoredFor(Workspace, Job);
      // If the id is another workspace's, its job must not be cancelled.
      bool IsCancellationStored =
          Workspaces_.empty() || IsStored
              ? isStored(cancellationKey(Job))
              : isStored(cancellationKeyWithin(Workspace, Job));
      Accepted += Told.IsAccepted_ ? 1 : 0;
      CancelledBefore += Told.IsCancelled_ && !Told.IsAccepted_ ? 1 : 0;
      BOOST_TEST((!Told.IsAccepted_ || IsStored), Job << " is lost");
      BOOST_TEST((!Told.IsCancelled_ || IsCancellationStored),
                 Job << " may start although it was cancelled");
      BOOST_TEST((Told.OpenSubmissions_ > 0 || !IsStored),
                 Job << " may start although it was refused");
      BOOST_TEST(
          (Told.HasCancelled_ || !IsStored || !isStored(cancellationKey(Job))),
          Job << " was cancelled by another workspace");
    }
    // Otherwise the history shows nothing.
    BOOST_TEST(Accepted > 50U);
    BOOST_TEST(CancelledBefore > 10U);
  }

  std::vector<std::string> Workspaces_;
  EventLoop Loop_;
  std::mt19937 Random_{20261206};
  platform::test::StoreStandin Store_;
  std::vector<std::unique_ptr<ServingInstance>> Instances_;
  /// By workspace and id.
  std::map<std::pair<std::string, std::string>, JobAnswers> Jobs_;
  bool IsCalm_ = false;
};

struct WorkspacesHistory : CallerHistory {
  WorkspacesHistory() : CallerHistory({"a", "b"}) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(what_callers_were_told)

BOOST_FIXTURE_TEST_CASE(stays_true_whatever_comes_later, CallerHistory) {
  play(600);
  check();
}

// A cancellation by one workspace could block or cancel the job of another.
BOOST_FIXTURE_TEST_CASE(stays_true_if_workspaces_use_the_same_ids,
                        WorkspacesHistory) {
  play(300);
  check();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
