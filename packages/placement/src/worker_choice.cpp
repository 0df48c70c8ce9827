#include "filbertspring/placement/worker_choice.h"

#include <tuple>

namespace filbertspring::placement {
namespace {

/// Orders candidates: the smaller, the better.
auto orderOf(const WorkerCandidate &Candidate, const Resources &Size) {
  Resources Left = Candidate.Free_ - Size;
  bool WastesAccelerators = Size.Accelerators_ == Accelerators{} &&
                            Candidate.Capacity_.Accelerators_ != Accelerators{};
  return std::tuple(WastesAccelerators, Left.Accelerators_, Left.Cpu_,
                    Left.Memory_);
}

} // namespace

std::optional<std::size_t>
chooseWorker(std::span<const WorkerCandidate> Candidates, const Resources &Size,
             const std::function<bool(const WorkerCandidate &)> &Admits) {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const WorkerCandidate &Each = Candidates[Index];
    if (Each.Allowance_ == 0 || !Size.fitsIn(Each.Free_))
      continue;
    bool Better =
        !Best || orderOf(Each, Size) < orderOf(Candidates[*Best], Size);
    if (Better && (!Admits || Admits(Each)))
      Best = Index;
  }
  return Best;
}

} // namespace filbertspring::placement
