#include "../experiments/routing_load.h"
#include "experiment.h"

namespace filbertspring::benchmark {

std::vector<Experiment> allExperiments() {
  return {
      {"routing-load", "Endpoint policies under load and faults",
       runRoutingLoad},
  };
}

} // namespace filbertspring::benchmark
