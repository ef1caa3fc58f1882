#include "gpUtf8.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace {

// One row of the table "Syntax of UTF-8 Byte Sequences" of RFC 3629: the
// range of the first byte, that of the second, and the length in bytes.
struct Sequence
{
  std::uint8_t firstMin_;
  std::uint8_t firstMax_;
  std::uint8_t secondMin_;
  std::uint8_t secondMax_;
  std::size_t length_;
};

constexpr std::array kSequences = {
  Sequence{ 0x00, 0x7f, 0x00, 0x00, 1 }, Sequence{ 0xc2, 0xdf, 0x80, 0xbf, 2 },
  Sequence{ 0xe0, 0xe0, 0xa0, 0xbf, 3 }, Sequence{ 0xe1, 0xec, 0x80, 0xbf, 3 },
  Sequence{ 0xed, 0xed, 0x80, 0x9f, 3 }, Sequence{ 0xee, 0xef, 0x80, 0xbf, 3 },
  Sequence{ 0xf0, 0xf0, 0x90, 0xbf, 4 }, Sequence{ 0xf1, 0xf3, 0x80, 0xbf, 4 },
  Sequence{ 0xf4, 0xf4, 0x80, 0x8f, 4 },
};

bool
IsIn(char aByte, std::uint8_t aMin, std::uint8_t aMax)
{
  const auto byte = static_cast<std::uint8_t>(aByte);
  return byte >= aMin && byte <= aMax;
}

// Length in bytes of the first character; 0 if it isn't valid UTF-8.
std::size_t
CharacterLength(std::string_view aBytes)
{
  const auto found = std::find_if(
    kSequences.begin(), kSequences.end(), [&](const Sequence& aSequence) {
      return IsIn(aBytes[0], aSequence.firstMin_, aSequence.firstMax_);
    });
  if (found == kSequences.end() || aBytes.size() < found->length_) {
    return 0;
  }
  if (found->length_ > 1 &&
      !IsIn(aBytes[1], found->secondMin_, found->secondMax_)) {
    return 0;
  }
  for (std::size_t i = 2; i < found->length_; ++i) {
    if (!IsIn(aBytes[i], 0x80, 0xbf)) {
      return 0;
    }
  }
  return found->length_;
}

} // namespace

bool
gpIsUtf8(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const std::size_t length = CharacterLength(aBytes);
    if (length == 0) {
      return false;
    }
    aBytes.remove_prefix(length);
  }
  return true;
}
