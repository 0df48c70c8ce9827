#include "filbertspring/transport/connection_choice.h"

#include <algorithm>
#include <utility>

namespace filbertspring {
namespace {

bool mayClose(const ConnectionLoad &Load) {
  return Load.Phase_ != ConnectionPhase::Handling && Load.Age_ >= MinAgeToClose;
}

double weight(const ConnectionLoad &Load) {
  return static_cast<double>(Load.Bytes_) *
         std::chrono::duration<double>(Load.Age_).count();
}

/// Pipelined requests begin anew all the time, so that clients that send many
/// of them would hold all connections.
bool isPipelining(const ConnectionLoad &Load) {
  return Load.PipelinedAge_ >= MinAgeToClose;
}

/// Returns how readily a connection is closed in favour of a new one.
int closingRank(const ConnectionLoad &Load) {
  if (isPipelining(Load))
    return 2;
  switch (Load.Phase_) {
  case ConnectionPhase::Lingering:
    return 3;
  case ConnectionPhase::Receiving:
  case ConnectionPhase::Responding:
    return 2;
  case ConnectionPhase::Idle:
  case ConnectionPhase::Waiting:
    return 1;
  case ConnectionPhase::Handling:
    break;
  }
  return 0;
}

} // namespace

std::vector<std::size_t> chooseForMemory(std::span<const ConnectionLoad> Loads,
                                         std::size_t BytesToFree) {
  std::vector<std::size_t> Order;
  for (std::size_t Index = 0; Index < Loads.size(); ++Index)
    if (mayClose(Loads[Index]) && Loads[Index].Bytes_ > 0)
      Order.push_back(Index);
  std::sort(Order.begin(), Order.end(),
            [Loads](std::size_t Left, std::size_t Right) {
              return weight(Loads[Left]) > weight(Loads[Right]);
            });
  std::size_t Freed = 0;
  std::size_t Count = 0;
  while (Count < Order.size() && Freed < BytesToFree)
    Freed += Loads[Order[Count++]].Bytes_;
  Order.resize(Count);
  return Order;
}

std::optional<std::size_t>
chooseForConnection(std::span<const ConnectionLoad> Loads) {
  std::optional<std::size_t> Chosen;
  auto KeyOf = [Loads](std::size_t Index) {
    const ConnectionLoad &Load = Loads[Index];
    return std::pair(closingRank(Load),
                     std::max(Load.Age_, Load.PipelinedAge_));
  };
  for (std::size_t Index = 0; Index < Loads.size(); ++Index)
    if ((mayClose(Loads[Index]) || isPipelining(Loads[Index])) &&
        (!Chosen || KeyOf(Index) > KeyOf(*Chosen)))
      Chosen = Index;
  return Chosen;
}

} // namespace filbertspring
