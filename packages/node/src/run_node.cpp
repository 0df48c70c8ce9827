#include "filbertspring/node/run_node.h"

#include "callers.h"
#include "cell_owner.h"
#include "client_limits.h"
#include "configuration_follower.h"
#include "filbertspring/base/log.h"
#include "filbertspring/node/node_settings.h"
#include "loop_delay_log.h"
#include "rows.h"
#include "standstill_watch.h"
#include "store_relay.h"
#include "worker_relay.h"

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>

namespace filbertspring::node {
namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 1;
constexpr int ExitFindings = 2;
constexpr int ExitFailed = 3;

/// The environment variable that holds the path of the settings file if there
/// is no --settings option.
constexpr const char *SettingsVariable = "FILBERTSPRING_BOOT";

/// The time after which the load balancer sends no new connections: it checks
/// readiness once a second and reacts to two failed checks.
constexpr Duration LoadBalancerDelay = std::chrono::milliseconds(2500);
/// The instance stops this much earlier than the end of the grace period, after
/// which it is killed.
constexpr Duration StopMargin = std::chrono::milliseconds(800);
/// The timeout of a notice to another instance.
constexpr Duration PeerNoticeTimeout = std::chrono::milliseconds(500);
/// The version of the row that a notice is about.
constexpr const char *RowVersionHeader = "Row-Version";
/// Log lines are buffered for this time and written together. A kill loses at
/// most the lines of this time.
constexpr Duration LogFlushInterval = std::chrono::milliseconds(20);
/// How often a stopping instance checks for requests in flight.
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Reads the settings and logs all findings.
std::optional<NodeSettings> loadSettings(const std::string &Path) {
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    logEvent(LogEvent::SettingsRejected,
             {{"file", Path}, {"findings", "cannot be read"}});
    return std::nullopt;
  }
  ParsedNodeSettings Parsed = parseNodeSettings(*Text);
  if (Parsed.Findings_.empty())
    return std::move(Parsed.Settings_);
  logEvent(LogEvent::SettingsRejected,
           {{"file", Path}, {"findings", Parsed.Findings_.toText(Path)}});
  return std::nullopt;
}

std::string makeNonce() {
  std::random_device Random;
  return fmt::format("{:08x}{:08x}", Random(), Random());
}

/// Owns the components of an instance and runs its event loop.
class Instance {
public:
  Instance(NodeSettings Settings, std::string SettingsPath)
      : Settings_(std::move(Settings)), SettingsPath_(std::move(SettingsPath)),
        Store_(Loop_, Settings_.StoreAddress_, Counters_),
        Cell_(Loop_, Store_, Settings_, makeNonce()),
        Owner_(Loop_, Store_, Counters_, Settings_, Cell_.lease()),
        Standstill_(Settings_.StateRetention_),
        CallerRequests_(Loop_, Store_, Cell_, Counters_,
                        [this](const scheduling::Row &StoredRow) {
                          notifyOwner(StoredRow);
                        }),
        PeerClient_(Loop_, {}), Relay_(Loop_, Counters_, makeNonce()),
        Configuration_(
            Loop_, Store_,
            [this](std::shared_ptr<const scheduling::QueueTable> Queues) {
              CallerRequests_.configure(Queues);
              Owner_.configure(std::move(Queues));
            },
            [this](std::set<std::string> Zones) {
              Owner_.setClosedZones(std::move(Zones));
            },
            [this](TimePoint Time) {
              CallerRequests_.confirmConfiguration(Time);
            }),
        Limits_(
            deriveClientLimits(Settings_.MemoryMb_, Settings_.MaxDescriptors_)),
        Refusals_(Counters_), CallerBudget_(Limits_.CallerBytes_),
        ReadinessBudget_(Limits_.ReadinessBytes_),
        MetricsBudget_(Limits_.MetricsBytes_),
        CallerServer_(
            Loop_, Limits_.Callers_,
            [this](HttpRequest Request, HttpResponder Respond) {
              handleCallerRequest(std::move(Request), std::move(Respond));
            },
            callerHooks(), &CallerBudget_),
        ReadinessServer_(
            Loop_, Limits_.Readiness_,
            [this](const HttpRequest &, const HttpResponder &Respond) {
              HttpAnswer Answer;
              Answer.Status_ = isReady() ? 200 : 503;
              Respond(std::move(Answer));
            },
            refusalHooks("readiness"), &ReadinessBudget_),
        PeerServer_(
            Loop_, peerLimits(),
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              handlePeerRequest(Request, Respond);
            },
            refusalHooks("peers")),
        MetricsServer_(
            Loop_, Limits_.Metrics_,
            [this](const HttpRequest &, const HttpResponder &Respond) {
              HttpAnswer Answer;
              Answer.ContentType_ = "text/plain; version=0.0.4";
              Answer.Body_ = Counters_.toPrometheusText();
              Respond(std::move(Answer));
            },
            refusalHooks("metrics"), &MetricsBudget_) {}

  int run() {
    if (!listen(CallerServer_, Settings_.CallerAddress_) ||
        !listen(ReadinessServer_, Settings_.ReadinessAddress_) ||
        !listen(PeerServer_, Settings_.PeerAddress_))
      return ExitFailed;
    // Failing to serve metrics does not prevent the instance from serving
    // callers.
    if (!Settings_.MetricsAddress_.empty())
      listen(MetricsServer_, Settings_.MetricsAddress_);
    bufferLogLines(
        [this] { Loop_.after(LogFlushInterval, [] { flushLogLines(); }); });
    Loop_.onProbe([this](Duration Delay) { noteLoopDelay(Delay); });
    Loop_.onSignals({SIGTERM, SIGINT, SIGHUP},
                    [this](int Signal) { handleSignal(Signal); });
    Configuration_.start();
    Owner_.start();
    Cell_.start([this] { Owner_.handleLeaseChange(); },
                [this] { Owner_.setRelays(Cell_.otherInstances()); });
    logEvent(LogEvent::ProcessStarted, {{"zone", Settings_.Zone_}});
    Loop_.run();
    logEvent(LogEvent::ProcessStopped);
    flushLogLines();
    return ExitOk;
  }

