#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

/** \class gpStrongType
 * \brief Wraps a value in a distinct type, so that IDs and counts of different
 * kinds can't be confused.
 *
 * Strong types with different tags can be neither compared nor converted.
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

  // clang-tidy 14 mistakes the 0 in a defaulted comparison for a null pointer.
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
