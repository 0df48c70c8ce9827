#ifndef FILBERTSPRING_CONFIG_CONTRACT_DOCUMENT_H
#define FILBERTSPRING_CONFIG_CONTRACT_DOCUMENT_H

/// \file
/// Contracts as JSON documents. docs/CONTRACTS.md describes the fields.

#include "filbertspring/base/finding.h"
#include "filbertspring/base/id.h"
#include "filbertspring/domain/contract.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// What parseContract() read.
struct ParsedContract {
  /// The contract; empty when there is any finding.
  std::optional<Contract> Terms_;
  /// Every mistake in the document, in the order of the reading.
  Findings Findings_;
};

/// Reads a contract from JSON with comments and applies checkContract().
/// \p KnownZones empty means that the zones are not checked. Linear in the
/// text, but for the unknown keys, each of which is compared with all known
/// ones.
ParsedContract parseContract(std::string_view Text,
                             const std::vector<ZoneName> &KnownZones);

/// Returns \p Terms as JSON with a fixed order of keys. parseContract() reads
/// an equal contract from it when \p Terms has no findings.
std::string writeContract(const Contract &Terms);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_CONTRACT_DOCUMENT_H
