#include "settings_rules.h"

#include "document.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string_view>
#include <vector>

namespace filbertspring::config_detail {
namespace {

/// Number of renewal intervals that must fit into a lease: the lease survives
/// the loss of all of these renewals but one.
constexpr int RenewalsPerLease = 3;

/// A relation between settings. A violation is reported at the first of its
/// places.
struct Rule {
  bool Holds_;
  std::vector<std::string_view> Places_;
  std::string_view Problem_;
  std::string_view Allowed_;
};

/// Checks rules and reports the violated ones.
class RuleChecker {
public:
  /// Rules for fields that already have a finding in \p Report are skipped.
  explicit RuleChecker(Findings &Report)
      : ReadErrors_(Report), Report_(Report) {}

  void check(const Rule &Item) {
    if (Item.Holds_)
      return;
    bool Skipped =
        std::ranges::any_of(Item.Places_, [this](std::string_view Place) {
          return hasFindingAt(ReadErrors_, Place);
        });
    if (!Skipped)
      Report_.add(Item.Places_.front(), Item.Problem_, Item.Allowed_);
  }

private:
  Findings ReadErrors_;
  Findings &Report_;
};

void checkLeases(const Settings &Values, RuleChecker &Rules) {
  const LeaseSettings &Leases = Values.Leases_;
  Rules.check({Leases.RenewInterval_ * RenewalsPerLease <= Leases.WorkerLease_,
               {"/leases/renew_every", "/leases/worker_lease"},
               "renewals are too rare for the lease",
               "at most a third of worker_lease"});
  Rules.check(
      {Leases.HeartbeatInterval_ * RenewalsPerLease <= Leases.InstanceLapse_,
       {"/leases/heartbeat_every", "/leases/instance_lapse"},
       "heartbeats are too rare for the lapse",
       "at most a third of instance_lapse"});
  Rules.check({Leases.Margin_ < Leases.WorkerLease_,
               {"/leases/margin", "/leases/worker_lease"},
               "margin is not shorter than the lease",
               "less than worker_lease"});
  Rules.check({Leases.CutOffGrace_ >= Leases.WorkerLease_,
               {"/leases/cut_off_grace", "/leases/worker_lease"},
               "grace is shorter than the lease",
               "at least worker_lease"});
  Rules.check({Values.Platform_.Timeout_ <= Leases.HeartbeatInterval_,
               {"/platform/timeout", "/leases/heartbeat_every"},
               "one call may delay the next heartbeat",
               "at most heartbeat_every"});
}

void checkIntervals(const Settings &Values, RuleChecker &Rules) {
  Rules.check(
      {Values.Configuration_.PollInterval_ + Values.Platform_.Timeout_ <=
           Values.ZonesOut_.StartBound_,
       {"/zones_out/start_bound", "/configuration/poll_every",
        "/platform/timeout"},
       "zone states cannot be known in time",
       "at least poll_every and platform timeout together"});
  Rules.check({Values.Shares_.Lapse_ >= Values.Leases_.InstanceLapse_,
               {"/shares/lapse", "/leases/instance_lapse"},
               "a share lapses before its instance does",
               "at least instance_lapse"});
  Rules.check({Values.Shares_.RebalanceInterval_ * RenewalsPerLease <=
                   Values.Shares_.Lapse_,
               {"/shares/rebalance_every", "/shares/lapse"},
               "shares are renewed too rarely for the lapse",
               "at most a third of lapse"});
}

void checkZones(const Settings &Values, RuleChecker &Rules) {
  Rules.check({!Values.Zones_.empty(),
               {"/zones"},
               "no availability zone is named",
               "at least one zone"});
  std::set<ZoneName> Names;
  for (std::size_t Index = 0; Index < Values.Zones_.size(); ++Index) {
    std::string Place = fmt::format("/zones/{}/name", Index);
    Rules.check({Names.insert(Values.Zones_[Index].Name_).second,
                 {Place},
                 "name is used twice",
                 "a name of its own"});
  }
  std::string Problem = fmt::format("availability zone \"{}\" does not exist",
                                    Values.Zone_.str());
  std::string Allowed = "one of \"zones\"";
  Rules.check(
      {Names.contains(Values.Zone_), {"/zone", "/zones"}, Problem, Allowed});
}

} // namespace

void checkSettings(const Settings &Values, Findings &Report) {
  RuleChecker Rules(Report);
  checkZones(Values, Rules);
  Rules.check({!(Values.Listen_.Http_ == Values.Listen_.Peer_),
               {"/listen/peer", "/listen/http"},
               "is the address of http as well",
               "an address of its own"});
  checkLeases(Values, Rules);
  checkIntervals(Values, Rules);
}

} // namespace filbertspring::config_detail
