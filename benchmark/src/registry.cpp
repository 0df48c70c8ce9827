#include "../experiments/cell_load.h"
#include "../experiments/colocation.h"
#include "../experiments/peers_bytes.h"
#include "../experiments/place_wait.h"
#include "../experiments/routing_cost.h"
#include "../experiments/routing_fairness.h"
#include "../experiments/routing_load.h"
#include "../experiments/routing_retries.h"
#include "../experiments/shares_follow.h"
#include "experiment.h"

namespace filbertspring::benchmark {

std::vector<Experiment> allExperiments() {
  return {
      {"cell-load", "What callers of a cell get, and what its owner decides",
       runCellLoad},
      {"colocation", "Batch work beside services", runColocation},
      {"config-spread", "Time until a change is in force everywhere",
       runConfigurationSpread},
      {"peers-bytes", "Bytes and messages between peers", runPeersBytes},
      {"place-wait", "Waits for places near the data while a rack is hot",
       runPlaceWaitExperiment},
      {"routing-cost", "Time of one routing decision", runRoutingCost},
      {"routing-fairness", "One contract far above its limit",
       runRoutingFairness},
      {"routing-load", "Endpoint policies under load and faults",
       runRoutingLoad},
      {"routing-retries", "An outage of half the executors", runRoutingRetries},
      {"shares-follow", "How fast shares follow demand, and the writes",
       runSharesFollow},
  };
}

} // namespace filbertspring::benchmark
