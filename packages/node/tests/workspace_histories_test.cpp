/// \file
/// Checks the answers to callers of two workspaces in random histories of
/// submissions and cancellations of the same ids at two instances, with faults
/// of the store.

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

constexpr std::uint16_t WorkspaceStorePorts[] = {17462, 17463};
constexpr Duration WorkspaceHistoryTime = 3s;

/// An instance that serves callers, and its access to the store.
struct KeyedServingInstance {
  KeyedServingInstance(EventLoop &Loop, std::uint16_t StorePort,
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
struct WorkspaceAnswers {
  bool IsAccepted_ = false;
  bool IsCancelled_ = false;
  /// Whether they sent a cancellation, whatever became of it.
  bool HasCancelled_ = false;
  /// Attempts whose outcome the caller does not know.
  int OpenSubmissions_ = 0;
  int Submissions_ = 0;
};

struct WorkspacesHistory {
  WorkspacesHistory() {
    for (std::uint16_t Port : WorkspaceStorePorts)
      Store_.listen(Port);
    Store_.start();
    for (std::uint16_t Port : WorkspaceStorePorts)
      Instances_.push_back(
          std::make_unique<KeyedServingInstance>(Loop_, Port, Workspaces_));
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
    WorkspaceAnswers &Told = Jobs_[{Workspace, Job}];
    ++Told.Submissions_;
    ++Told.OpenSubmissions_;
    send("POST", Workspace, Job, [&Told](int Status) {
      Told.IsAccepted_ |= Status == 200;
      bool IsRejected = Status == 410 || Status == 503 || Status == 400;
      Told.OpenSubmissions_ -= IsRejected ? 1 : 0;
    });
  }

  void cancel(const std::string &Workspace, const std::string &Job) {
    WorkspaceAnswers &Told = Jobs_[{Workspace, Job}];
    Told.HasCancelled_ = true;
    send("DELETE", Workspace, Job, [&Told](int Status) {
      Told.IsCancelled_ |= Status == 200 || Status == 410;
    });
  }

  /// Lets the store fail in a random way for a random time.
  void disturbStore() {
    constexpr StoreMode Modes[] = {StoreMode::Serving, StoreMode::Refusing,
                                   StoreMode::Silent, StoreMode::LosingCommits};
    Store_.setMode(WorkspaceStorePorts[Random_() % 2], Modes[Random_() % 4]);
    Loop_.after(draw(300ms), [this] {
      if (!IsCalm_)
        disturbStore();
    });
  }

  void playJob(const std::string &Workspace, const std::string &Job) {
    Jobs_[{Workspace, Job}];
    for (std::size_t Times = 1 + Random_() % 2; Times > 0; --Times)
      Loop_.after(draw(WorkspaceHistoryTime),
                  [this, Workspace, Job] { submit(Workspace, Job); });
    for (std::size_t Times = Random_() % 3; Times > 0; --Times)
      Loop_.after(draw(WorkspaceHistoryTime),
                  [this, Workspace, Job] { cancel(Workspace, Job); });
  }

  void play(std::size_t Jobs) {
    for (std::size_t Number = 0; Number < Jobs; ++Number) {
      std::string Job = fmt::format("{:016x}", Number + 1);
      for (const std::string &Workspace : Workspaces_)
        playJob(Workspace, Job);
    }
    disturbStore();
    Loop_.after(WorkspaceHistoryTime, [this] {
      IsCalm_ = true;
      for (std::uint16_t Port : WorkspaceStorePorts)
        Store_.setMode(Port, StoreMode::Serving);
    });
    Loop_.after(WorkspaceHistoryTime + 1500ms, [this] { Loop_.stop(); });
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
          IsStored ? isStored(cancellationKey(Job))
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

  std::vector<std::string> Workspaces_{"a", "b"};
  EventLoop Loop_;
  std::mt19937 Random_{20261206};
  platform::test::StoreStandin Store_;
  std::vector<std::unique_ptr<KeyedServingInstance>> Instances_;
  /// By workspace and id.
  std::map<std::pair<std::string, std::string>, WorkspaceAnswers> Jobs_;
  bool IsCalm_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(what_workspaces_were_told)

// A cancellation by one workspace could block or cancel the job of another.
BOOST_FIXTURE_TEST_CASE(stays_true_if_they_use_the_same_ids,
                        WorkspacesHistory) {
  play(300);
  check();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
