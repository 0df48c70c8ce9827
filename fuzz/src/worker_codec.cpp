/// \file
/// A worker message that can be decoded is encoded and decoded without a
/// change.

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
  auto Again = Decode(*Text);
  require(Again.has_value());
  require(Encode(*Again) == Text);
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
