#ifndef FILBERTSPRING_ENTRY_API_HANDLERS_H
#define FILBERTSPRING_ENTRY_API_HANDLERS_H

/// \file
/// The handlers of the groups of calls. Their parameter \c Path holds the parts
/// of the URL path after the name of the group.

#include "api.h"

#include <string>
#include <vector>

namespace filbertspring {

using PathParts = std::vector<std::string>;

/// /v1/requests/CONTRACT/SERVICE
HttpAnswer answerRequest(ApiContext &Context, const HttpRequest &Request,
                         const PathParts &Path);
/// /v1/jobs and below
HttpAnswer answerJobCall(ApiContext &Context, const HttpRequest &Request,
                         const PathParts &Path);
/// /v1/watches and below
HttpAnswer answerWatchCall(ApiContext &Context, const HttpRequest &Request,
                           const PathParts &Path);
/// /v1/admin and below
HttpAnswer answerAdminCall(ApiContext &Context, const HttpRequest &Request,
                           const PathParts &Path);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_HANDLERS_H
