#include "filbertspring/node/run_node.h"

#include "callers.h"
#include "cell_owner.h"
#include "configuration_follower.h"
#include "filbertspring/base/log.h"
#include "filbertspring/node/node_settings.h"
#include "rows.h"
#include "store_relay.h"

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

/// The variable that names the settings file where no option does.
constexpr const char *SettingsVariable = "FILBERTSPRING_BOOT";

/// The balancer stops sending connections after two missed checks, one a
/// second.
constexpr Duration BalancerDelay = std::chrono::milliseconds(2500);
/// Kept of the time between the request to stop and the kill.
constexpr Duration StopMargin = std::chrono::milliseconds(800);
/// The longest wait for a notice to another instance.
constexpr Duration NoticeTimeout = std::chrono::milliseconds(500);
/// Log lines of this time are written together: a kill loses no more.
constexpr Duration LogPause = std::chrono::milliseconds(20);
/// How often a stopping instance looks for requests in flight.
constexpr Duration StopPoll = std::chrono::milliseconds(50);

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

/// The parts of an instance and their life.
class Instance {
public:
  Instance(NodeSettings Settings, std::string SettingsPath)
      : Settings_(std::move(Settings)), SettingsPath_(std::move(SettingsPath)),
        Store_(Loop_, Settings_.StoreAddress_, Counters_),
        Cell_(Loop_, Store_, Settings_, makeNonce()),
        Owner_(Loop_, Store_, Counters_, Settings_, Cell_.lease()),
        Callers_(Loop_, Store_, Cell_, Counters_,
                 [this](const scheduling::Row &Stored) { tellOwner(Stored); }),
        Peers_(Loop_, {}),
        Configuration_(
            Loop_, Store_,
            [this](std::shared_ptr<const scheduling::QueueTable> Queues) {
              Callers_.configure(Queues);
              Owner_.configure(std::move(Queues));
            },
            [this](std::set<std::string> Zones) {
              Owner_.setClosedZones(std::move(Zones));
            }),
        CallerServer_(Loop_, {},
                      [this](HttpRequest Request, HttpResponder Respond) {
                        Callers_.handle(std::move(Request), std::move(Respond));
                      }),
        ReadinessServer_(
            Loop_, {},
            [this](const HttpRequest &, const HttpResponder &Respond) {
              HttpAnswer Answer;
              Answer.Status_ = isReady() ? 200 : 503;
              Respond(std::move(Answer));
            }),
        PeerServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              if (Request.Path_ == RelayPath)
                return Store_.relayFor(Request, Respond);
              Respond(peerCalled(Request));
            }),
        MetricsServer_(
            Loop_, {},
            [this](const HttpRequest &, const HttpResponder &Respond) {
              HttpAnswer Answer;
              Answer.ContentType_ = "text/plain; version=0.0.4";
              Answer.Body_ = Counters_.toPrometheusText();
              Respond(std::move(Answer));
            }) {}

  int run() {
    if (!listen(CallerServer_, Settings_.CallerAddress_) ||
        !listen(ReadinessServer_, Settings_.ReadinessAddress_) ||
        !listen(PeerServer_, Settings_.PeerAddress_))
      return ExitFailed;
    // An instance without metrics still serves.
    if (!Settings_.MetricsAddress_.empty())
      listen(MetricsServer_, Settings_.MetricsAddress_);
    bufferLogLines([this] { Loop_.after(LogPause, [] { flushLogLines(); }); });
    Loop_.onSignals({SIGTERM, SIGINT, SIGHUP},
                    [this](int Signal) { signalled(Signal); });
    Configuration_.start();
    Owner_.start();
    Cell_.start([this] { Owner_.leaseChanged(); });
    logEvent(LogEvent::ProcessStarted, {{"zone", Settings_.Zone_}});
    Loop_.run();
    logEvent(LogEvent::ProcessStopped);
    flushLogLines();
    return ExitOk;
  }

