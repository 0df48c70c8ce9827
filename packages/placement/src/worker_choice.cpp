#include "filbertspring/placement/worker_choice.h"

#include <tuple>

namespace filbertspring::placement {
namespace {

/// Returns the sort key of a candidate that fits \p Size; the smallest is best.
auto sortKey(const WorkerCandidate &Candidate, const Resources &Size) {
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
    const WorkerCandidate &Candidate = Candidates[Index];
    if (Candidate.Allowance_ == 0 || !Size.fitsIn(Candidate.Free_))
      continue;
    bool Better =
        !Best || sortKey(Candidate, Size) < sortKey(Candidates[*Best], Size);
    if (Better && (!Admits || Admits(Candidate)))
      Best = Index;
  }
  return Best;
}

} // namespace filbertspring::placement
