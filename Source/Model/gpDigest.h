#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/** \class gpDigest
 * \brief 128-bit hash of a text, equal in all processes and on all machines.
 *
 * Used to compare submissions. It isn't a cryptographic hash, so it's no
 * protection against forgery.
 */
struct gpDigest
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  auto operator<=>(const gpDigest&) const = default;

  static gpDigest Of(std::string_view aText);
  /// 32 hexadecimal digits.
  std::string ToHex() const;
};

/// 64-bit hash of a text with a seed, equal in all processes.
std::uint64_t
gpStableHash(std::string_view aText, std::uint64_t aSeed);
