/// \file
/// Checks that each decoded worker message survives a round trip.

#include "filbertspring/platform/worker_codec.h"
#include "require.h"

using namespace filbertspring;

namespace {

template <typename Decoder, typename Encoder>
void checkMessage(std::string_view Input, Decoder Decode, Encoder Encode) {
  auto Message = Decode(Input);
  if (!Message)
    return;
  Result<std::string> Text = Encode(*Message);
  require(Text.has_value());
  auto Reparsed = Decode(*Text);
  require(Reparsed.has_value());
  require(Encode(*Reparsed) == Text);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  std::string_view Input = toText(Data, Size);
  checkMessage(Input, decodeWorkerCommands, encodeWorkerCommands);
  checkMessage(Input, decodeWorkerAnswer, encodeWorkerAnswer);
  checkMessage(Input, decodeWorkerReport, encodeWorkerReport);
  return 0;
}
