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
  bool HasNone_ = false;
};

bool receives(const Member &Each) { return Each.State_ == Liveness::Alive; }

bool keepsShare(const Member &Each) {
  return Each.State_ == Liveness::Alive || Each.State_ == Liveness::Suspected;
}

/// Returns the demand of each instance. For an instance that reported none, or
/// that may have failed, it is the current share, so that this share stays
/// unchanged.
std::vector<InstanceDemand> demandsOf(const SharePlanInput &Input) {
  std::vector<InstanceDemand> Demands;
  for (const Member &Each : Input.Members_) {
    if (!keepsShare(Each))
      continue;
    const InstanceName &Name = Each.Heartbeat_.Instance_;
    auto Told = Input.Demands_.find(Name);
    const bool Known = Told != Input.Demands_.end() && receives(Each);
    Demands.push_back(
        {Name, Known ? Told->second : Input.Ledger_.shareOf(Name)});
  }
  return Demands;
}

std::int32_t targetOf(const std::vector<InstanceShare> &Targets,
                      const InstanceName &Name) {
  auto Found = std::ranges::find(Targets, Name, &InstanceShare::Instance_);
  return Found == Targets.end() ? 0 : Found->Permille_;
}

/// Returns true for the one instance that reclaims lapsed shares and divides
/// the unassigned part, so that instances do not compete for it.
bool isSteward(const SharePlanInput &Input) {
  const InstanceName *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Each : Input.Members_) {
    if (!receives(Each))
      continue;
    const InstanceName &Name = Each.Heartbeat_.Instance_;
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
  void divideUnassigned();
  void giveSurplus();
  void releaseOwn();

  bool changed() const { return Changed_; }
  SharePlan take() {
    return {std::move(Ledger_), std::move(Guards_), DeferPermille_};
  }

private:
  std::int32_t threshold() const;
  std::vector<Deficit> deficits() const;
  /// Small deficits are ignored, so that fluctuations cause no writes.
  bool isHungry(const Deficit &Each) const {
    return Each.HasNone_ || Each.Permille_ >= Threshold_;
  }
  bool anyHungry() const;
  std::int32_t largestSurplus() const;
  void set(const InstanceName &Name, std::int32_t Permille);
  void assignUpTo(std::int32_t Amount);

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
  const std::int32_t HalfEven =
      Count > 0 ? WholeLimitPermille / (2 * Count) : WholeLimitPermille;
  return std::max(Input_.StepPermille_,
                  std::min(Input_.HysteresisPermille_, HalfEven));
}

std::vector<Deficit> Planner::deficits() const {
  std::vector<Deficit> Found;
  for (const Member &Each : Input_.Members_) {
    if (!receives(Each))
      continue;
    const InstanceName &Name = Each.Heartbeat_.Instance_;
    const std::int32_t Held = Ledger_.shareOf(Name);
    const std::int32_t Missing = targetOf(Targets_, Name) - Held;
    if (Missing > 0)
      Found.push_back({Name, Missing, Held == 0});
  }
  std::ranges::stable_sort(Found, [](const auto &Left, const auto &Right) {
    return std::pair(Left.HasNone_, Left.Permille_) >
           std::pair(Right.HasNone_, Right.Permille_);
  });
  return Found;
}

bool Planner::anyHungry() const {
  return std::ranges::any_of(
      deficits(), [this](const Deficit &Each) { return isHungry(Each); });
}

void Planner::set(const InstanceName &Name, std::int32_t Permille) {
  if (Ledger_.setShare(Name, Permille))
    Changed_ = true;
}

void Planner::assignUpTo(std::int32_t Amount) {
  std::int32_t Left = std::min(Amount, Ledger_.unassigned());
  for (const Deficit &Each : deficits()) {
    const std::int32_t Part = std::min(Left, Each.Permille_);
    if (Part <= 0)
      return;
    set(Each.Instance_, Ledger_.shareOf(Each.Instance_) + Part);
    Left -= Part;
  }
}

void Planner::reclaimLapsed() {
  const std::vector<InstanceShare> Holders = Ledger_.record().Shares_;
  for (const InstanceShare &Holder : Holders) {
    if (Holder.Instance_ == Input_.Self_)
      continue;
    auto Lapsed = Input_.Tracker_.lapsedGuard(Holder.Instance_);
    if (!Lapsed)
      continue;
    set(Holder.Instance_, 0);
    Guards_.push_back(*std::move(Lapsed));
  }
}

void Planner::divideUnassigned() {
  const std::int32_t Free = Ledger_.unassigned();
  if (Free >= Threshold_ || anyHungry())
    assignUpTo(Free);
}

std::int32_t Planner::largestSurplus() const {
  std::int32_t Largest = 0;
  for (const Member &Each : Input_.Members_) {
    const InstanceName &Name = Each.Heartbeat_.Instance_;
    if (receives(Each))
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
  for (const Deficit &Each : deficits())
    if (isHungry(Each))
      Wanted += Each.Permille_;
  if (Wanted == 0)
    return;
  // When the instance with the largest surplus writes first, the others often
  // need no write.
  const std::int32_t Largest = std::max(largestSurplus(), Surplus);
  if (!Changed_)
    DeferPermille_ = WholeLimitPermille * (Largest - Surplus) / Largest;
  const std::int32_t Given = std::min(Surplus, Wanted);
  set(Input_.Self_, Held - Given);
  assignUpTo(Given);
}

void Planner::releaseOwn() {
  const std::int32_t Held = Ledger_.shareOf(Input_.Self_);
  set(Input_.Self_, 0);
  assignUpTo(Held);
}

} // namespace

std::optional<SharePlan> planShares(const SharePlanInput &Input) {
  Planner Plan(Input);
  if (isSteward(Input)) {
    Plan.reclaimLapsed();
    Plan.divideUnassigned();
  }
  Plan.giveSurplus();
  if (!Plan.changed())
    return std::nullopt;
  return Plan.take();
}

SharePlan planRelease(const SharePlanInput &Input) {
  Planner Plan(Input);
  Plan.releaseOwn();
  return Plan.take();
}

} // namespace filbertspring::membership
