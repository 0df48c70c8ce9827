/// \file
/// Checks that each decoded row value survives a round trip. The first byte of
/// the input, counted from 'a', selects the row kind.

#include "filbertspring/platform/row_codec.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  if (Size == 0)
    return 0;
  std::size_t Choice = static_cast<std::uint8_t>(Data[0] - 'a');
  RowKind Kind = RowKindNames[Choice % RowKindNames.size()].Value_;
  Result<RowValue> Value = decodeRowValue(Kind, toText(Data + 1, Size - 1));
  if (!Value)
    return 0;
  require(kindOf(*Value) == Kind);
  Result<std::string> Text = encodeRowValue(*Value);
  require(Text.has_value());
  Result<RowValue> Reparsed = decodeRowValue(Kind, *Text);
  require(Reparsed.has_value());
  require(encodeRowValue(*Reparsed) == Text);
  return 0;
}
