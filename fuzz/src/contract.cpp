/// \file
/// Any bytes give a contract or findings, and a contract is written and read
/// back without a change.

#include "filbertspring/config/contract_document.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  ParsedContract Parsed = parseContract(toText(Data, Size), {});
  require(Parsed.Terms_.has_value() == Parsed.Findings_.empty());
  if (!Parsed.Terms_)
    return 0;
  std::string Written = writeContract(*Parsed.Terms_);
  ParsedContract Again = parseContract(Written, {});
  require(Again.Terms_.has_value());
  require(writeContract(*Again.Terms_) == Written);
  return 0;
}
