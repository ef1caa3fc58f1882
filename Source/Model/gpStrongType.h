#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

/** \class gpStrongType
 * \brief A value with a type of its own, so that ids and counts don't mix.
 *
 * Two strong types with different tags neither compare nor convert.
 */
template<typename Tag, typename T>
struct gpStrongType
{
  T value_{};

  gpStrongType() = default;
  explicit gpStrongType(T aValue)
    : value_(std::move(aValue))
  {
  }

  // clang-tidy 14 takes the 0 that a defaulted comparison implies for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpStrongType&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpStrongType& aValue)
  {
    return H::combine(std::move(aState), aValue.value_);
  }
};

template<typename Tag, typename T>
struct std::hash<gpStrongType<Tag, T>>
{
  std::size_t operator()(const gpStrongType<Tag, T>& aValue) const
  {
    return std::hash<T>{}(aValue.value_);
  }
};
