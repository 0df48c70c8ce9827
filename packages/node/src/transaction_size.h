#ifndef FILBERTSPRING_NODE_TRANSACTION_SIZE_H
#define FILBERTSPRING_NODE_TRANSACTION_SIZE_H

/// \file
/// The size of the owner's transactions.

#include "filbertspring/scheduling/row_store.h"
#include "filbertspring/scheduling/scheduler.h"
#include "platform/store_codec.h"

#include <algorithm>
#include <cstddef>

namespace filbertspring::node {

/// How much the owner puts into its next transaction.
///
/// Repeating a transaction that is too large for the store or for the link to
/// it never succeeds. The size is halved after a transaction that was rejected
/// or whose answer did not arrive in time, and doubled after some successes.
class TransactionSize {
public:
  /// The other rows are reserved for the owner's row and the status.
  static constexpr std::size_t MaxRows = platform::MaxTransactionRows - 10;

  std::size_t rows() const {
    return std::max<std::size_t>(1, MaxRows >> Halvings_);
  }
  std::size_t bytes() const {
    return scheduling::MaxTransactionBytes >> Halvings_;
  }

  void ended(scheduling::CommitOutcome Outcome) {
    switch (Outcome) {
    case scheduling::CommitOutcome::Committed:
      if (Halvings_ > 0 && ++Successes_ % SuccessesUntilDoubled == 0)
        --Halvings_;
      return;
    case scheduling::CommitOutcome::Rejected:
      return halve(MaxHalvings);
    case scheduling::CommitOutcome::Unknown:
      return halve(MaxHalvingsWithoutAnswer);
    case scheduling::CommitOutcome::Refused:
    case scheduling::CommitOutcome::Conflict:
      return;
    }
  }

private:
  /// Transactions of the smaller size between two attempts to enlarge it. A
  /// fifth of the transactions fail while the store rejects larger ones.
  static constexpr unsigned SuccessesUntilDoubled = 4;
  /// One row remains.
  static constexpr unsigned MaxHalvings = 7;
  /// Most answers are lost for other reasons than the size. A quarter is sent
  /// in 0.2 s over a link of 2 Mbit/s.
  static constexpr unsigned MaxHalvingsWithoutAnswer = 2;

  void halve(unsigned Most) {
    Successes_ = 0;
    if (Halvings_ < Most)
      ++Halvings_;
  }

  unsigned Halvings_ = 0;
  unsigned Successes_ = 0;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_TRANSACTION_SIZE_H
