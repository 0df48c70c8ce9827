#include "filbertspring/standins/executor_server.h"

#include "filbertspring/standins/loopback_server.h"
#include "filbertspring/standins/registration.h"
#include "run_log.h"

#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace filbertspring {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view RequestIdField = "x-request-id";
constexpr std::size_t MaxHeldRequests = 10000;

/// The active faults; each affected answer decrements its count.
struct ExecutorFaults {
  double SlowFactor_ = 1.0;
  bool Leaving_ = false;
  bool Hang_ = false;
  std::int64_t TruncateNext_ = 0;
  std::int64_t ForeignNext_ = 0;
  milliseconds LateNext_{};

  /// Updates the faults that \p Body contains.
  void update(const Json &Body) {
    ExecutorFaults Updated = *this;
    Updated.SlowFactor_ = Body.value("slow_factor", SlowFactor_);
    Updated.Leaving_ = Body.value("leaving", Leaving_);
    Updated.Hang_ = Body.value("hang", Hang_);
    Updated.TruncateNext_ = Body.value("truncate_next", TruncateNext_);
    Updated.ForeignNext_ = Body.value("foreign_next", ForeignNext_);
    Updated.LateNext_ =
        milliseconds(Body.value("late_next_ms", LateNext_.count()));
    *this = Updated;
  }
};

/// Counts since the start.
struct ExecutorCounts {
  std::int64_t Executed_ = 0;
  std::int64_t RefusedBusy_ = 0;
  std::int64_t RefusedLeaving_ = 0;
};

/// A request and the callback that sends its answer.
struct PendingRequest {
  LoopbackRequest Request_;
  ReplySender Send_;
};

