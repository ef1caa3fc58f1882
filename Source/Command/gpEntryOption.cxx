#include "gpEntryOption.h"

#include "gpConfigurationFile.h"
#include "gpError.h"
#include "gpJobJson.h"

namespace {

constexpr const char* kOption = "entry";

} // namespace

void
gpEntryOption::AddTo(gpCommandOptions& aOptions)
{
  aOptions.AddAddress(kOption, "HTTP address of an entry");
}

absl::StatusOr<gpHttpResponse>
gpEntryOption::Get(const gpCommand::Values& aValues,
                   gpHttpRequest aRequest,
                   gpMillis aTimeout)
{
  gpBlockingNetwork network;
  const gpServerRequest request{ aValues[kOption].as<gpAddress>(),
                                 std::move(aRequest) };
  gpHttpReply reply = network.Call(request, aTimeout);
  if (!reply.response_.ok()) {
    const std::string outcome =
      reply.sent_ ? "the request was sent, but its outcome is unknown"
                  : "the request was not sent";
    return gpMakeError(gpErrorCodeOf(reply.response_.status()),
                       outcome + ": " + gpErrorText(reply.response_.status()));
  }
  return *std::move(reply.response_);
}

gpExitCode
gpEntryOption::Print(const gpHttpResponse& aResponse, gpConsole& aConsole)
{
  const absl::StatusOr<gpAnswer> answer = gpParseAnswer(aResponse.body_);
  const std::string text = gpIndentJson(aResponse.body_);
  aConsole.out_ << (text.empty() ? aResponse.body_ : text) << "\n";
  const bool isComplete =
    answer.ok() && std::holds_alternative<gpComplete>(*answer);
  return isComplete ? gpExitCode::Success : gpExitCode::Failure;
}
