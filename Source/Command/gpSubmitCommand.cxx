#include "gpSubmitCommand.h"

#include "gpEntryAnswer.h"
#include "gpError.h"
#include "gpJobJson.h"

namespace {

namespace po = boost::program_options;

/// Time for the answer, beyond the deadline that the job names.
constexpr gpMillis kAnswerTime{ 5000 };
/// Deadline of a job that names none, as the longest default of a service.
constexpr gpMillis kUnnamedDeadline{ 60000 };

std::optional<std::string>
KeyOf(const gpCommand::Values& aValues)
{
  if (aValues.count("key") == 0) {
    return std::nullopt;
  }
  return aValues["key"].as<std::string>();
}

gpHttpRequest
MakeRequest(std::string aBody, const std::optional<std::string>& aKey)
{
  gpHttpRequest request{ "POST", "/v1/jobs", {}, std::move(aBody) };
  request.headers_["content-type"] = "application/json";
  if (aKey) {
    request.headers_["idempotency-key"] = *aKey;
  }
  return request;
}

} // namespace

void
gpSubmitCommand::AddOptions(gpCommandOptions& aOptions) const
{
  gpEntryAnswer::AddTo(aOptions);
  aOptions.named_.add_options()(
    "file",
    po::value<std::string>()->required()->value_name("JOB.json"),
    "the job, as the body of POST /v1/jobs");
  aOptions.named_.add_options()(
    "key",
    po::value<std::string>()->value_name("KEY"),
    "submission ID; the same key with the same file gets the same answer");
}

gpExitCode
gpSubmitCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto& name = aValues["file"].as<std::string>();
  const absl::StatusOr<std::string> body = gpReadFile(name);
  if (!body.ok()) {
    return Fail(aConsole, body.status());
  }
  const std::optional<std::string> key = KeyOf(aValues);
  const auto submission = gpParseSubmission(*body, key);
  if (!submission.ok()) {
    return Fail(aConsole,
                name + " has errors:\n" + gpErrorText(submission.status()));
  }
  const bool hasDeadline = submission->deadline_ > gpMillis(0);
  const gpMillis deadline =
    hasDeadline ? submission->deadline_ : kUnnamedDeadline;
  const auto response = gpEntryAnswer::Get(
    aValues, MakeRequest(*body, key), deadline + kAnswerTime);
  if (!response.ok()) {
    return Fail(aConsole, response.status());
  }
  return gpEntryAnswer::Print(*response, aConsole);
}
