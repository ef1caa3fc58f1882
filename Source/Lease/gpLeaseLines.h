#pragma once

#include <string>

#include "gpIds.h"
#include "gpLeaseJobTable.h"
#include "gpRunMessages.h"
#include "gpTargetBoard.h"
#include "gpTimelineEvent.h"

/** \brief Lines of the time line about best-effort jobs and their runs. */

/// A line about a job.
gpTimelineEvent
gpJobLine(gpEventKind aKind,
          const gpServiceName& aService,
          const std::string& aJob,
          std::string aDetail);

/// A line about one run of a task.
gpTimelineEvent
gpRunLine(gpEventKind aKind,
          const gpServiceName& aService,
          const gpRunId& aRun,
          std::string aDetail);

/// A line about a run that an entry ordered at a guard.
gpTimelineEvent
gpTaskLine(gpEventKind aKind,
           const gpLeaseRecord& aJob,
           const gpRunId& aRun,
           gpIncarnation aGuard,
           const std::string& aDetail);

/// A line about the process, its target or its configuration.
gpTimelineEvent
gpPlainLine(gpEventKind aKind, std::string aDetail);

/// A time in whole milliseconds, such as "12 ms".
std::string
gpMillisText(gpMicros aTime);
/// What a job was taken in with: its size, the caller's patience and the
/// predicted wait.
std::string
gpAdmittedText(const gpLeaseRecord& aJob,
               gpConfigVersion aVersion,
               gpMillis aWait,
               gpTime aNow);
/// Outcome and reason.
std::string
gpAnswerText(const gpLeaseAnswer& aAnswer);
/// What was known of a target when a run was sent there.
std::string
gpTargetText(const gpTargetView& aTarget, gpTime aNow);
