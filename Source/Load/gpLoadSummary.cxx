#include "gpLoadSummary.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "gpLoadText.h"

namespace {

std::string
PercentilesLine(const std::string& aName, const gpPercentiles& aTimes)
{
  const std::array times = {
    aTimes.mean_, aTimes.p50_, aTimes.p90_, aTimes.p99_, aTimes.max_
  };
  std::string line = aName;
  line.resize(std::max<std::size_t>(line.size(), 32), ' ');
  for (const gpMicros time : times) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), " %9.1f", gpMillisOf(time));
    line += text.data();
  }
  return line + "\n";
}

constexpr const char* kPercentilesHeader =
  "ms                                    mean       p50       p90       p99"
  "       max\n";

std::string
CountsLine(const std::string& aName,
           const std::map<std::string, std::uint64_t>& aCounts)
{
  if (aCounts.empty()) {
    return "";
  }
  std::string line = aName + ":";
  for (const auto& [name, count] : aCounts) {
    line += " " + name + " " + std::to_string(count);
  }
  return line + "\n";
}

/// Whether a response time is below its bound, which means that the experiment
/// doesn't describe the deployment correctly.
bool
BeatsBounds(const gpPercentiles& aTimes, const gpPercentiles& aBounds)
{
  return aTimes.mean_ < aBounds.mean_ || aTimes.p50_ < aBounds.p50_ ||
         aTimes.p90_ < aBounds.p90_ || aTimes.p99_ < aBounds.p99_ ||
         aTimes.max_ < aBounds.max_;
}

std::string
ResponseLines(const gpLoadResult& aResult)
{
  std::string text = kPercentilesHeader;
  text += PercentilesLine("completed jobs", aResult.All().response_);
  text += PercentilesLine("lower bounds", aResult.All().bound_);
  for (const gpReferenceResult& reference : aResult.references_) {
    text += PercentilesLine(reference.name_, reference.response_);
  }
  if (BeatsBounds(aResult.All().response_, aResult.All().bound_)) {
    text +=
      "FASTER THAN THE BOUNDS: the deployment under test has faster slots "
      "or shorter network delays than the experiment says\n";
  }
  return text;
}

} // namespace

std::string
gpLoadSummaryText(const gpLoadResult& aResult)
{
  const gpJobGroup& all = aResult.All();
  std::string text = aResult.experiment_ + " " + aResult.label_ + ": " +
                     std::to_string(all.jobs_) + " jobs, " +
                     std::to_string(aResult.tasks_) + " tasks, load " +
                     gpPercentText(aResult.load_) + ", offered " +
                     gpPercentText(aResult.offered_) + ", goodput " +
                     gpPercentText(aResult.goodput_) + "\n";
  text += CountsLine("outcomes", all.outcomes_);
  text += CountsLine("last codes", aResult.codes_);
  text += CountsLine("WRONG ANSWERS", aResult.faults_);
  text += "submitted again " + std::to_string(aResult.resubmissions_) +
          ", sent to the next entry " + std::to_string(aResult.redirects_) +
          ", sent late by up to " + gpMillisText(aResult.worstLag_) + " ms\n";
  text += ResponseLines(aResult);
  if (aResult.refusals_.count_ > 0) {
    text += PercentilesLine("refusals", aResult.refusals_);
  }
  const gpMessageReport& messages = aResult.messages_;
  text += "messages: needed " + std::to_string(messages.needed_) + ", beyond " +
          std::to_string(messages.excess_);
  text += " (" + gpPercentText(messages.ExcessShare()) + ")";
  text += ", unread processes " + std::to_string(messages.unread_) + "\n";
  return text;
}

std::string
gpPlanSummaryText(const gpLoadPlan& aPlan)
{
  // The bounds and references are computed from complete jobs.
  gpLoadRecords records;
  records.jobs_.resize(aPlan.jobs_.size());
  for (gpJobRecord& record : records.jobs_) {
    record.outcome_ = gpLoadOutcome::Complete;
  }
  const gpLoadResult result = gpEvaluateRun(aPlan, records, "plan");
  std::string text = result.experiment_ + ": " +
                     std::to_string(result.All().jobs_) + " jobs, " +
                     std::to_string(result.tasks_) + " tasks, capacity " +
                     gpFixedText(result.capacity_, 1) + ", offered " +
                     gpPercentText(result.offered_) + "\n";
  text += kPercentilesHeader;
  text += PercentilesLine("lower bounds", result.All().bound_);
  for (const gpReferenceResult& reference : result.references_) {
    text += PercentilesLine(reference.name_, reference.response_);
  }
  return text;
}
