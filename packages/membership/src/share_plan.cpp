#include "share_plan.h"

#include "filbertspring/membership/share_targets.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace filbertspring::membership {

namespace {

/// An instance whose share is below its target.
struct Deficit {
  InstanceName Instance_;
  std::int32_t Permille_ = 0;
  bool HoldsNothing_ = false;
};

bool canReceive(const Member &Instance) {
  return Instance.State_ == Liveness::Alive;
}

bool keepsShare(const Member &Instance) {
  return Instance.State_ == Liveness::Alive ||
         Instance.State_ == Liveness::Suspected;
}

/// Returns the demand of each instance. For an instance that reported none, or
/// that may have failed, it is the current share, so that this share stays
/// unchanged.
std::vector<InstanceDemand> demandsOf(const SharePlanInput &Input) {
  std::vector<InstanceDemand> Demands;
  for (const Member &Instance : Input.Members_) {
    if (!keepsShare(Instance))
      continue;
    const InstanceName &Name = Instance.Heartbeat_.Instance_;
    auto Reported = Input.Demands_.find(Name);
    const bool IsReported =
        Reported != Input.Demands_.end() && canReceive(Instance);
    Demands.push_back(
        {Name, IsReported ? Reported->second : Input.Ledger_.shareOf(Name)});
  }
  return Demands;
}

std::int32_t targetOf(const std::vector<InstanceShare> &Targets,
                      const InstanceName &Name) {
  auto It = std::ranges::find(Targets, Name, &InstanceShare::Instance_);
  return It == Targets.end() ? 0 : It->Permille_;
}

/// Returns true for the one instance that reclaims lapsed shares and divides
/// the unassigned part, so that instances do not compete for it.
bool isCoordinator(const SharePlanInput &Input) {
  const InstanceName *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Instance : Input.Members_) {
    if (!canReceive(Instance))
      continue;
    const InstanceName &Name = Instance.Heartbeat_.Instance_;
    const std::uint64_t Score =
        rendezvousScore(Input.Contract_.str(), Name.str());
    if (Best && Score <= BestScore)
      continue;
    Best = &Name;
    BestScore = Score;
  }
  return Best && *Best == Input.Self_;
}

/// Builds a plan from successive changes of the ledger.
class Planner {
public:
  explicit Planner(const SharePlanInput &Input)
      : Input_(Input), Ledger_(Input.Ledger_),
        Targets_(targetShares(demandsOf(Input), Input.StepPermille_)),
        Threshold_(threshold()) {}

  void reclaimLapsed();
  void reclaimFromPredecessors();
  void divideUnassigned();
  void giveSurplus();
  void releaseOwn();

  bool changed() const { return Changed_; }
  SharePlan finish() {
    return {std::move(Ledger_), std::move(Guards_), DeferPermille_};
  }

private:
  std::int32_t threshold() const;
  std::vector<Deficit> deficits() const;
  /// Small deficits are ignored, so that fluctuations cause no writes.
  bool isSignificant(const Deficit &Entry) const {
    return Entry.HoldsNothing_ || Entry.Permille_ >= Threshold_;
  }
  bool hasSignificantDeficit() const;
  std::int32_t largestSurplus() const;
  void updateShare(const InstanceName &Name, std::int32_t Permille);
  void distributeUpTo(std::int32_t Amount);

  const SharePlanInput &Input_;
  ShareLedger Ledger_;
  std::vector<InstanceShare> Targets_;
  std::int32_t Threshold_;
  std::vector<Guard> Guards_;
  bool Changed_ = false;
  std::int32_t DeferPermille_ = 0;
};

std::int32_t Planner::threshold() const {
  const auto Count = static_cast<std::int32_t>(Targets_.size());
  const std::int32_t HalfEvenShare =
      Count > 0 ? WholeLimitPermille / (2 * Count) : WholeLimitPermille;
  return std::max(Input_.StepPermille_,
                  std::min(Input_.HysteresisPermille_, HalfEvenShare));
}

std::vector<Deficit> Planner::deficits() const {
  std::vector<Deficit> Deficits;
  for (const Member &Instance : Input_.Members_) {
    if (!canReceive(Instance))
      continue;
    const InstanceName &Name = Instance.Heartbeat_.Instance_;
    const std::int32_t Held = Ledger_.shareOf(Name);
    const std::int32_t Missing = targetOf(Targets_, Name) - Held;
    if (Missing > 0)
      Deficits.push_back({Name, Missing, Held == 0});
  }
  std::ranges::stable_sort(Deficits, [](const auto &Left, const auto &Right) {
    return std::pair(Left.HoldsNothing_, Left.Permille_) >
           std::pair(Right.HoldsNothing_, Right.Permille_);
  });
  return Deficits;
}

