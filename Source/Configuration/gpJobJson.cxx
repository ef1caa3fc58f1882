#include "gpJobJson.h"

#include <algorithm>
#include <array>

#include <absl/strings/escaping.h>

#include "gpConfiguration.h"
#include "gpJsonReader.h"
#include "gpUtf8.h"

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxKeyLength = 200;
constexpr std::size_t kMaxPathLength = 4096;
/// Validation errors that one response lists; further ones are only counted.
constexpr std::size_t kMaxListedFaults = 20;
constexpr std::uint64_t kDayMs = 86400000;
constexpr std::uint64_t kMaxDeclaredBytes = 1ULL << 50U;
constexpr gpNumberRange kTaskStatus = { 200, 499 };
constexpr gpNumberRange kTaskIndexes = { 0, 0xffffffff };
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kBodyTypeJson = "application/json";
constexpr const char* kBodyTypeProblem = "application/problem+json";

// HTTP status by gpFailureCode.
constexpr std::array<int, 18> kFailureStatus = {
  503, // QueueFull
  429, // QuotaExceeded
  504, // DeadlineUnmeetable
  504, // DeadlineExceeded
  400, // UnknownService
  400, // UnknownTeam
  413, // TooLarge
  503, // NoTarget
  503, // NoConfiguration
  503, // ClaimUnavailable
  502, // ClaimLost
  503, // ClaimUnreachable
  422, // KeyReused
  502, // TaskFailed
  502, // TaskInDoubt
  503, // ShuttingDown
  499, // Cancelled
  404, // NotFound
};

constexpr std::array kOutcomes = {
  gpOutcome::NotRun,
  gpOutcome::Failed,
  gpOutcome::Unknown,
};

struct FaultEntry
{
  const char* code_;
  int status_;
};

// Code and HTTP status by gpRequestFault.
constexpr std::array kFaults = {
  FaultEntry{ "bad_request", 400 },
  FaultEntry{ "request_too_large", 413 },
};

