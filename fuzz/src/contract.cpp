/// \file
/// Checks that any input yields either a contract or findings, and that a
/// contract survives a round trip through its text form.

#include "filbertspring/config/contract_document.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  ParsedContract Parsed = parseContract(toText(Data, Size), {});
  require(Parsed.Terms_.has_value() == Parsed.Findings_.empty());
  if (!Parsed.Terms_)
    return 0;
  std::string Text = writeContract(*Parsed.Terms_);
  ParsedContract Reparsed = parseContract(Text, {});
  require(Reparsed.Terms_.has_value());
  require(writeContract(*Reparsed.Terms_) == Text);
  return 0;
}
