#ifndef FILBERTSPRING_BASE_QUANTITY_H
#define FILBERTSPRING_BASE_QUANTITY_H

/// \file
/// Quantities with units, and the three resources of a worker.

#include <compare>
#include <cstdint>

namespace filbertspring {

/// An amount of one unit. Amounts of different units have different types and
/// cannot be combined.
template <typename Tag> class Quantity {
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t Count) : Count_(Count) {}

  constexpr std::int64_t count() const { return Count_; }

  constexpr Quantity &operator+=(Quantity Other) {
    Count_ += Other.Count_;
    return *this;
  }
  constexpr Quantity &operator-=(Quantity Other) {
    Count_ -= Other.Count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity Left, Quantity Right) {
    return Left += Right;
  }
  friend constexpr Quantity operator-(Quantity Left, Quantity Right) {
    return Left -= Right;
  }
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;

private:
  std::int64_t Count_ = 0;
};

/// CPU time in thousandths of a core.
using Millicores = Quantity<struct MillicoresTag>;
/// Memory in units of 2^20 bytes.
using Mebibytes = Quantity<struct MebibytesTag>;
/// Whole accelerators.
using Accelerators = Quantity<struct AcceleratorsTag>;

/// An amount of each of the three resources of a worker.
struct Resources {
  Millicores Cpu_;
  Mebibytes Memory_;
  Accelerators Accelerators_;

  constexpr Resources &operator+=(const Resources &Other) {
    Cpu_ += Other.Cpu_;
    Memory_ += Other.Memory_;
    Accelerators_ += Other.Accelerators_;
    return *this;
  }
  constexpr Resources &operator-=(const Resources &Other) {
    Cpu_ -= Other.Cpu_;
    Memory_ -= Other.Memory_;
    Accelerators_ -= Other.Accelerators_;
    return *this;
  }
  friend constexpr Resources operator+(Resources Left, const Resources &Right) {
    return Left += Right;
  }
  friend constexpr Resources operator-(Resources Left, const Resources &Right) {
    return Left -= Right;
  }
  friend constexpr bool operator==(const Resources &,
                                   const Resources &) = default;

  /// Returns true when each of the three amounts is at most that of \p Limit.
  constexpr bool fitsIn(const Resources &Limit) const {
    return Cpu_ <= Limit.Cpu_ && Memory_ <= Limit.Memory_ &&
           Accelerators_ <= Limit.Accelerators_;
  }
  /// Returns true when no amount is below zero.
  constexpr bool isNonNegative() const { return Resources{}.fitsIn(*this); }
};

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_QUANTITY_H
