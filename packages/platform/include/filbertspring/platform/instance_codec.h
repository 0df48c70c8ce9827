#ifndef FILBERTSPRING_PLATFORM_INSTANCE_CODEC_H
#define FILBERTSPRING_PLATFORM_INSTANCE_CODEC_H

/// \file
/// JSON documents of the platform's instance list.

#include "filbertspring/base/finding.h"
#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"

#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// The instance list that the platform returned.
struct InstanceList {
  std::vector<ListedInstance> Instances_;
  /// Entries that could not be decoded; the place of a finding is the position
  /// of the entry in the document.
  Findings Findings_;
};

/// Returns the JSON document of one instance. Errors: InvalidInput for text
/// that is not UTF-8.
Result<std::string> encodeInstance(const ListedInstance &Instance);

/// Parses the JSON document of one instance. Name, role, state, zone and HTTP
/// address are required; the fields that only some roles use may be absent.
/// Errors: InvalidJson.
Result<ListedInstance> decodeInstance(std::string_view Text);

/// Parses the JSON document of the list. An entry that cannot be decoded
/// is reported as a finding. Errors: InvalidJson when the document is not a
/// list.
Result<InstanceList> decodeInstanceList(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_INSTANCE_CODEC_H
