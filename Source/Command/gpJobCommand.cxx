#include "gpJobCommand.h"

#include <array>
#include <cctype>
#include <cstdio>

#include "gpEntryOption.h"
#include "gpError.h"

namespace {

/// How long the entry may wait for the job to end before it responds.
constexpr gpMillis kWait{ 10000 };
/// Time for the response to arrive, in addition to kWait.
constexpr gpMillis kResponseMargin{ 5000 };

// A key may contain any visible character, also those that have a meaning in a
// URL path.
std::string
PercentEncode(const std::string& aText)
{
  std::string encoded;
  for (const unsigned char character : aText) {
    if (std::isalnum(character) != 0 || character == '-') {
      encoded += static_cast<char>(character);
      continue;
    }
    std::array<char, 4> escape{};
    std::snprintf(escape.data(), escape.size(), "%%%02X", character);
    encoded += escape.data();
  }
  return encoded;
}

} // namespace

void
gpJobCommand::AddOptions(gpCommandOptions& aOptions) const
{
  aOptions.AddArgument("service");
  aOptions.AddArgument("key");
  gpEntryOption::AddTo(aOptions);
}

gpExitCode
gpJobCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  gpHttpRequest request;
  request.target_ = "/v1/jobs/" +
                    PercentEncode(aValues["service"].as<std::string>()) + "/" +
                    PercentEncode(aValues["key"].as<std::string>()) +
                    "?wait_ms=" + std::to_string(kWait.count());
  const auto response =
    gpEntryOption::Get(aValues, std::move(request), kWait + kResponseMargin);
  if (!response.ok()) {
    return Fail(aConsole, response.status());
  }
  return gpEntryOption::Print(*response, aConsole);
}