private:
  /// \p Listener must be a literal.
  AsyncServerHooks refusalHooks(std::string_view Listener) {
    AsyncServerHooks Hooks;
    Hooks.Refused_ = [this, Listener](ClientRefusal Reason) {
      Refusals_.note(Listener, Reason, SchedulerClock::now());
    };
    return Hooks;
  }

  AsyncServerHooks callerHooks() {
    AsyncServerHooks Hooks = refusalHooks("callers");
    Hooks.CheckHead_ = [this](const HttpRequest &Head) {
      return HeadDecision{CallerRequests_.refuseEarly(Head),
                          CallerRequests_.maxBodyBytes()};
    };
    return Hooks;
  }

  /// Refuses submissions that may have waited while this process was suspended
  /// for long: a cancellation that came since may have been removed again.
  void handleCallerRequest(HttpRequest Request, HttpResponder Respond) {
    if (!Standstill_.observe(SchedulerClock::now()) ||
        Request.Method_ != "POST")
      return CallerRequests_.handle(std::move(Request), std::move(Respond));
    Counters_.counter("submissions_refused_after_standstill_total").add();
    HttpAnswer Refusal;
    Refusal.Status_ = 503;
    Refusal.Headers_.push_back({"Retry-After", "10"});
    Respond(std::move(Refusal));
  }

  void noteLoopDelay(Duration Delay) {
    Standstill_.observe(SchedulerClock::now());
    Counters_.gauge("client_memory_bytes")
        .set(static_cast<std::int64_t>(CallerBudget_.used()));
    Counters_.observe("event_loop_delay_seconds", Delay);
    std::optional<LoopDelays> Due =
        DelayLog_.probed(Delay, SchedulerClock::now());
    if (Due)
      logEvent(LogEvent::LoopDelayed,
               {{"delay_ms", Due->Longest_ / std::chrono::milliseconds(1)},
                {"times", Due->Count_}});
  }

  /// Returns whether callers should be sent to this instance. An instance that
  /// cannot reach the store would refuse requests that others can serve.
  bool isReady() const {
    return Configuration_.isConfigured() && !IsStopping_ &&
           Store_.isStoreAvailable();
  }

  /// Sends a newly stored row to the cell's owner to shorten the delay until it
  /// is handled. A lost notice is harmless, since the owner also receives the
  /// row from the store's change feed.
  void notifyOwner(const scheduling::Row &StoredRow) {
    if (Owner_.isOwner())
      return Owner_.handleStoredJobRow(StoredRow);
    const std::string &Address = Cell_.lease().record().Address_;
    if (Address.empty())
      return;
    HttpRequest Notice;
    Notice.Method_ = "POST";
    Notice.Path_ = "/stored/" + StoredRow.Key_.Key_;
    Notice.Headers_ = {{RowVersionHeader, std::to_string(StoredRow.Version_)}};
    Notice.Body_ = StoredRow.Value_;
    PeerClient_.send(Address, Notice, PeerNoticeTimeout,
                     [this](const Result<HttpAnswer> &Answer) {
                       if (!Answer)
                         Counters_.counter("peer_notices_lost_total").add();
                     });
  }

  void handlePeerRequest(const HttpRequest &Request,
                         const HttpResponder &Respond) {
    if (Request.Path_ == RelayPath) {
      // The call may be the insert of a submission. Its sender has given up.
      if (Standstill_.observe(SchedulerClock::now()))
        return Respond(encodeRelayedAnswer(fail(Errc::ConnectFailed)));
      return Store_.serveRelayedCall(Request, Respond);
    }
    if (Request.Path_ == WorkerCallsPath)
      return Relay_.handle(Request, Respond);
    if (Request.Path_ == WorkerAnswersPath)
      return Respond(handleWorkerAnswers(Request));
    if (Request.Path_ == CandidatePath) {
      HttpAnswer Answer;
      Answer.Status_ = canTakeOver() ? 200 : 503;
      return Respond(std::move(Answer));
    }
    Respond(handlePeerNotice(Request));
  }

  /// Returns whether this instance takes the cell over soon after it is
  /// released.
  bool canTakeOver() const {
    return isReady() && Owner_.isCandidate() &&
           Cell_.isCurrent(SchedulerClock::now());
  }

  HttpAnswer handleWorkerAnswers(const HttpRequest &Request) {
    HttpAnswer Answer;
    Result<WorkerAnswerBatch> Batch = decodeWorkerAnswers(Request.Body_);
    if (Batch) {
      Owner_.handleWorkerAnswers(std::move(*Batch));
      return Answer;
    }
    logEvent(LogEvent::PeerMessageRejected, {{"path", Request.Path_}});
    Answer.Status_ = 400;
    return Answer;
  }

  /// Handles a notice of another instance about a newly stored row.
  HttpAnswer handlePeerNotice(const HttpRequest &Request) {
    HttpAnswer Answer;
    constexpr std::string_view Prefix = "/stored/";
    if (!std::string_view(Request.Path_).starts_with(Prefix)) {
      Answer.Status_ = 404;
      return Answer;
    }
    scheduling::Row StoredRow;
    StoredRow.Key_ = jobKey(Request.Path_.substr(Prefix.size()));
    StoredRow.Value_ = Request.Body_;
    std::string_view Version = Request.header(RowVersionHeader);
    // Instances of earlier versions send no version; it remains 0.
    std::from_chars(Version.data(), Version.data() + Version.size(),
                    StoredRow.Version_);
    Owner_.handleStoredJobRow(StoredRow);
    return Answer;
  }

  bool listen(AsyncHttpServer &Server, const std::string &Address) {
    Status Listening = Server.listen(Address);
    if (!Listening)
      logEvent(LogEvent::ThreadFailed,
               {{"address", Address}, {"error", Listening.error().message()}});
    return Listening.has_value();
  }

  void handleSignal(int Signal) {
    if (Signal == SIGHUP) {
      // A reload only validates the file. Changes take effect at the next
      // start.
      std::optional<NodeSettings> Reloaded = loadSettings(SettingsPath_);
      logEvent(LogEvent::SettingsReloaded, {{"valid", Reloaded ? 1 : 0}});
      return;
    }
    if (IsStopping_)
      return;
    IsStopping_ = true;
    StopRequestedAt_ = SchedulerClock::now();
    logEvent(LogEvent::ProcessDraining);
    Owner_.release();
    Relay_.stop();
    CallerServer_.beginDrain();
    stopWhenIdle();
  }

  /// Stops the event loop once the load balancer sends no new connections and
  /// no request is in flight, or when the grace period is about to end.
  void stopWhenIdle() {
    Duration Elapsed = SchedulerClock::now() - StopRequestedAt_;
    bool IsIdle = CallerServer_.inFlight() == 0 && Relay_.inFlight() == 0;
    if ((IsIdle && Elapsed >= LoadBalancerDelay) ||
        Elapsed >= Settings_.StopGrace_ - StopMargin)
      return Loop_.stop();
    Loop_.after(DrainPollInterval, [this] { stopWhenIdle(); });
  }

  NodeSettings Settings_;
  std::string SettingsPath_;
  EventLoop Loop_;
  CounterRegistry Counters_;
  LoopDelayLog DelayLog_;
  StoreClient Store_;
  CellDirectory Cell_;
  CellOwner Owner_;
  StandstillWatch Standstill_;
  CallerRequestHandler CallerRequests_;
  AsyncHttpClient PeerClient_;
  WorkerRelay Relay_;
  ConfigurationFollower Configuration_;
  ClientLimits Limits_;
  RefusalLog Refusals_;
  ClientBudget CallerBudget_;
  ClientBudget ReadinessBudget_;
  ClientBudget MetricsBudget_;
  AsyncHttpServer CallerServer_;
  AsyncHttpServer ReadinessServer_;
  AsyncHttpServer PeerServer_;
  AsyncHttpServer MetricsServer_;
  bool IsStopping_ = false;
  TimePoint StopRequestedAt_{};
};

} // namespace

int runNode(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("filbertspring node",
                           "Runs an instance on the users' platform.");
  Options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>())(
      "help", "print this help and exit");
  std::string Path;
  try {
    cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.count("settings") != 0)
      Path = Parsed["settings"].as<std::string>();
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << Error.what() << "\n";
    return ExitUsage;
  }
  const char *FromEnvironment = std::getenv(SettingsVariable);
  if (Path.empty() && FromEnvironment)
    Path = FromEnvironment;
  if (Path.empty()) {
    std::cerr << fmt::format("no settings file: pass --settings or set {}\n",
                             SettingsVariable);
    return ExitUsage;
  }
  std::optional<NodeSettings> Settings = loadSettings(Path);
  if (!Settings)
    return ExitFindings;
  setLogProcessName(Settings->Instance_);
  // A connection closed by its peer must not terminate the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return Instance(std::move(*Settings), Path).run();
}

} // namespace filbertspring::node
