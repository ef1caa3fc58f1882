#include "gpDigest.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

gpDigest
gpDigest::Of(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return gpDigest{ hash.high64, hash.low64 };
}

std::string
gpDigest::ToHex() const
{
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(high_),
                static_cast<unsigned long long>(low_));
  return text.data();
}

std::uint64_t
gpStableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}
