#include "gpLeaseLogEvents.h"

#include <algorithm>
#include <utility>

#include "gpScaled.h"

gpTimelineEvent
gpJobLogEvent(gpEventKind aKind,
              const gpServiceName& aService,
              const std::string& aJob,
              std::string aDetail)
{
  gpTimelineEvent event = gpProcessLogEvent(aKind, std::move(aDetail));
  event.key_ = gpServiceKey{ aService, gpSubmissionKey(aJob) };
  return event;
}

gpTimelineEvent
gpRunLogEvent(gpEventKind aKind,
              const gpServiceName& aService,
              const gpRunId& aRun,
              std::string aDetail)
{
  gpTimelineEvent event =
    gpJobLogEvent(aKind, aService, aRun.task_, std::move(aDetail));
  event.number_ = aRun.number_;
  return event;
}

gpTimelineEvent
gpTaskLogEvent(gpEventKind aKind,
               const gpLeaseRecord& aJob,
               const gpRunId& aRun,
               gpIncarnation aGuard,
               const std::string& aDetail)
{
  gpTimelineEvent event =
    gpRunLogEvent(aKind, aJob.queue_.service_, aRun, aDetail);
  event.peer_ = aGuard;
  return event;
}

gpTimelineEvent
gpProcessLogEvent(gpEventKind aKind, std::string aDetail)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.detail_ = std::move(aDetail);
  return event;
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
         gpMillisText(aJob.GetCriticalPath()) + " objective " +
         gpMillisText(aJob.objective_) + " time left " +
         gpMillisText(aJob.deadline_ - aNow) + " wait " + gpMillisText(aWait);
}

std::string
gpAnswerText(const gpLeaseAnswer& aAnswer)
{
  return gpLeaseOutcomeName(aAnswer.outcome_) + " " +
         gpLeaseReasonName(aAnswer.reason_);
}

std::string
gpObstaclesText(const gpTargetObstacles& aObstacles)
{
  std::string all;
  std::string mostly = "no_target";
  std::size_t most = 0;
  for (const auto& [name, count] : aObstacles.List()) {
    all += std::string(" ") + name + " " + std::to_string(count);
    if (count > most) {
      most = count;
      mostly = name;
    }
  }
  return "mostly " + mostly + " of" + all;
}

std::string
gpTargetText(const gpTargetView& aTarget, gpTime aNow)
{
  const auto slowness = gpScaled(gpMillis(100), aTarget.slowness_);
  return "free " + std::to_string(aTarget.GetFree().milliCores_) +
         " mcores as of " + gpMillisText(aNow - aTarget.reportedAt_) +
         " ago, slowness " + std::to_string(slowness.count()) + " %";
}

std::string
gpCrashText(const gpTargetCrash& aCrash, gpMicros aAgo)
{
  const auto suspected =
    std::count_if(aCrash.runs_.begin(),
                  aCrash.runs_.end(),
                  [](const gpLostRun& aRun) { return aRun.suspected_; });
  return aCrash.target_ + " crash " + std::to_string(aCrash.number_) + ", " +
         gpMillisText(aAgo) + " ago, runs lost " +
         std::to_string(aCrash.runs_.size()) + ", suspected " +
         std::to_string(suspected);
}
