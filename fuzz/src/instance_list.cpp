/// \file
/// Checks that each decoded entry of an instance list survives a round trip.

#include "filbertspring/platform/instance_codec.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  Result<InstanceList> List = decodeInstanceList(toText(Data, Size));
  if (!List)
    return 0;
  for (const ListedInstance &Instance : List->Instances_) {
    Result<std::string> Text = encodeInstance(Instance);
    require(Text.has_value());
    Result<ListedInstance> Reparsed = decodeInstance(*Text);
    require(Reparsed.has_value());
    require(encodeInstance(*Reparsed) == Text);
  }
  return 0;
}
