/// \file
/// A peer message that can be decoded is encoded and decoded without a change.

#include "filbertspring/membership/peer_message.h"
#include "require.h"

using namespace filbertspring;
using namespace filbertspring::membership;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  Result<PeerPayload> Payload = decodePeerPayload(toText(Data, Size));
  if (!Payload)
    return 0;
  std::string Bytes = encodePeerPayload(*Payload);
  Result<PeerPayload> Again = decodePeerPayload(Bytes);
  require(Again.has_value());
  require(encodePeerPayload(*Again) == Bytes);
  return 0;
}
