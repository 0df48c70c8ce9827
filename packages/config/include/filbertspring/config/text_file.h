#ifndef FILBERTSPRING_CONFIG_TEXT_FILE_H
#define FILBERTSPRING_CONFIG_TEXT_FILE_H

/// \file
/// Reads small text files.

#include "filbertspring/base/result.h"

#include <cstddef>
#include <string>

namespace filbertspring {

/// The largest settings or contract file that is read, in bytes.
inline constexpr std::size_t MaxDocumentBytes = std::size_t{1} << 20;

/// Returns the contents of the file at \p Path. Errors: FileUnreadable;
/// MessageTooLarge above MaxDocumentBytes.
Result<std::string> readTextFile(const std::string &Path);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_TEXT_FILE_H