bool Planner::hasSignificantDeficit() const {
  return std::ranges::any_of(deficits(), [this](const Deficit &Entry) {
    return isSignificant(Entry);
  });
}

void Planner::updateShare(const InstanceName &Name, std::int32_t Permille) {
  if (Ledger_.setShare(Name, Permille))
    Changed_ = true;
}

void Planner::distributeUpTo(std::int32_t Amount) {
  std::int32_t Left = std::min(Amount, Ledger_.unassigned());
  for (const Deficit &Entry : deficits()) {
    const std::int32_t Part = std::min(Left, Entry.Permille_);
    if (Part <= 0)
      return;
    updateShare(Entry.Instance_, Ledger_.shareOf(Entry.Instance_) + Part);
    Left -= Part;
  }
}

void Planner::reclaimLapsed() {
  const std::vector<InstanceShare> Holders = Ledger_.record().Shares_;
  for (const InstanceShare &Holder : Holders) {
    if (Holder.Instance_ == Input_.Self_)
      continue;
    auto LapseGuard = Input_.Tracker_.lapsedGuard(Holder.Instance_);
    if (!LapseGuard)
      continue;
    updateShare(Holder.Instance_, 0);
    Guards_.push_back(*std::move(LapseGuard));
  }
}

/// Takes over the shares of earlier processes of this instance. Their leases
/// may last for hours, which is too long if all instances were restarted.
void Planner::reclaimFromPredecessors() {
  const std::vector<InstanceShare> Holders = Ledger_.record().Shares_;
  for (const InstanceShare &Holder : Holders) {
    auto EndGuard =
        Input_.Tracker_.predecessorGuard(Holder.Instance_, Input_.Self_);
    if (!EndGuard)
      continue;
    updateShare(Holder.Instance_, 0);
    updateShare(Input_.Self_, Ledger_.shareOf(Input_.Self_) + Holder.Permille_);
    Guards_.push_back(*std::move(EndGuard));
  }
}

void Planner::divideUnassigned() {
  const std::int32_t Free = Ledger_.unassigned();
  if (Free >= Threshold_ || hasSignificantDeficit())
    distributeUpTo(Free);
}

std::int32_t Planner::largestSurplus() const {
  std::int32_t Largest = 0;
  for (const Member &Instance : Input_.Members_) {
    const InstanceName &Name = Instance.Heartbeat_.Instance_;
    if (canReceive(Instance))
      Largest = std::max(Largest, Input_.Ledger_.shareOf(Name) -
                                      targetOf(Targets_, Name));
  }
  return Largest;
}

void Planner::giveSurplus() {
  const std::int32_t Held = Ledger_.shareOf(Input_.Self_);
  const std::int32_t Kept =
      std::max(targetOf(Targets_, Input_.Self_), Input_.InUsePermille_);
  const std::int32_t Surplus = Held - Kept;
  if (Surplus <= 0)
    return;
  std::int32_t Wanted = 0;
  for (const Deficit &Entry : deficits())
    if (isSignificant(Entry))
      Wanted += Entry.Permille_;
  if (Wanted == 0)
    return;
  // When the instance with the largest surplus writes first, the others often
  // need no write.
  const std::int32_t Largest = std::max(largestSurplus(), Surplus);
  if (!Changed_)
    DeferPermille_ = WholeLimitPermille * (Largest - Surplus) / Largest;
  const std::int32_t Given = std::min(Surplus, Wanted);
  updateShare(Input_.Self_, Held - Given);
  distributeUpTo(Given);
}

void Planner::releaseOwn() {
  const std::int32_t Held = Ledger_.shareOf(Input_.Self_);
  updateShare(Input_.Self_, 0);
  distributeUpTo(Held);
}

} // namespace

std::optional<SharePlan> planShares(const SharePlanInput &Input) {
  Planner Plan(Input);
  Plan.reclaimFromPredecessors();
  if (isCoordinator(Input)) {
    Plan.reclaimLapsed();
    Plan.divideUnassigned();
  }
  Plan.giveSurplus();
  if (!Plan.changed())
    return std::nullopt;
  return Plan.finish();
}

SharePlan planRelease(const SharePlanInput &Input) {
  Planner Plan(Input);
  Plan.releaseOwn();
  return Plan.finish();
}

} // namespace filbertspring::membership
