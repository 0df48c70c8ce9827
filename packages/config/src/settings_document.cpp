#include "filbertspring/config/settings_document.h"

#include "document_reader.h"
#include "settings_rules.h"

namespace filbertspring {
namespace {

using namespace std::chrono_literals;
using config_detail::ObjectReader;
using config_detail::Presence;

using DurationBounds = config_detail::Bounds<Duration>;

constexpr DurationBounds IntervalBounds{10ms, 1min};
constexpr DurationBounds TimeoutBounds{10ms, 30s};
constexpr DurationBounds LeaseBounds{100ms, 10min};
constexpr DurationBounds GraceBounds{1s, 24h};
constexpr DurationBounds MarginBounds{1ms, 10s};
constexpr DurationBounds StartBoundBounds{100ms, 30s};
constexpr DurationBounds IdleBounds{10ms, 1min};
constexpr DurationBounds LapseBounds{1s, 24h};
constexpr DurationBounds DrainBounds{100ms, 10min};
constexpr config_detail::Bounds<std::int64_t> ConnectionBounds{8, 10000};
constexpr config_detail::Bounds<std::int64_t> QueueBounds{1, 60000};
constexpr config_detail::Bounds<double> DriftBounds{0.0, 0.1};
constexpr config_detail::Bounds<double> FractionBounds{0.0, 1.0};

void readListen(ObjectReader &Reader, ListenSettings &Into) {
  Reader.readAddress("http", Into.Http_);
  Reader.readAddress("peer", Into.Peer_);
  Reader.readInteger("max_connections", Into.MaxConnections_, ConnectionBounds,
                     Presence::Optional);
}

void readPlatform(ObjectReader &Reader, PlatformSettings &Into) {
  Reader.readAddress("address", Into.Address_);
  Reader.readDuration("timeout", Into.Timeout_, TimeoutBounds,
                      Presence::Optional);
}

void readLeases(ObjectReader &Reader, LeaseSettings &Into) {
  Reader.readDuration("worker_lease", Into.WorkerLease_, LeaseBounds,
                      Presence::Optional);
  Reader.readDuration("renew_every", Into.RenewInterval_, IntervalBounds,
                      Presence::Optional);
  Reader.readDuration("cut_off_grace", Into.CutOffGrace_, GraceBounds,
                      Presence::Optional);
  Reader.readDuration("heartbeat_every", Into.HeartbeatInterval_,
                      IntervalBounds, Presence::Optional);
  Reader.readDuration("instance_lapse", Into.InstanceLapse_, LeaseBounds,
                      Presence::Optional);
  Reader.readFraction("clock_drift", Into.ClockDrift_, DriftBounds,
                      Presence::Optional);
  Reader.readDuration("margin", Into.Margin_, MarginBounds, Presence::Optional);
}

void readRequests(ObjectReader &Reader, RequestSettings &Into) {
  Reader.readInteger("queue_limit", Into.QueueLimit_, QueueBounds,
                     Presence::Optional);
  Reader.readFraction("retry_budget", Into.RetryBudget_, FractionBounds,
                      Presence::Optional);
  Reader.readDuration("idle_reuse", Into.IdleReuse_, IdleBounds,
                      Presence::Optional);
}

void readShares(ObjectReader &Reader, ShareSettings &Into) {
  Reader.readDuration("lapse", Into.Lapse_, LapseBounds, Presence::Optional);
  Reader.readDuration("rebalance_every", Into.RebalanceInterval_,
                      IntervalBounds, Presence::Optional);
}

void readIdentity(ObjectReader &Reader, Settings &Into) {
  Reader.readName("instance", Into.Instance_);
  Reader.readName("zone", Into.Zone_);
  Reader.readObjects("zones", Presence::Required, [&](ObjectReader &Item) {
    ZoneSettings &Zone = Into.Zones_.emplace_back();
    Item.readName("name", Zone.Name_);
    Item.readName("region", Zone.Region_);
  });
}

void readSettings(ObjectReader &Reader, Settings &Into) {
  readIdentity(Reader, Into);
  Reader.readObject("listen", Presence::Required, [&](ObjectReader &Member) {
    readListen(Member, Into.Listen_);
  });
  Reader.readObject("platform", Presence::Required, [&](ObjectReader &Member) {
    readPlatform(Member, Into.Platform_);
  });
  Reader.readObject("leases", Presence::Optional, [&](ObjectReader &Member) {
    readLeases(Member, Into.Leases_);
  });
  Reader.readObject("zones_out", Presence::Optional, [&](ObjectReader &Member) {
    Member.readDuration("start_bound", Into.ZonesOut_.StartBound_,
                        StartBoundBounds, Presence::Optional);
  });
  Reader.readObject("requests", Presence::Optional, [&](ObjectReader &Member) {
    readRequests(Member, Into.Requests_);
  });
  Reader.readObject("shares", Presence::Optional, [&](ObjectReader &Member) {
    readShares(Member, Into.Shares_);
  });
  Reader.readObject(
      "configuration", Presence::Optional, [&](ObjectReader &Member) {
        Member.readDuration("poll_every", Into.Configuration_.PollInterval_,
                            IntervalBounds, Presence::Optional);
      });
  Reader.readObject("batch", Presence::Optional, [&](ObjectReader &Member) {
    Member.readEnum("interference", ToggleNames, Into.Batch_.Interference_,
                    Presence::Optional);
  });
  Reader.readObject("drain", Presence::Optional, [&](ObjectReader &Member) {
    Member.readDuration("limit", Into.Drain_.Limit_, DrainBounds,
                        Presence::Optional);
  });
}

} // namespace

ParsedSettings parseSettings(std::string_view Text) {
  ParsedSettings Parsed;
  Settings Values;
  config_detail::readDocument(
      Text, Parsed.Findings_, [&](ObjectReader &Reader) {
        readSettings(Reader, Values);
        config_detail::checkSettings(Values, Parsed.Findings_);
      });
  if (Parsed.Findings_.empty())
    Parsed.Settings_ = std::move(Values);
  return Parsed;
}

} // namespace filbertspring
