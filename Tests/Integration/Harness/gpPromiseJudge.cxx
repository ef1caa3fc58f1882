#include "gpPromiseJudge.h"

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
CountOf(const gpPromiseJudge::Starts& aStarts, const std::string& aLine)
{
  const auto found = aStarts.find(aLine);
  return found == aStarts.end() ? 0 : found->second;
}

/// What a stand-in target answers to a task.
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
FindBrokenComplete(const gpTestJob& aJob,
                   const gpTestAnswer& aAnswer,
                   const gpPromiseJudge::Starts& aStarts)
{
  Lines broken;
  if (aAnswer.results_.size() != aJob.tasks_.size()) {
    broken.push_back("complete without all results");
    return broken;
  }
  for (std::size_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    if (aAnswer.results_[task] != ExpectedResult(aJob, task)) {
      broken.push_back("task " + line + " has another's result");
    }
    if (CountOf(aStarts, line) == 0) {
      broken.push_back("task " + line + " has a result and no start");
    }
  }
  return broken;
}

Lines
FindBrokenFailed(const gpTestJob& aJob,
                 const gpTestAnswer& aAnswer,
                 const gpPromiseJudge::Starts& aStarts)
{
  Lines broken;
  const auto& listed = aAnswer.mayHaveRun_;
  if (listed.empty()) {
    broken.push_back("failed, and may_have_run is empty");
  }
  for (std::uint32_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    const bool isListed =
      std::find(listed.begin(), listed.end(), task) != listed.end();
    if (!isListed && CountOf(aStarts, line) > 0) {
      broken.push_back("task " + line + " ran and may_have_run misses it");
    }
  }
  return broken;
}

Lines
FindBrokenNotRun(const gpTestJob& aJob, const gpPromiseJudge::Starts& aStarts)
{
  Lines broken;
  for (std::size_t task = 0; task < aJob.tasks_.size(); ++task) {
    const std::string line = JournalLine(aJob, task);
    if (CountOf(aStarts, line) > 0) {
      broken.push_back("task " + line + " ran before 'not run' was said");
    }
  }
  return broken;
}

} // namespace

void
gpPromiseJudge::Note(const gpTestJob& aJob,
                     const gpTestAnswer& aAnswer,
                     const Starts& aStarts)
{
  noted_.push_back({ aJob, aAnswer, aStarts });
}

std::string
gpPromiseJudge::Judge(const Starts& aStarts) const
{
  std::string text;
  for (const auto& [line, count] : aStarts) {
    if (count > 1) {
      text +=
        "task " + line + " was started " + std::to_string(count) + " times\n";
    }
  }
  for (const Noted& noted : noted_) {
    for (const std::string& broken : FindBroken(noted, aStarts)) {
      text += noted.job_.key_ + ", " + noted.answer_.outcome_ + " " +
              noted.answer_.code_ + ": " + broken + "\n";
    }
  }
  return text;
}

std::vector<std::string>
gpPromiseJudge::FindBroken(const Noted& aNoted, const Starts& aStarts) const
{
  const gpTestAnswer& answer = aNoted.answer_;
  if (answer.outcome_ == "complete") {
    Lines broken = FindBrokenComplete(aNoted.job_, answer, aStarts);
    if (IsFailedBefore(aNoted)) {
      broken.push_back("complete after the final answer 'failed'");
    }
    return broken;
  }
  if (answer.outcome_ == "failed") {
    return FindBrokenFailed(aNoted.job_, answer, aStarts);
  }
  if (answer.outcome_ == "not_run") {
    // A key that belongs to another body says nothing of that one's tasks.
    return answer.code_ == "key_reused"
             ? Lines{}
             : FindBrokenNotRun(aNoted.job_, aNoted.starts_);
  }
  if (answer.outcome_ == "unknown") {
    return answer.retryAfterMs_ ? Lines{}
                                : Lines{ "doesn't say when to come back" };
  }
  return { "no answer, status " + std::to_string(answer.status_) };
}

bool
gpPromiseJudge::IsFailedBefore(const Noted& aNoted) const
{
  for (const Noted& noted : noted_) {
    if (&noted == &aNoted) {
      return false;
    }
    if (noted.job_.key_ == aNoted.job_.key_ &&
        noted.answer_.outcome_ == "failed") {
      return true;
    }
  }
  return false;
}
