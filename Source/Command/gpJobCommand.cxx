#include "gpJobCommand.h"

#include <array>
#include <cctype>
#include <cstdio>

#include "gpEntryAnswer.h"
#include "gpError.h"

namespace {

constexpr gpMillis kWait{ 10000 };
constexpr gpMillis kAnswerTime{ 5000 };

// A key may hold any visible character, also those with a meaning in a path.
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
  gpEntryAnswer::AddTo(aOptions);
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
    gpEntryAnswer::Get(aValues, std::move(request), kWait + kAnswerTime);
  if (!response.ok()) {
    return Fail(aConsole, response.status());
  }
  return gpEntryAnswer::Print(*response, aConsole);
}
