#include "filbertspring/standins/worker_server.h"

#include "filbertspring/platform/worker_codec.h"
#include "filbertspring/standins/loopback_server.h"
#include "filbertspring/standins/registration.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace filbertspring {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

const LoopbackReply BadCommandsReply{400, R"({"error":"invalid commands"})"};

LoopbackReply toReply(const Result<std::string> &Body) {
  return Body ? LoopbackReply{200, *Body} : LoopbackReply{500, "{}"};
}

} // namespace

struct WorkerServer::Impl {
  explicit Impl(WorkerServerSettings Settings)
      : Settings_(std::move(Settings)),
        Model_({WorkerName(Settings_.Listing_.Name_.str()),
                Settings_.Listing_.Capacity_, Settings_.ReportLag_}),
        Server_([this](const LoopbackRequest &Request, ReplySender Send) {
          serve(Request, std::move(Send));
        }) {
    beginBoot();
  }

  /// Records the start of a boot; the worker's clock restarts from zero.
  void beginBoot() { BootTimes_[Model_.boot()] = SchedulerClock::now(); }
  WorkerTime clock() const;
  void serve(const LoopbackRequest &Request, ReplySender Send);
  LoopbackReply answer(const LoopbackRequest &Request);
  LoopbackReply commands(const LoopbackRequest &Request);
  LoopbackReply control(const LoopbackRequest &Request);
  LoopbackReply runs();
  Json runToJson(const RunInterval &Run) const;

  WorkerServerSettings Settings_;
  WorkerModel Model_;
  /// Start time of each boot.
  std::map<std::string, TimePoint> BootTimes_;
  TimePoint PausedUntil_;
  LoopbackServer Server_;
};

WorkerTime WorkerServer::Impl::clock() const {
  return (SchedulerClock::now() - BootTimes_.at(Model_.boot())).count();
}

void WorkerServer::Impl::serve(const LoopbackRequest &Request,
                               ReplySender Send) {
  TimePoint Now = SchedulerClock::now();
  if (Now >= PausedUntil_)
    return Send(answer(Request));
  Server_.after(PausedUntil_ - Now, [this, Request, Send = std::move(Send)] {
    Send(answer(Request));
  });
}

LoopbackReply WorkerServer::Impl::answer(const LoopbackRequest &Request) {
  if (Request.Path_ == "/commands")
    return commands(Request);
  if (Request.Path_ == "/report")
    return toReply(encodeWorkerReport(Model_.report(clock())));
  if (Request.Path_ == "/runs")
    return runs();
  if (Request.Path_ == "/control")
    return control(Request);
  return {404, R"({"error":"not found"})"};
}

LoopbackReply WorkerServer::Impl::commands(const LoopbackRequest &Request) {
  Result<WorkerCommands> Commands = decodeWorkerCommands(Request.Body_);
  if (!Commands)
    return BadCommandsReply;
  return toReply(encodeWorkerAnswer(Model_.obey(*Commands, clock())));
}

LoopbackReply WorkerServer::Impl::control(const LoopbackRequest &Request) {
  try {
    Json Body = Json::parse(Request.Body_);
    if (Body.contains("fail_all"))
      Model_.setFailAll(Body["fail_all"].get<bool>());
    if (Body.value("restart", false)) {
      Model_.restart(clock());
      beginBoot();
    }
    if (Body.contains("measure")) {
      const Json &Measured = Body["measure"];
      Model_.recordService(
          {ServiceName(Measured.at("service").get<std::string>()),
           Duration(Measured.at("p99_us").get<std::int64_t>()),
           Measured.at("load").get<double>(), clock()});
    }
    milliseconds Pause(Body.value("pause_ms", std::int64_t{0}));
    PausedUntil_ = SchedulerClock::now() + Pause;
  } catch (const Json::exception &Problem) {
    return {400, Json{{"error", Problem.what()}}.dump()};
  }
  return {200, "{}"};
}

LoopbackReply WorkerServer::Impl::runs() {
  Model_.advance(clock());
  Json List = Json::array();
  for (const RunInterval &Each : Model_.runs())
    List.push_back(runToJson(Each));
  return {200, Json{{"runs", std::move(List)}}.dump()};
}

Json WorkerServer::Impl::runToJson(const RunInterval &Run) const {
  auto Boot = BootTimes_.at(Run.Boot_).time_since_epoch().count();
  Json Entry = {{"job", Run.Attempt_.Task_.Job_.str()},
                {"index", Run.Attempt_.Task_.Index_},
                {"attempt", Run.Attempt_.Attempt_},
                {"boot", Run.Boot_},
                {"from_us", Boot + Run.From_},
                {"until_us", nullptr}};
  if (Run.Until_)
    Entry["until_us"] = Boot + *Run.Until_;
  return Entry;
}

WorkerServer::WorkerServer(WorkerServerSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}

WorkerServer::~WorkerServer() = default;

Result<std::uint16_t> WorkerServer::listen(std::uint16_t Port) {
  Result<std::uint16_t> Bound = Impl_->Server_.listen(Port);
  if (!Bound)
    return Bound;
  WorkerServerSettings &Settings = Impl_->Settings_;
  Settings.Listing_.Role_ = InstanceRole::Worker;
  Settings.Listing_.Http_ = {"127.0.0.1", *Bound};
  if (Settings.Platform_) {
    Status Done = registerInstance(*Settings.Platform_, Settings.Listing_);
    if (!Done)
      return fail(Done.error());
  }
  return Bound;
}

void WorkerServer::stopOnSignal() { Impl_->Server_.stopOnSignal(); }

void WorkerServer::run() { Impl_->Server_.run(); }

void WorkerServer::stop() { Impl_->Server_.stop(); }

} // namespace filbertspring
