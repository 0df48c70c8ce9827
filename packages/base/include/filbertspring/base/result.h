#ifndef FILBERTSPRING_BASE_RESULT_H
#define FILBERTSPRING_BASE_RESULT_H

/// \file
/// A value or an error code.

#include "filbertspring/base/error.h"

#include <tl/expected.hpp>

namespace filbertspring {

/// Holds a T, or the error that prevented it.
template <typename T> using Result = tl::expected<T, std::error_code>;

/// Holds success, or the error that prevented it.
using Status = Result<void>;

/// Returns the failed state of any Result.
inline tl::unexpected<std::error_code> fail(Errc Code) {
  return tl::unexpected<std::error_code>(make_error_code(Code));
}

/// Returns the failed state of any Result.
inline tl::unexpected<std::error_code> fail(std::error_code Code) {
  return tl::unexpected<std::error_code>(Code);
}

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_RESULT_H