private:
  /// An instance without a way to the store would refuse what others serve.
  bool isReady() const {
    return Configuration_.isConfigured() && !IsStopping_ && Store_.isServed();
  }

  /// Tells the owner about a stored row at once; the store's
  /// feed tells it in any case.
  void tellOwner(const scheduling::Row &Stored) {
    if (Owner_.isOwner())
      return Owner_.jobAccepted(Stored);
    const std::string &Address = Cell_.lease().record().Address_;
    if (Address.empty())
      return;
    HttpRequest Notice;
    Notice.Method_ = "POST";
    Notice.Path_ = "/stored/" + Stored.Key_.Key_;
    Notice.Body_ = Stored.Value_;
    Peers_.send(Address, Notice, NoticeTimeout,
                [this](const Result<HttpAnswer> &Answer) {
                  if (!Answer)
                    Counters_.counter("peer_notices_lost_total").add();
                });
  }

  /// Takes a notice of another instance.
  HttpAnswer peerCalled(const HttpRequest &Request) {
    HttpAnswer Answer;
    constexpr std::string_view Prefix = "/stored/";
    if (!std::string_view(Request.Path_).starts_with(Prefix)) {
      Answer.Status_ = 404;
      return Answer;
    }
    scheduling::Row Stored;
    Stored.Key_ = jobKey(Request.Path_.substr(Prefix.size()));
    Stored.Value_ = Request.Body_;
    Owner_.jobAccepted(Stored);
    return Answer;
  }

  bool listen(AsyncHttpServer &Server, const std::string &Address) {
    Status Listening = Server.listen(Address);
    if (!Listening)
      logEvent(LogEvent::ThreadFailed,
               {{"address", Address}, {"error", Listening.error().message()}});
    return Listening.has_value();
  }

  void signalled(int Signal) {
    if (Signal == SIGHUP) {
      // All settings but addresses are read at the start only.
      std::optional<NodeSettings> Read = loadSettings(SettingsPath_);
      logEvent(LogEvent::SettingsReloaded, {{"valid", Read ? 1 : 0}});
      return;
    }
    if (IsStopping_)
      return;
    IsStopping_ = true;
    StopAt_ = SchedulerClock::now();
    logEvent(LogEvent::ProcessDraining);
    Owner_.release();
    CallerServer_.beginDrain();
    stopWhenIdle();
  }

  /// Ends when the balancer has turned away and no request is in flight.
  void stopWhenIdle() {
    Duration Stopping = SchedulerClock::now() - StopAt_;
    bool IsIdle = CallerServer_.inFlight() == 0;
    if ((IsIdle && Stopping >= BalancerDelay) ||
        Stopping >= Settings_.StopGrace_ - StopMargin)
      return Loop_.stop();
    Loop_.after(StopPoll, [this] { stopWhenIdle(); });
  }

  NodeSettings Settings_;
  std::string SettingsPath_;
  EventLoop Loop_;
  CounterRegistry Counters_;
  StoreClient Store_;
  CellDirectory Cell_;
  CellOwner Owner_;
  Callers Callers_;
  AsyncHttpClient Peers_;
  ConfigurationFollower Configuration_;
  AsyncHttpServer CallerServer_;
  AsyncHttpServer ReadinessServer_;
  AsyncHttpServer PeerServer_;
  AsyncHttpServer MetricsServer_;
  bool IsStopping_ = false;
  TimePoint StopAt_{};
};

} // namespace

int runNode(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("filbertspring node",
                           "Runs an instance on the users' platform.");
  Options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>())("help", "this text");
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
    std::cerr << fmt::format("no --settings and no {}\n", SettingsVariable);
    return ExitUsage;
  }
  std::optional<NodeSettings> Settings = loadSettings(Path);
  if (!Settings)
    return ExitFindings;
  setLogProcessName(Settings->Instance_);
  // A caller that hangs up must not end the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return Instance(std::move(*Settings), Path).run();
}

} // namespace filbertspring::node
