#include "gpSubmitCommand.h"

#include "gpEntryOption.h"
#include "gpError.h"
#include "gpJobJson.h"

namespace {

namespace po = boost::program_options;

/// Time for the response to arrive, in addition to the job's deadline.
constexpr gpMillis kResponseMargin{ 5000 };
/// Deadline that is assumed for a job without one, because the default of its
/// service isn't known here. It is the default of max_deadline_ms, which is the
/// longest default deadline of a service with that setting.
constexpr gpMillis kAssumedDeadline{ 60000 };

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
  gpEntryOption::AddTo(aOptions);
  aOptions.named_.add_options()(
    "file",
    po::value<std::string>()->required()->value_name("JOB.json"),
    "file with the job, in the format of the body of POST /v1/jobs");
  aOptions.named_.add_options()(
    "key",
    po::value<std::string>()->value_name("KEY"),
    "submission key; submitting the same file with the same key again returns "
    "the same answer");
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
                name + " is invalid:\n" + gpErrorText(submission.status()));
  }
  const bool hasDeadline = submission->deadline_ > gpMillis(0);
  const gpMillis deadline =
    hasDeadline ? submission->deadline_ : kAssumedDeadline;
  const auto response = gpEntryOption::Get(
    aValues, MakeRequest(*body, key), deadline + kResponseMargin);
  if (!response.ok()) {
    return Fail(aConsole, response.status());
  }
  return gpEntryOption::Print(*response, aConsole);
}
