#include "gpHttpHeaders.h"

#include <utility>

namespace {

/// For ASCII letters, independent of the locale.
char
ToLower(char aLetter)
{
  const bool isUpper = aLetter >= 'A' && aLetter <= 'Z';
  return isUpper ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

} // namespace

void
gpAddHeader(std::map<std::string, std::string>& aHeaders,
            std::string_view aName,
            std::string_view aValue)
{
  std::string name(aName);
  for (char& letter : name) {
    letter = ToLower(letter);
  }
  const auto [entry, isNew] =
    aHeaders.try_emplace(std::move(name), std::string(aValue));
  if (!isNew) {
    entry->second.append(", ").append(aValue);
  }
}
