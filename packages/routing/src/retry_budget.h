#ifndef FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H
#define FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H

/// \file
/// The budget of retries and hedges of a contract.

#include "filbertspring/routing/config.h"

#include <algorithm>

namespace filbertspring::routing {

/// Limits retries and hedges to a fraction of the completed requests, so that
/// retries during an outage don't multiply the load.
class RetryBudget {
public:
  explicit RetryBudget(const RetryConfig &Config)
      : Config_(Config), Saved_(Config.MaxSavedRetries_) {}

  void earn() {
    Saved_ =
        std::min(Saved_ + Config_.BudgetFraction_, Config_.MaxSavedRetries_);
  }

  /// Spends one retry and returns true, or returns false when the budget is
  /// exhausted.
  bool trySpend() {
    if (!Config_.BudgetEnforced_)
      return true;
    if (Saved_ < 1.0)
      return false;
    Saved_ -= 1.0;
    return true;
  }

  /// Returns a spent retry that was not sent.
  void refund() { Saved_ += 1.0; }

private:
  RetryConfig Config_;
  double Saved_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_RETRY_BUDGET_H
