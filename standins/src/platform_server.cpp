#include "filbertspring/standins/platform_server.h"

#include "filbertspring/standins/loopback_server.h"
#include "instance_registry.h"
#include "raw_table.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view ObjectPrefix = "/objects/";
constexpr std::string_view InstancePrefix = "/instances/";

const LoopbackReply NotFoundReply{404, R"({"error":"not found"})"};
const LoopbackReply RefusedReply{503, R"({"error":"unavailable"})"};
const LoopbackReply ClosedReply{200, "", {}, ReplyFault::Close};

LoopbackReply badRequest(const Json::exception &Problem) {
  return {400, Json{{"error", Problem.what()}}.dump()};
}

/// The active faults.
struct Faults {
  bool Down_ = false;
  milliseconds Delay_{};
  std::int64_t LoseAnswers_ = 0;
  std::int64_t Refuse_ = 0;
  Duration ListLag_{};
  std::vector<std::string> PartitionedZones_;

  /// Updates the faults that \p Body contains.
  void update(const Json &Body) {
    Faults Updated = *this;
    Updated.Down_ = Body.value("down", Down_);
    Updated.Delay_ = milliseconds(Body.value("delay_ms", Delay_.count()));
    Updated.LoseAnswers_ = Body.value("lose_answers", LoseAnswers_);
    Updated.Refuse_ = Body.value("refuse", Refuse_);
    Updated.PartitionedZones_ = Body.value("cut_zones", PartitionedZones_);
    if (Body.contains("list_lag_ms"))
      Updated.ListLag_ = milliseconds(Body["list_lag_ms"].get<std::int64_t>());
    *this = std::move(Updated);
  }

  bool isPartitioned(const std::string &Zone) const {
    return std::find(PartitionedZones_.begin(), PartitionedZones_.end(),
                     Zone) != PartitionedZones_.end();
  }
};

/// Decrements \p Count and returns true when it is positive.
bool decrementIfPositive(std::int64_t &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

} // namespace

struct PlatformServer::Impl {
  explicit Impl(Duration ListLag)
      : Server_([this](const LoopbackRequest &Request, ReplySender Send) {
          serve(Request, std::move(Send));
        }) {
    Faults_.ListLag_ = ListLag;
  }

  void serve(const LoopbackRequest &Request, ReplySender Send);
  /// Returns whether the call controls the stand-in itself; faults do not apply
  /// to such calls.
  static bool isControl(const LoopbackRequest &Request);
  LoopbackReply control(const LoopbackRequest &Request);
  LoopbackReply answer(const LoopbackRequest &Request);
  LoopbackReply table(const LoopbackRequest &Request, const Json &Body);
  LoopbackReply commit(const Json &Body);
  LoopbackReply object(const LoopbackRequest &Request);
  LoopbackReply instances() const;

  Faults Faults_;
  RawTable Table_;
  std::map<std::string, std::string> Objects_;
  InstanceRegistry Instances_;
  LoopbackServer Server_;
};

bool PlatformServer::Impl::isControl(const LoopbackRequest &Request) {
  bool Registers =
      Request.Path_.starts_with("/instances") && Request.Method_ != "GET";
  return Registers || Request.Path_ == "/counts" || Request.Path_ == "/faults";
}

void PlatformServer::Impl::serve(const LoopbackRequest &Request,
                                 ReplySender Send) {
  try {
    if (isControl(Request))
      return Send(control(Request));
  } catch (const Json::exception &Problem) {
    return Send(badRequest(Problem));
  }
  if (Faults_.Down_ || Faults_.isPartitioned(Request.field("x-zone")))
    return Send(ClosedReply);
  auto Serve = [this, Request, Send = std::move(Send)] {
    Send(answer(Request));
  };
  // A delayed commit takes effect at the end of its delay.
  if (Faults_.Delay_.count() > 0)
    Server_.after(Faults_.Delay_, std::move(Serve));
  else
    Serve();
}

LoopbackReply PlatformServer::Impl::control(const LoopbackRequest &Request) {
  if (Request.Path_ == "/counts")
    return Table_.counts();
  if (Request.Path_ == "/faults") {
    Faults_.update(Json::parse(Request.Body_));
    return {200, "{}"};
  }
  TimePoint Now = SchedulerClock::now();
  if (Request.Method_ == "DELETE") {
    std::string Name = Request.Path_.substr(InstancePrefix.size());
    Instances_.set(Name, nullptr, Now);
    return {200, "{}"};
  }
  Json Entry = Json::parse(Request.Body_);
  auto Name = Entry.at("name").get<std::string>();
  Instances_.set(Name, std::move(Entry), Now);
  return {200, "{}"};
}

LoopbackReply PlatformServer::Impl::answer(const LoopbackRequest &Request) {
  try {
    if (Request.Path_.starts_with(ObjectPrefix))
      return object(Request);
    if (Request.Path_ == "/instances")
      return instances();
    return table(Request, Json::parse(Request.Body_));
  } catch (const Json::exception &Problem) {
    return badRequest(Problem);
  }
}

LoopbackReply PlatformServer::Impl::table(const LoopbackRequest &Request,
                                          const Json &Body) {
  if (Request.Path_ == "/table/read")
    return Table_.read(Body);
  if (Request.Path_ == "/table/scan")
    return Table_.scan(Body);
  if (Request.Path_ == "/table/commit")
    return commit(Body);
  return NotFoundReply;
}

LoopbackReply PlatformServer::Impl::commit(const Json &Body) {
  if (decrementIfPositive(Faults_.Refuse_))
    return RefusedReply;
  LoopbackReply Reply = Table_.commit(Body);
  return decrementIfPositive(Faults_.LoseAnswers_) ? ClosedReply : Reply;
}

LoopbackReply PlatformServer::Impl::object(const LoopbackRequest &Request) {
  std::string Name = Request.Path_.substr(ObjectPrefix.size());
  if (Request.Method_ == "PUT") {
    Objects_[Name] = Request.Body_;
    return {200, "{}"};
  }
  auto Found = Objects_.find(Name);
  if (Found == Objects_.end())
    return NotFoundReply;
  return {200, Found->second};
}

LoopbackReply PlatformServer::Impl::instances() const {
  TimePoint AsOf = SchedulerClock::now() - Faults_.ListLag_;
  return {200, Json{{"instances", Instances_.listAt(AsOf)}}.dump()};
}

PlatformServer::PlatformServer(Duration ListLag)
    : Impl_(std::make_unique<Impl>(ListLag)) {}

PlatformServer::~PlatformServer() = default;

Result<std::uint16_t> PlatformServer::listen(std::uint16_t Port) {
  return Impl_->Server_.listen(Port);
}

void PlatformServer::stopOnSignal() { Impl_->Server_.stopOnSignal(); }

void PlatformServer::run() { Impl_->Server_.run(); }

void PlatformServer::stop() { Impl_->Server_.stop(); }

} // namespace filbertspring
