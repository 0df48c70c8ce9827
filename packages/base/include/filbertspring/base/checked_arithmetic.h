#ifndef FILBERTSPRING_BASE_CHECKED_ARITHMETIC_H
#define FILBERTSPRING_BASE_CHECKED_ARITHMETIC_H

/// \file
/// Arithmetic on numbers that come from outside of the process, such as counts
/// in requests and factors in configurations: results that cannot be
/// represented are recognized instead of wrapping around.

#include "filbertspring/base/time.h"

#include <algorithm>
#include <concepts>
#include <optional>

namespace filbertspring {

/// Returns the sum of two numbers; nothing if one is missing or if T cannot
/// hold the sum.
template <std::integral T>
constexpr std::optional<T> checkedSum(std::optional<T> Left,
                                      std::optional<T> Right) {
  T Sum = 0;
  if (!Left || !Right || __builtin_add_overflow(*Left, *Right, &Sum))
    return std::nullopt;
  return Sum;
}

/// Returns the product of two numbers; nothing if one is missing or if T cannot
/// hold the product.
template <std::integral T>
constexpr std::optional<T> checkedProduct(std::optional<T> Left,
                                          std::optional<T> Right) {
  T Product = 0;
  if (!Left || !Right || __builtin_mul_overflow(*Left, *Right, &Product))
    return std::nullopt;
  return Product;
}

/// The longest result of scaled(). Some of these can be added, and added to a
/// point in time.
inline constexpr Duration MaxScaledDuration = Duration::max() / 64;

/// Returns \p Length times \p Factor, at most MaxScaledDuration and at least
/// its negative value.
inline Duration scaled(Duration Length, double Factor) {
  std::chrono::duration<double, Duration::period> Product = Length * Factor;
  // Also false if the product is not a number.
  if (!(Product < MaxScaledDuration))
    return MaxScaledDuration;
  return std::chrono::duration_cast<Duration>(std::max(
      Product,
      std::chrono::duration<double, Duration::period>(-MaxScaledDuration)));
}

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_CHECKED_ARITHMETIC_H
