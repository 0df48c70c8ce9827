/// \file
/// Checks that any input yields either settings or findings, never both or
/// neither.

#include "filbertspring/config/settings_document.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  ParsedSettings Parsed = parseSettings(toText(Data, Size));
  require(Parsed.Settings_.has_value() == Parsed.Findings_.empty());
  return 0;
}