bool consume(std::int64_t &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

std::string answerBody(const std::string &Id, const std::string &Body) {
  std::uint64_t Digest = XXH64(Body.data(), Body.size(), 0);
  return Json{{"request", Id}, {"digest", fmt::format("{:016x}", Digest)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

struct ExecutorServer::Impl {
  explicit Impl(ExecutorSettings Settings)
      : Settings_(std::move(Settings)), Random_(Settings_.Seed_),
        Server_([this](const LoopbackRequest &Request, ReplySender Send) {
          serve({Request, std::move(Send)});
        }) {}

  void serve(PendingRequest Work);
  LoopbackReply control(const LoopbackRequest &Request);
  void accept(PendingRequest Work);
  void start(PendingRequest Work);
  void finish(const PendingRequest &Work);
  void startNext();
  void releaseHeld();
  void markLeaving();
  LoopbackReply refusal(const LoopbackRequest &Request,
                        std::string_view Reason) const;
  LoopbackReply completed(const LoopbackRequest &Request);
  void addState(LoopbackReply &Reply) const;
  Duration drawServiceTime();

  ExecutorSettings Settings_;
  pcg32 Random_;
  ExecutorFaults Faults_;
  ExecutorCounts Counts_;
  RunLog Runs_;
  std::int64_t InFlight_ = 0;
  std::deque<PendingRequest> Queue_;
  /// Requests received while the hang fault is active.
  std::vector<PendingRequest> Held_;
  LoopbackServer Server_;
};

void ExecutorServer::Impl::serve(PendingRequest Work) {
  if (Work.Request_.Path_ != "/run")
    return Work.Send_(control(Work.Request_));
  if (!Faults_.Hang_)
    return accept(std::move(Work));
  if (Held_.size() < MaxHeldRequests)
    Held_.push_back(std::move(Work));
}

LoopbackReply ExecutorServer::Impl::control(const LoopbackRequest &Request) {
  if (Request.Path_ == "/runs")
    return {200, Json{{"runs", Runs_.counts()}}.dump(
                     -1, ' ', false, Json::error_handler_t::replace)};
  if (Request.Path_ == "/stats")
    return {200, Json{{"executed", Counts_.Executed_},
                      {"refused_busy", Counts_.RefusedBusy_},
                      {"refused_leaving", Counts_.RefusedLeaving_},
                      {"in_flight", InFlight_},
                      {"held", Held_.size()}}
                     .dump()};
  if (Request.Path_ == "/leave") {
    markLeaving();
    return {200, "{}"};
  }
  if (Request.Path_ != "/control")
    return {404, R"({"error":"not found"})"};
  try {
    Faults_.update(Json::parse(Request.Body_));
  } catch (const Json::exception &Problem) {
    return {400, Json{{"error", Problem.what()}}.dump()};
  }
  if (!Faults_.Hang_)
    releaseHeld();
  return {200, "{}"};
}

void ExecutorServer::Impl::accept(PendingRequest Work) {
  if (Work.Request_.field(RequestIdField).empty())
    return Work.Send_({400, R"({"error":"x-request-id is missing"})"});
  if (Faults_.Leaving_) {
    ++Counts_.RefusedLeaving_;
    return Work.Send_(refusal(Work.Request_, "leaving"));
  }
  if (InFlight_ < Settings_.Listing_.Slots_)
    return start(std::move(Work));
  if (Queue_.size() < Settings_.QueueLength_) {
    Queue_.push_back(std::move(Work));
    return;
  }
  ++Counts_.RefusedBusy_;
  Work.Send_(refusal(Work.Request_, "busy"));
}

void ExecutorServer::Impl::start(PendingRequest Work) {
  ++InFlight_;
  ++Counts_.Executed_;
  Runs_.add(Work.Request_.field(RequestIdField));
  Server_.after(drawServiceTime(),
                [this, Work = std::move(Work)] { finish(Work); });
}

void ExecutorServer::Impl::finish(const PendingRequest &Work) {
  --InFlight_;
  startNext();
  LoopbackReply Reply = completed(Work.Request_);
  Duration Late = std::exchange(Faults_.LateNext_, {});
  if (Late.count() == 0)
    return Work.Send_(std::move(Reply));
  Server_.after(Late, [Send = Work.Send_, Reply] { Send(Reply); });
}

void ExecutorServer::Impl::startNext() {
  if (Queue_.empty())
    return;
  PendingRequest Next = std::move(Queue_.front());
  Queue_.pop_front();
  start(std::move(Next));
}

void ExecutorServer::Impl::releaseHeld() {
  for (PendingRequest &Each : std::exchange(Held_, {}))
    accept(std::move(Each));
}

void ExecutorServer::Impl::markLeaving() {
  Faults_.Leaving_ = true;
  Settings_.Listing_.State_ = InstanceState::Leaving;
  if (Settings_.Platform_)
    (void)registerInstance(*Settings_.Platform_, Settings_.Listing_);
}

LoopbackReply ExecutorServer::Impl::refusal(const LoopbackRequest &Request,
                                            std::string_view Reason) const {
  LoopbackReply Reply{503, R"({"error":"not run"})"};
  Reply.Fields_ = {{std::string(RequestIdField), Request.field(RequestIdField)},
                   {"x-outcome", "not-run"},
                   {"x-reason", std::string(Reason)}};
  addState(Reply);
  return Reply;
}

LoopbackReply ExecutorServer::Impl::completed(const LoopbackRequest &Request) {
  std::string Id = Request.field(RequestIdField);
  if (consume(Faults_.ForeignNext_))
    Id = "foreign-" + Id;
  LoopbackReply Reply{200, answerBody(Id, Request.Body_)};
  Reply.Fields_ = {{std::string(RequestIdField), Id},
                   {"content-type", "application/json"}};
  addState(Reply);
  if (consume(Faults_.TruncateNext_))
    Reply.Fault_ = ReplyFault::Truncate;
  return Reply;
}

void ExecutorServer::Impl::addState(LoopbackReply &Reply) const {
  Reply.Fields_.push_back({"x-in-flight", std::to_string(InFlight_)});
  Reply.Fields_.push_back(
      {"x-slots", std::to_string(Settings_.Listing_.Slots_)});
  if (Faults_.Leaving_)
    Reply.Fields_.push_back({"x-state", "leaving"});
}

Duration ExecutorServer::Impl::drawServiceTime() {
  std::exponential_distribution<double> Unit(1.0);
  double Mean = static_cast<double>(Settings_.MeanServiceTime_.count());
  return Duration(
      static_cast<std::int64_t>(Mean * Faults_.SlowFactor_ * Unit(Random_)));
}

ExecutorServer::ExecutorServer(ExecutorSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}

ExecutorServer::~ExecutorServer() = default;

Result<std::uint16_t> ExecutorServer::listen(std::uint16_t Port) {
  Result<std::uint16_t> Bound = Impl_->Server_.listen(Port);
  if (!Bound)
    return Bound;
  ExecutorSettings &Settings = Impl_->Settings_;
  Settings.Listing_.Role_ = InstanceRole::Executor;
  Settings.Listing_.Http_ = {"127.0.0.1", *Bound};
  if (Settings.Platform_) {
    Status Done = registerInstance(*Settings.Platform_, Settings.Listing_);
    if (!Done)
      return fail(Done.error());
  }
  return Bound;
}

void ExecutorServer::stopOnSignal() { Impl_->Server_.stopOnSignal(); }

void ExecutorServer::run() { Impl_->Server_.run(); }

void ExecutorServer::stop() { Impl_->Server_.stop(); }

} // namespace filbertspring
