#include "gpLeaseLines.h"

#include <utility>

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
gpPlainLine(gpEventKind aKind, std::string aDetail)
{
  gpTimelineEvent line;
  line.kind_ = aKind;
  line.detail_ = std::move(aDetail);
  return line;
}
