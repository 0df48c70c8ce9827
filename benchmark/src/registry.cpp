#include "../experiments/routing_cost.h"
#include "../experiments/routing_fairness.h"
#include "../experiments/routing_load.h"
#include "../experiments/routing_retries.h"
#include "experiment.h"

namespace filbertspring::benchmark {

std::vector<Experiment> allExperiments() {
  return {
      {"routing-cost", "Time of one routing decision", runRoutingCost},
      {"routing-fairness", "One contract far above its limit",
       runRoutingFairness},
      {"routing-load", "Endpoint policies under load and faults",
       runRoutingLoad},
      {"routing-retries", "An outage of half the executors", runRoutingRetries},
  };
}

} // namespace filbertspring::benchmark
