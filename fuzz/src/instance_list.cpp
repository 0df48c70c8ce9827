/// \file
/// Each entry of an instance list that can be decoded is encoded and decoded
/// without a change.

#include "filbertspring/platform/instance_codec.h"
#include "require.h"

using namespace filbertspring;

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  Result<InstanceList> List = decodeInstanceList(toText(Data, Size));
  if (!List)
    return 0;
  for (const ListedInstance &Each : List->Instances_) {
    Result<std::string> Text = encodeInstance(Each);
    require(Text.has_value());
    Result<ListedInstance> Again = decodeInstance(*Text);
    require(Again.has_value());
    require(encodeInstance(*Again) == Text);
  }
  return 0;
}
