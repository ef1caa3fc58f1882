#include "gpLoadAnswer.h"

#include <array>

#include <boost/json.hpp>

namespace {

constexpr int kOk = 200;
constexpr int kFirstError = 400;

constexpr std::array<std::string_view, 9> kOutcomeNames = {
  "pending",   "complete",  "not_run",    "failed", "unknown",
  "transport", "malformed", "unanswered", "unsent",
};

constexpr std::array<std::string_view, 7> kFaultNames = {
  "none",         "not_json",        "wrong_status",    "wrong_count",
  "wrong_result", "not_run_may_run", "unknown_outcome",
};

gpLoadAnswer
Malformed(gpAnswerFault aFault)
{
  gpLoadAnswer answer;
  answer.fault_ = aFault;
  return answer;
}

std::string
StringAt(const boost::json::object& aObject, const char* aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  const boost::json::string* text =
    value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? "" : text->c_str();
}

/// The submission key in a result's body; nullopt if the result is not a
/// successful one of this task.
std::optional<std::string>
SubmissionOf(const boost::json::value& aResult, std::size_t aTask)
{
  const boost::json::object* result = aResult.if_object();
  if (result == nullptr) {
    return std::nullopt;
  }
  const boost::json::value* status = result->if_contains("status");
  const std::string body = StringAt(*result, "body");
  const std::size_t slash = body.rfind('/');
  if (status == nullptr || *status != kOk || slash == std::string::npos ||
      body.substr(slash + 1) != std::to_string(aTask)) {
    return std::nullopt;
  }
  return body.substr(0, slash);
}

gpAnswerFault
CheckResults(const boost::json::object& aAnswer, const gpPlannedJob& aJob)
{
  const boost::json::value* value = aAnswer.if_contains("results");
  const boost::json::array* results =
    value == nullptr ? nullptr : value->if_array();
  if (results == nullptr || results->size() != aJob.tasks_.size()) {
    return gpAnswerFault::WrongCount;
  }
  std::optional<std::string> expected;
  if (aJob.key_.has_value()) {
    expected = aJob.key_->value_;
  }
  for (std::size_t task = 0; task < results->size(); ++task) {
    const std::optional<std::string> submission =
      SubmissionOf((*results)[task], task);
    if (!submission.has_value() ||
        submission != expected.value_or(*submission)) {
      return gpAnswerFault::WrongResult;
    }
    expected = submission;
  }
  return gpAnswerFault::None;
}

std::optional<gpMillis>
RetryAfterOf(const boost::json::object& aAnswer)
{
  const boost::json::value* value = aAnswer.if_contains("retry_after_ms");
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto millis = value->to_number<std::int64_t>(error);
  if (error || millis < 0) {
    return std::nullopt;
  }
  return gpMillis{ millis };
}

bool
NamesTasksThatMayHaveRun(const boost::json::object& aAnswer)
{
  const boost::json::value* value = aAnswer.if_contains("may_have_run");
  const boost::json::array* tasks =
    value == nullptr ? nullptr : value->if_array();
  return tasks != nullptr && !tasks->empty();
}

gpLoadAnswer
ReadFailure(const boost::json::object& aAnswer, const std::string& aOutcome)
{
  gpLoadAnswer answer;
  answer.code_ = StringAt(aAnswer, "code");
  answer.retryAfter_ = RetryAfterOf(aAnswer);
  if (aOutcome == "not_run" && NamesTasksThatMayHaveRun(aAnswer)) {
    answer.fault_ = gpAnswerFault::NotRunMayRun;
  } else if (aOutcome == "not_run") {
    answer.outcome_ = gpLoadOutcome::NotRun;
  } else if (aOutcome == "failed") {
    answer.outcome_ = gpLoadOutcome::Failed;
  } else if (aOutcome == "unknown") {
    answer.outcome_ = gpLoadOutcome::Unknown;
  } else {
    answer.fault_ = gpAnswerFault::UnknownOutcome;
  }
  return answer;
}

} // namespace

std::string_view
gpLoadOutcomeName(gpLoadOutcome aOutcome)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

std::string_view
gpAnswerFaultName(gpAnswerFault aFault)
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

gpLoadAnswer
gpReadLoadAnswer(int aStatus, std::string_view aBody, const gpPlannedJob& aJob)
{
  boost::json::error_code error;
  const boost::json::value document =
    boost::json::parse({ aBody.data(), aBody.size() }, error);
  if (error || !document.is_object()) {
    return Malformed(gpAnswerFault::NotJson);
  }
  const boost::json::object& object = document.get_object();
  const std::string outcome = StringAt(object, "outcome");
  if ((outcome == "complete") != (aStatus == kOk) ||
      (aStatus != kOk && aStatus < kFirstError)) {
    return Malformed(gpAnswerFault::WrongStatus);
  }
  if (outcome != "complete") {
    return ReadFailure(object, outcome);
  }
  gpLoadAnswer answer;
  answer.fault_ = CheckResults(object, aJob);
  if (answer.fault_ == gpAnswerFault::None) {
    answer.outcome_ = gpLoadOutcome::Complete;
  }
  return answer;
}