bool
IsVisible(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

// Only visible characters, because the path is written into the request line of
// HTTP/1.1: a space or a line break would end it early and inject text.
bool
IsPath(std::string_view aText)
{
  return aText.starts_with('/') && aText.size() <= kMaxPathLength &&
         std::all_of(aText.begin(), aText.end(), IsVisible);
}

const gpTextRule kPathRule = {
  IsPath,
  "a path that starts with '/', of at most 4096 visible ASCII characters",
};

gpTaskRequest
ReadTask(gpJsonObject& aObject, bool aHasKey)
{
  gpTaskRequest task;
  aObject.Text("path", task.path_, kPathRule, gpPresence::Required);
  aObject.Text("body", task.body_, kAnyTextRule);
  aObject.Flag("idempotent", task.idempotent_);
  if (!task.idempotent_ && !aHasKey) {
    aObject.AddError("idempotent",
                     std::string("true, because the request has no header ") +
                       kKeyHeader);
  }
  if (aObject.Has("declared_size")) {
    std::uint64_t size = 0;
    aObject.Number("declared_size", size, { 0, kMaxDeclaredBytes });
    task.declaredSize_ = size;
  }
  if (aObject.Has("declared_run_ms")) {
    task.declaredRunTime_ = gpMillis(0);
    aObject.Millis("declared_run_ms", *task.declaredRunTime_, { 0, kDayMs });
  }
  aObject.Finish();
  return task;
}

gpSubmission
ReadSubmission(gpJsonObject& aRoot, bool aHasKey)
{
  constexpr auto kRequired = gpPresence::Required;
  gpSubmission submission;
  aRoot.Text("service", submission.service_, kNameRule, kRequired);
  aRoot.Text("team", submission.team_, kNameRule, kRequired);
  aRoot.Millis("deadline_ms", submission.deadline_, { 1, kDayMs });
  const auto readTask = [&](gpJsonObject& aObject) {
    submission.tasks_.push_back(ReadTask(aObject, aHasKey));
  };
  aRoot.Objects("tasks", readTask, kRequired, kGpMostJobTasks);
  if (aRoot.HasEmptyList("tasks")) {
    aRoot.AddError("tasks", "at least one task");
  }
  aRoot.Finish();
  return submission;
}

absl::Status
BadRequest(gpJsonErrors aErrors)
{
  if (aErrors.size() > kMaxListedFaults) {
    const std::size_t more = aErrors.size() - kMaxListedFaults;
    aErrors.resize(kMaxListedFaults);
    aErrors.push_back(
      { "",
        std::to_string(more) +
          " more corrections, for errors that are not listed here" });
  }
  return gpMakeErrors(gpErrorCode::BadRequest, aErrors);
}

// A body that isn't valid UTF-8 can't be a JSON string. It is sent in base64,
// so that the caller receives every byte of the result.
json::object
ToJson(const gpTaskResult& aResult)
{
  json::object object;
  object["status"] = aResult.status_;
  if (gpIsUtf8(aResult.body_)) {
    object["body"] = aResult.body_;
  } else {
    object["body_base64"] = absl::Base64Escape(aResult.body_);
  }
  return object;
}

gpRenderedAnswer
Render(const gpComplete& aComplete)
{
  json::array results;
  results.reserve(aComplete.results_.size());
  for (const gpTaskResult& result : aComplete.results_) {
    results.push_back(ToJson(result));
  }
  json::object body;
  body["outcome"] = "complete";
  body["results"] = std::move(results);
  return { 200, kBodyTypeJson, {}, json::serialize(body) };
}

json::object
ProblemOf(std::string_view aCode, int aStatus, gpOutcome aOutcome)
{
  std::string title(aCode);
  std::replace(title.begin(), title.end(), '_', ' ');
  json::object problem;
  problem["type"] = "about:blank";
  problem["title"] = title;
  problem["status"] = aStatus;
  problem["code"] = json::string_view(aCode);
  problem["outcome"] = json::string_view(gpOutcomeName(aOutcome));
  return problem;
}

gpRenderedAnswer
Render(const gpFailure& aFailure)
{
  const int status =
    kFailureStatus.at(static_cast<std::size_t>(aFailure.code_));
  json::object problem =
    ProblemOf(gpFailureName(aFailure.code_), status, aFailure.outcome_);
  json::array mayHaveRun;
  for (const gpTaskIndex task : aFailure.mayHaveRun_) {
    mayHaveRun.emplace_back(task.value_);
  }
  problem["may_have_run"] = std::move(mayHaveRun);
  gpRenderedAnswer rendered{ status, kBodyTypeProblem, {}, {} };
  if (aFailure.retryAfter_) {
    problem["retry_after_ms"] = aFailure.retryAfter_->count();
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aFailure.retryAfter_);
    rendered.headers_["retry-after"] = std::to_string(seconds.count());
  }
  rendered.body_ = json::serialize(problem);
  return rendered;
}

gpTaskResult
ReadResult(gpJsonObject& aObject)
{
  gpTaskResult result;
  std::uint32_t status = 0;
  aObject.Number("status", status, kTaskStatus, gpPresence::Required);
  result.status_ = static_cast<int>(status);
  aObject.Text("body", result.body_, kAnyTextRule);
  std::string encoded;
  aObject.Text("body_base64", encoded, kAnyTextRule);
  if (!encoded.empty() && !absl::Base64Unescape(encoded, &result.body_)) {
    aObject.AddError("body_base64", "base64");
  }
  return result;
}

template<typename Enum, std::size_t N>
std::array<gpChoice<Enum>, N>
ChoicesOf(std::string_view (*aName)(Enum))
{
  std::array<gpChoice<Enum>, N> choices;
  for (std::size_t i = 0; i < N; ++i) {
    const auto value = static_cast<Enum>(i);
    choices[i] = { aName(value), value };
  }
  return choices;
}

