#include "gpLeaseLines.h"

#include <utility>

#include "gpScaled.h"

gpTimelineEvent
gpJobLine(gpEventKind aKind,
          const gpServiceName& aService,
          const std::string& aJob,
          std::string aDetail)
{
  gpTimelineEvent line = gpPlainLine(aKind, std::move(aDetail));
  line.key_ = gpServiceKey{ aService, gpSubmissionKey(aJob) };
  return line;
}

gpTimelineEvent
gpRunLine(gpEventKind aKind,
          const gpServiceName& aService,
          const gpRunId& aRun,
          std::string aDetail)
{
  gpTimelineEvent line =
    gpJobLine(aKind, aService, aRun.task_, std::move(aDetail));
  line.number_ = aRun.number_;
  return line;
}

gpTimelineEvent
gpTaskLine(gpEventKind aKind,
           const gpLeaseRecord& aJob,
           const gpRunId& aRun,
           gpIncarnation aGuard,
           const std::string& aDetail)
{
  gpTimelineEvent line = gpRunLine(aKind, aJob.queue_.service_, aRun, aDetail);
  line.peer_ = aGuard;
  return line;
}

gpTimelineEvent
gpPlainLine(gpEventKind aKind, std::string aDetail)
{
  gpTimelineEvent line;
  line.kind_ = aKind;
  line.detail_ = std::move(aDetail);
  return line;
}

std::string
gpMillisText(gpMicros aTime)
{
  return std::to_string(std::chrono::duration_cast<gpMillis>(aTime).count()) +
         " ms";
}

std::string
gpAdmittedText(const gpLeaseRecord& aJob,
               gpConfigVersion aVersion,
               gpMillis aWait,
               gpTime aNow)
{
  return "queue " + aJob.queue_.name_.value_ + " version " +
         std::to_string(aVersion.value_) + " tasks " +
         std::to_string(aJob.tasks_.size()) + " estimate " +
         gpMillisText(aJob.GetChain()) + " time left " +
         gpMillisText(aJob.deadline_ - aNow) + " wait " + gpMillisText(aWait);
}

std::string
gpAnswerText(const gpLeaseAnswer& aAnswer)
{
  return gpLeaseOutcomeName(aAnswer.outcome_) + " " +
         gpLeaseReasonName(aAnswer.reason_);
}

std::string
gpTargetText(const gpTargetView& aTarget, gpTime aNow)
{
  const auto slowness = gpScaled(gpMillis(100), aTarget.slowness_);
  return "free " + std::to_string(aTarget.GetFree().milliCores_) +
         " mcores as of " + gpMillisText(aNow - aTarget.reportedAt_) +
         " ago, slowness " + std::to_string(slowness.count()) + " %";
}
