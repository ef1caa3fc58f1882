#include "gpNumberFromEnvironment.h"

#include <cstdlib>

std::uint64_t
gpNumberFromEnvironment(const char* aVariable, std::uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}
