#include "filbertspring/entry/entry.h"

#include "api/api.h"
#include "threads/membership_service.h"

#include "filbertspring/base/log.h"
#include "filbertspring/transport/http_server.h"

#include <atomic>
#include <thread>

namespace filbertspring {
namespace {

/// Number of table connections (one thread each) per component. The components
/// have separate pools, so that a burst of one cannot delay the others.
constexpr std::size_t MembershipTableThreads = 4;
constexpr std::size_t PlacementTableThreads = 4;
constexpr std::size_t CallerTableThreads = 16;

/// How long requests are still accepted after readiness is withdrawn, so that
/// the load balancer has time to notice.
constexpr Duration ReadinessNoticePeriod = std::chrono::seconds(1);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);

} // namespace

struct Entry::Impl {
  explicit Impl(Settings Values);

  bool waitForRequests(TimePoint Limit) const;
  void waitForPlacement(TimePoint Limit) const;
  void stop();

  const Settings Settings_;
  const InstanceName Process_;
  CounterRegistry Counters_;
  UniqueNameGenerator Names_;
  SnapshotPublisher Snapshots_;
  DemandMeter Demand_;
  PendingRequestTable PendingRequests_;
  std::atomic<bool> DrainStarted_{false};
  std::atomic<bool> RefusesNewWork_{false};
  std::atomic<int> ActiveCalls_{0};
  // Each component below uses only those declared above it. stop() therefore
  // stops them in reverse order.
  TableClientPool MembershipTable_;
  TableClientPool PlacementTable_;
  TableClientPool CallerTable_;
  BurnRecorder BurnRecorder_;
  RouterThread Routing_;
  SchedulerThread Placement_;
  MembershipService Membership_;
  ApiContext Context_;
  HttpServer Server_;
};

Entry::Impl::Impl(Settings Values)
    : Settings_(std::move(Values)),
      Process_(makeProcessName(Settings_.Instance_)), Names_(Process_),
      MembershipTable_(Settings_, MembershipTableThreads, Counters_),
      PlacementTable_(Settings_, PlacementTableThreads, Counters_),
      CallerTable_(Settings_, CallerTableThreads, Counters_),
      BurnRecorder_(Settings_, MembershipTable_),
      Routing_(Settings_, PendingRequests_, Counters_),
      Placement_(Settings_, Process_, PlacementTable_, Counters_),
      Membership_(Settings_, {Process_, MembershipTable_, Routing_, Placement_,
                              Demand_, Snapshots_, Counters_}),
      Context_{Settings_,        Names_,     CallerTable_,  Routing_,
               PendingRequests_, Placement_, BurnRecorder_, Demand_,
               Snapshots_,       Counters_,  DrainStarted_, RefusesNewWork_},
      Server_(
          [this] {
            HttpServerOptions Options;
            Options.Listen_ = Settings_.Listen_.Http_;
            Options.Threads_ =
                static_cast<std::size_t>(Settings_.Listen_.MaxConnections_);
            return Options;
          }(),
          [this](const HttpRequest &Request) {
            ++ActiveCalls_;
            HttpAnswer Answer = answerCall(Context_, Request);
            --ActiveCalls_;
            return Answer;
          }) {}

Entry::Entry(Settings Values)
    : Impl_(std::make_unique<Impl>(std::move(Values))) {}

Entry::~Entry() { Impl_->stop(); }

Status Entry::start() {
  if (Status Bound = Impl_->Membership_.start(); !Bound)
    return Bound;
  return Impl_->Server_.start();
}

std::uint16_t Entry::httpPort() const { return Impl_->Server_.port(); }

bool Entry::Impl::waitForRequests(TimePoint Limit) const {
  while (ActiveCalls_ > 0 || PendingRequests_.size() > 0) {
    if (SchedulerClock::now() >= Limit)
      return false;
    std::this_thread::sleep_for(DrainCheckInterval);
  }
  return true;
}

void Entry::Impl::waitForPlacement(TimePoint Limit) const {
  while (!Placement_.snapshot().Drained_ && SchedulerClock::now() < Limit)
    std::this_thread::sleep_for(DrainCheckInterval);
}

bool Entry::drain() {
  logEvent(LogEvent::ProcessDraining);
  TimePoint Limit = SchedulerClock::now() + Impl_->Settings_.Drain_.Limit_;
  Impl_->DrainStarted_ = true;
  Impl_->Membership_.leave();
  Impl_->Placement_.post(placement::DrainStarted{});
  std::this_thread::sleep_for(ReadinessNoticePeriod);

  Impl_->RefusesNewWork_ = true;
  Impl_->Routing_.post(routing::DrainStarted{});
  Impl_->Server_.beginDrain();
  bool Finished = Impl_->waitForRequests(Limit);
  Impl_->waitForPlacement(Limit);
  Impl_->Membership_.release();
  Impl_->stop();
  logEvent(LogEvent::ProcessStopped);
  return Finished;
}

void Entry::Impl::stop() {
  Server_.stop();
  Membership_.stop();
  Placement_.stop();
  Routing_.stop();
  BurnRecorder_.stop();
  CallerTable_.stop();
  PlacementTable_.stop();
  MembershipTable_.stop();
}

} // namespace filbertspring
