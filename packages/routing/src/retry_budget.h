#ifndef FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H
#define FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H

/// \file
/// Retries and hedges that a contract may spend.

#include "filbertspring/routing/config.h"

#include <algorithm>

namespace filbertspring::routing {

/// Each completed request earns a fraction of a retry, so that an outage is
/// not multiplied by the retries that it causes.
class RetryBudget {
public:
  explicit RetryBudget(const RetryConfig &Config)
      : Config_(Config), Saved_(Config.MaxSavedRetries_) {}

  void earn() {
    Saved_ =
        std::min(Saved_ + Config_.BudgetFraction_, Config_.MaxSavedRetries_);
  }

  /// Takes one retry and returns true, or returns false when none is left.
  bool trySpend() {
    if (!Config_.BudgetEnforced_)
      return true;
    if (Saved_ < 1.0)
      return false;
    Saved_ -= 1.0;
    return true;
  }

  /// Gives back a retry that was not sent.
  void refund() { Saved_ += 1.0; }

private:
  RetryConfig Config_;
  double Saved_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H
