#include "gpAnswerChecker.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace {

using Lines = std::vector<std::string>;

std::string
JournalLine(const gpTestJob& aJob, std::size_t aTask)
{
  return aJob.key_ + "/" + std::to_string(aTask);
}

std::size_t
CountOf(const gpAnswerChecker::Starts& aStarts, const std::string& aLine)
{
  const auto found = aStarts.find(aLine);
  return found == aStarts.end() ? 0 : found->second;
}

/// The result that a stand-in target returns for a task.
std::string
ExpectedResult(const gpTestJob& aJob, std::size_t aTask)
{
  const boost::json::value body =
    boost::json::parse(aJob.tasks_.at(aTask).body_);
  const auto* answer = body.as_object().if_contains("answer");
  return answer != nullptr ? std::string(answer->as_string())
                           : JournalLine(aJob, aTask);
}

Lines
FindViolationsInComplete(const gpTestJob& aJob,
                         const gpTestAnswer& aAnswer,
                         const gpAnswerChecker::Starts& aStarts)
{
  Lines violations;
  if (aAnswer.results_.size() != aJob.tasks_.size()) {
    violations.push_back("complete without all results");
    return violations;
  }
  for (std::size_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    if (aAnswer.results_[task] != ExpectedResult(aJob, task)) {
      violations.push_back("task " + line + " has the result of another task");
    }
    if (CountOf(aStarts, line) == 0) {
      violations.push_back("task " + line + " has a result but no start");
    }
  }
  return violations;
}

Lines
FindViolationsInFailed(const gpTestJob& aJob,
                       const gpTestAnswer& aAnswer,
                       const gpAnswerChecker::Starts& aStarts)
{
  Lines violations;
  const auto& listed = aAnswer.mayHaveRun_;
  if (listed.empty()) {
    violations.push_back("failed, and may_have_run is empty");
  }
  for (std::uint32_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    const bool isListed =
      std::find(listed.begin(), listed.end(), task) != listed.end();
    if (!isListed && CountOf(aStarts, line) > 0) {
      violations.push_back("task " + line + " ran but is not in may_have_run");
    }
  }
  return violations;
}

Lines
FindViolationsInNotRun(const gpTestJob& aJob,
                       const gpAnswerChecker::Starts& aStarts)
{
  Lines violations;
  for (std::size_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    if (CountOf(aStarts, line) > 0) {
      violations.push_back("task " + line + " ran before the answer not_run");
    }
  }
  return violations;
}

} // namespace

void
gpAnswerChecker::Record(const gpTestJob& aJob,
                        const gpTestAnswer& aAnswer,
                        const Starts& aStarts)
{
  recorded_.push_back({ aJob, aAnswer, aStarts });
}

std::string
gpAnswerChecker::FindViolations(const Starts& aStarts) const
{
  std::string text;
  for (const auto& [line, count] : aStarts) {
    if (count > 1) {
      text +=
        "task " + line + " was started " + std::to_string(count) + " times\n";
    }
  }
  for (const RecordedAnswer& recorded : recorded_) {
    for (const std::string& violation : FindViolationsIn(recorded, aStarts)) {
      text += recorded.job_.key_ + ", " + recorded.answer_.outcome_ + " " +
              recorded.answer_.code_ + ": " + violation + "\n";
    }
  }
  return text;
}

std::vector<std::string>
gpAnswerChecker::FindViolationsIn(const RecordedAnswer& aRecorded,
                                  const Starts& aStarts) const
{
  const gpTestAnswer& answer = aRecorded.answer_;
  if (answer.outcome_ == "complete") {
    Lines violations =
      FindViolationsInComplete(aRecorded.job_, answer, aStarts);
    if (IsFailedBefore(aRecorded)) {
      violations.push_back("complete after the final answer 'failed'");
    }
    return violations;
  }
  if (answer.outcome_ == "failed") {
    return FindViolationsInFailed(aRecorded.job_, answer, aStarts);
  }
  if (answer.outcome_ == "not_run") {
    // The key belongs to a job with another body. This answer makes no
    // statement about that job's tasks.
    return answer.code_ == "key_reused"
             ? Lines{}
             : FindViolationsInNotRun(aRecorded.job_, aRecorded.starts_);
  }
  if (answer.outcome_ == "unknown") {
    return answer.retryAfterMs_ ? Lines{} : Lines{ "has no retry_after_ms" };
  }
  return { "no answer, status " + std::to_string(answer.status_) };
}

bool
gpAnswerChecker::IsFailedBefore(const RecordedAnswer& aRecorded) const
{
  for (const RecordedAnswer& recorded : recorded_) {
    if (&recorded == &aRecorded) {
      return false;
    }
    if (recorded.job_.key_ == aRecorded.job_.key_ &&
        recorded.answer_.outcome_ == "failed") {
      return true;
    }
  }
  return false;
}