gpFailure
ReadFailure(gpJsonObject& aRoot, gpJsonErrors& aErrors)
{
  gpFailure failure;
  aRoot.Choice("code",
               failure.code_,
               ChoicesOf<gpFailureCode, kFailureStatus.size()>(gpFailureName));
  aRoot.Choice("outcome",
               failure.outcome_,
               ChoicesOf<gpOutcome, kOutcomes.size()>(gpOutcomeName));
  for (const std::uint64_t task : aRoot.Numbers("may_have_run", kTaskIndexes)) {
    failure.mayHaveRun_.emplace_back(static_cast<std::uint32_t>(task));
  }
  if (aRoot.Has("retry_after_ms")) {
    failure.retryAfter_ = gpMillis(0);
    aRoot.Millis("retry_after_ms", *failure.retryAfter_, { 0, kDayMs });
  }
  if (!aRoot.Has("code") || !aRoot.Has("outcome")) {
    aErrors.push_back({ "", "the fields code and outcome" });
  }
  return failure;
}

gpAnswer
ReadAnswer(gpJsonObject& aRoot, gpJsonErrors& aErrors)
{
  if (!aRoot.Has("results")) {
    return ReadFailure(aRoot, aErrors);
  }
  gpComplete complete;
  aRoot.Objects("results", [&](gpJsonObject& aObject) {
    complete.results_.push_back(ReadResult(aObject));
  });
  return complete;
}

// Whether the response was made by gpRenderFault.
bool
IsFault(gpJsonObject& aRoot)
{
  const json::value* code = aRoot.Find("code");
  return code != nullptr && code->is_string() &&
         std::any_of(
           kFaults.begin(), kFaults.end(), [&](const FaultEntry& aEntry) {
             return code->get_string() == aEntry.code_;
           });
}

} // namespace

absl::StatusOr<gpSubmission>
gpParseSubmission(std::string_view aBody,
                  const std::optional<std::string>& aKey)
{
  gpJsonDocument document = gpJsonDocument::Parse(aBody);
  gpJsonErrors errors = std::move(document.errors_);
  gpSubmission submission;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    submission = ReadSubmission(root, aKey.has_value());
  }
  if (aKey && !gpIsSubmissionKey(*aKey)) {
    errors.push_back({ kKeyHeader, "1 to 200 visible ASCII characters" });
  }
  if (!errors.empty()) {
    return BadRequest(std::move(errors));
  }
  if (aKey) {
    submission.key_ = gpSubmissionKey(*aKey);
  }
  submission.digest_ = gpDigest::Of(aBody);
  return submission;
}

bool
gpIsSubmissionKey(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxKeyLength &&
         std::all_of(aText.begin(), aText.end(), IsVisible);
}

gpRenderedAnswer
gpRenderAnswer(const gpAnswer& aAnswer)
{
  return std::visit([](const auto& aKind) { return Render(aKind); }, aAnswer);
}

gpRenderedAnswer
gpRenderFault(gpRequestFault aFault, const std::string& aDetail)
{
  const FaultEntry& entry = kFaults.at(static_cast<std::size_t>(aFault));
  json::object problem =
    ProblemOf(entry.code_, entry.status_, gpOutcome::NotRun);
  problem["detail"] = aDetail;
  problem["may_have_run"] = json::array();
  return { entry.status_, kBodyTypeProblem, {}, json::serialize(problem) };
}

absl::StatusOr<gpAnswer>
gpParseAnswer(std::string_view aBody)
{
  gpJsonDocument document = gpJsonDocument::Parse(aBody);
  gpJsonErrors errors = std::move(document.errors_);
  gpAnswer answer;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    if (IsFault(root)) {
      std::string detail;
      root.Text("detail", detail, kAnyTextRule);
      return gpMakeError(gpErrorCode::BadRequest, detail);
    }
    answer = ReadAnswer(root, errors);
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::HttpFailure, errors);
  }
  return answer;
}
