/// \file
/// Checks that each decoded peer message survives a round trip.

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
  Result<PeerPayload> Reparsed = decodePeerPayload(Bytes);
  require(Reparsed.has_value());
  require(encodePeerPayload(*Reparsed) == Bytes);
  return 0;
}
