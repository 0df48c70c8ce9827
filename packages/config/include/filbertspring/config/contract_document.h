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

/// The result of parseContract().
struct ParsedContract {
  /// The contract; std::nullopt when there is any finding.
  std::optional<Contract> Terms_;
  /// All errors in the document, in the order in which they were found.
  Findings Findings_;
};

/// Parses a contract from JSON with comments and applies checkContract(). The
/// zones are not checked when \p KnownZones is empty. Linear in the length of
/// the text, except that each unknown key is compared with all known keys.
ParsedContract parseContract(std::string_view Text,
                             const std::vector<ZoneName> &KnownZones);

/// Returns \p Terms as JSON with a fixed order of keys. When \p Terms has no
/// findings, parseContract() returns an equal contract from this text.
std::string writeContract(const Contract &Terms);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_CONTRACT_DOCUMENT_H
