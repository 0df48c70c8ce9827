#ifndef FILBERTSPRING_PLATFORM_TESTS_RANDOM_RECORD_H
#define FILBERTSPRING_PLATFORM_TESTS_RANDOM_RECORD_H

/// \file
/// Fills values of the encoded types with random data and compares them member
/// by member.

#include "record_members.h"

#include <array>
#include <cmath>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace filbertspring {

template <typename T>
concept HasMembers = requires(T &Value) {
  members(Value);
};

// The number of enumerators, by the table of names of each enumeration.
inline int enumeratorCount(ZoneState) { return ZoneStateNames.size(); }
inline int enumeratorCount(TaskState) { return TaskStateNames.size(); }
inline int enumeratorCount(RequestKeyState) {
  return RequestKeyStateNames.size();
}
inline int enumeratorCount(AttemptState) { return AttemptStateNames.size(); }
inline int enumeratorCount(StartRefusal) { return StartRefusalNames.size(); }
inline int enumeratorCount(InstanceRole) { return InstanceRoleNames.size(); }
inline int enumeratorCount(InstanceState) { return InstanceStateNames.size(); }

/// Fills a value with data from rapidcheck generators; must be called inside
/// rc::check().
struct Randomizer {
  void operator()(std::string &Value) const {
    const std::vector<std::string> Pieces =
        *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a", "Kuşadası", "\"\\", "\n", "/",
                                          "0"));
    for (const std::string &Piece : Pieces)
      Value += Piece;
  }
  void operator()(bool &Value) const { Value = *rc::gen::arbitrary<bool>(); }
  template <typename T>
  requires std::is_arithmetic_v<T>
  void operator()(T &Value) const { Value = *rc::gen::arbitrary<T>(); }
  template <typename T>
  requires std::is_enum_v<T>
  void operator()(T &Value) const {
    Value = static_cast<T>(*rc::gen::inRange(0, enumeratorCount(Value)));
  }
  template <typename Tag> void operator()(Id<Tag> &Value) const {
    std::string Text;
    (*this)(Text);
    Value = Id<Tag>(Text);
  }
  template <typename Tag> void operator()(Quantity<Tag> &Value) const {
    Value = Quantity<Tag>(*rc::gen::arbitrary<std::int64_t>());
  }
  void operator()(Duration &Value) const {
    Value = Duration(*rc::gen::arbitrary<std::int64_t>());
  }
  template <typename T> void operator()(std::vector<T> &Values) const {
    Values.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (T &Element : Values)
      (*this)(Element);
  }
  template <typename T, std::size_t Count>
  void operator()(std::array<T, Count> &Values) const {
    for (T &Element : Values)
      (*this)(Element);
  }
  template <HasMembers T> void operator()(T &Value) const {
    std::apply([this](auto &...Member) { ((*this)(Member), ...); },
               members(Value));
  }
};

template <typename T> bool deepEqual(const T &Left, const T &Right);

template <typename T>
bool deepEqual(const std::vector<T> &Left, const std::vector<T> &Right) {
  if (Left.size() != Right.size())
    return false;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    if (!deepEqual(Left[Index], Right[Index]))
      return false;
  return true;
}

template <typename T>
bool deepEqual(const std::optional<T> &Left, const std::optional<T> &Right) {
  return Left.has_value() == Right.has_value() &&
         (!Left || deepEqual(*Left, *Right));
}

template <typename... T>
bool deepEqualMembers(const std::tuple<T &...> &Left,
                      const std::tuple<T &...> &Right) {
  auto Compare = [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    return (deepEqual(std::get<Index>(Left), std::get<Index>(Right)) && ...);
  };
  return Compare(std::index_sequence_for<T...>());
}

/// Returns true when all members, recursively, are equal.
template <typename T> bool deepEqual(const T &Left, const T &Right) {
  if constexpr (HasMembers<const T>)
    return deepEqualMembers(members(Left), members(Right));
  else
    return Left == Right;
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_RANDOM_RECORD_H
