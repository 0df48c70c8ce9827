#include "workspace_usage.h"

namespace filbertspring::scheduling {
namespace {

/// Returns whether \p Used and \p Request together are within \p Maximum, of
/// which values of 0 mean no limit.
bool areWithin(const Resources &Used, const Resources &Request,
               const Resources &Maximum) {
  auto IsWithin = [](std::int64_t Amount, std::int64_t Limit) {
    return Limit <= 0 || Amount <= Limit;
  };
  return IsWithin(Used.MilliCpu_ + Request.MilliCpu_, Maximum.MilliCpu_) &&
         IsWithin(Used.MemoryMb_ + Request.MemoryMb_, Maximum.MemoryMb_) &&
         IsWithin(Used.Accelerators_ + Request.Accelerators_,
                  Maximum.Accelerators_);
}

} // namespace

void WorkspaceState::add(const Resources &Request, bool IsLongRunning) {
  Used_ += Request;
  if (IsLongRunning)
    UsedByLongRunning_ += Request;
  ++Runs_;
}

void WorkspaceState::remove(const Resources &Request, bool IsLongRunning) {
  Used_ -= Request;
  if (IsLongRunning)
    UsedByLongRunning_ -= Request;
  --Runs_;
}

bool WorkspaceState::permits(const Resources &Request) const {
  return areWithin(Used_, Request, Maximum_);
}

bool WorkspaceState::fitsBesideLongRunning(const Resources &Request) const {
  return areWithin(UsedByLongRunning_, Request, Maximum_);
}

void WorkspaceState::observeUse(TimePoint Now) {
  if (!areWithin(Used_, Used_, Maximum_))
    BelowHalfSince_.reset();
  else if (!BelowHalfSince_)
    BelowHalfSince_ = Now;
}

WorkspaceUsage::WorkspaceUsage() { obtain(""); }

void WorkspaceUsage::configure(const std::vector<Workspace> &Configured) {
  for (const auto &State : All_) {
    State->IsConfigured_ = false;
    State->Weight_ = 0;
  }
  double Weights = 0;
  std::size_t Count = 0;
  for (const Workspace &Entry : Configured) {
    WorkspaceState &State = obtain(Entry.Name_);
    if (State.IsConfigured_ || Entry.Name_.empty())
      continue;
    State.IsConfigured_ = true;
    State.Weight_ = Entry.Weight_;
    State.Maximum_ = Entry.Maximum_;
    Weights += Entry.Weight_;
    ++Count;
  }
  if (Count > 0)
    obtain("").Weight_ = Weights / static_cast<double>(Count);
}

WorkspaceState &WorkspaceUsage::obtain(const std::string &Name) {
  auto [It, IsNew] = ByName_.try_emplace(Name);
  if (IsNew) {
    It->second = All_.emplace_back(std::make_unique<WorkspaceState>()).get();
    It->second->Name_ = Name;
    It->second->Index_ = All_.size() - 1;
  }
  return *It->second;
}

WorkspaceState *WorkspaceUsage::find(const std::string &Name) const {
  auto It = ByName_.find(Name);
  return It == ByName_.end() ? nullptr : It->second;
}

} // namespace filbertspring::scheduling
