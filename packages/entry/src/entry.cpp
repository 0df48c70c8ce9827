#include "filbertspring/entry/entry.h"

#include "api/api.h"
#include "desks/membership_desk.h"

#include "filbertspring/base/log.h"
#include "filbertspring/transport/http_server.h"

#include <atomic>
#include <thread>

namespace filbertspring {
namespace {

/// Threads with a connection to the table, for each user of it. Each has its
/// own, so that a burst of one cannot delay the others.
constexpr std::size_t MembershipTableThreads = 4;
constexpr std::size_t PlacementTableThreads = 4;
constexpr std::size_t CallerTableThreads = 16;

/// How long requests are still taken after readiness is gone, so that the
/// balancer can notice.
constexpr Duration ReadinessNotice = std::chrono::seconds(1);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);

} // namespace

struct Entry::Impl {
  explicit Impl(Settings Values);

  bool waitForRequests(TimePoint Limit) const;
  void waitForPlacement(TimePoint Limit) const;
  void stop();

  const Settings Values_;
  const InstanceName Process_;
  CounterRegistry Counters_;
  NameMaker Names_;
  SnapshotBoard Board_;
  DemandMeter Demand_;
  TicketDesk Tickets_;
  std::atomic<bool> Leaving_{false};
  std::atomic<bool> Draining_{false};
  std::atomic<int> CallsRunning_{0};
  // Each desk uses those above it; they are stopped from the last one up.
  TableDesk MembershipTable_;
  TableDesk PlacementTable_;
  TableDesk CallerTable_;
  BurnDesk Burn_;
  RouteDesk Routes_;
  PlacementDesk Placement_;
  MembershipDesk Membership_;
  ApiContext Context_;
  HttpServer Server_;
};

Entry::Impl::Impl(Settings Values)
    : Values_(std::move(Values)), Process_(processName(Values_.Instance_)),
      Names_(Process_),
      MembershipTable_(Values_, MembershipTableThreads, Counters_),
      PlacementTable_(Values_, PlacementTableThreads, Counters_),
      CallerTable_(Values_, CallerTableThreads, Counters_),
      Burn_(Values_, MembershipTable_), Routes_(Values_, Tickets_, Counters_),
      Placement_(Values_, Process_, PlacementTable_, Counters_),
      Membership_(Values_, {Process_, MembershipTable_, Routes_, Placement_,
                            Demand_, Board_, Counters_}),
      Context_{Values_, Names_,  CallerTable_, Routes_,   Tickets_, Placement_,
               Burn_,   Demand_, Board_,       Counters_, Leaving_, Draining_},
      Server_(
          [this] {
            HttpServerOptions Options;
            Options.Listen_ = Values_.Listen_.Http_;
            Options.Threads_ =
                static_cast<std::size_t>(Values_.Listen_.MaxConnections_);
            return Options;
          }(),
          [this](const HttpRequest &Request) {
            ++CallsRunning_;
            HttpAnswer Answer = answerCall(Context_, Request);
            --CallsRunning_;
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
  while (CallsRunning_ > 0 || Tickets_.size() > 0) {
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
  TimePoint Limit = SchedulerClock::now() + Impl_->Values_.Drain_.Limit_;
  Impl_->Leaving_ = true;
  Impl_->Membership_.leave();
  Impl_->Placement_.post(placement::DrainStarted{});
  std::this_thread::sleep_for(ReadinessNotice);

  Impl_->Draining_ = true;
  Impl_->Routes_.post(routing::DrainStarted{});
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
  Routes_.stop();
  Burn_.stop();
  CallerTable_.stop();
  PlacementTable_.stop();
  MembershipTable_.stop();
}

} // namespace filbertspring
