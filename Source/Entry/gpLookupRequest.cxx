#include "gpLookupRequest.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace {

constexpr std::string_view kPrefix = "/v1/jobs/";
constexpr std::string_view kWait = "wait_ms=";
constexpr long kMaxWaitMs = 60000;

/// Decodes percent-encoding (%XX); not set if it's malformed.
std::optional<std::string>
DecodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] != '%') {
      decoded.push_back(aText[index]);
      continue;
    }
    if (index + 2 >= aText.size()) {
      return std::nullopt;
    }
    unsigned value = 0;
    const char* begin = aText.data() + index + 1;
    const auto result = std::from_chars(begin, begin + 2, value, 16);
    if (result.ptr != begin + 2) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(value));
    index += 2;
  }
  return decoded;
}

std::optional<gpMillis>
ParseWait(std::string_view aQuery)
{
  if (!aQuery.starts_with(kWait)) {
    return std::nullopt;
  }
  long wait = 0;
  const char* end = aQuery.data() + aQuery.size();
  const auto result = std::from_chars(aQuery.data() + kWait.size(), end, wait);
  if (result.ptr != end || wait < 0) {
    return std::nullopt;
  }
  return gpMillis(std::min(wait, kMaxWaitMs));
}

} // namespace

std::optional<gpLookupRequest>
gpParseLookupRequest(const std::string& aTarget)
{
  std::string_view text = aTarget;
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  gpLookupRequest lookup;
  const std::size_t question = text.find('?');
  if (question != std::string_view::npos) {
    const auto wait = ParseWait(text.substr(question + 1));
    if (!wait.has_value()) {
      return std::nullopt;
    }
    lookup.wait_ = *wait;
    text = text.substr(0, question);
  }
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || slash == 0 ||
      slash + 1 == text.size()) {
    return std::nullopt;
  }
  const auto key = DecodePercent(text.substr(slash + 1));
  if (!key.has_value()) {
    return std::nullopt;
  }
  lookup.key_.service_ = gpServiceName(std::string(text.substr(0, slash)));
  lookup.key_.key_ = gpSubmissionKey(*key);
  return lookup;
}
