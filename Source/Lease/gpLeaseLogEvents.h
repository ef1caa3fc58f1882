#pragma once

#include <string>

#include "gpCrashMessages.h"
#include "gpIds.h"
#include "gpLeaseJobTable.h"
#include "gpRunMessages.h"
#include "gpTargetTable.h"
#include "gpTimelineEvent.h"

/** \brief Log events about best-effort jobs and their runs. */

/// Makes a log event about a job.
gpTimelineEvent
gpJobLogEvent(gpEventKind aKind,
              const gpServiceName& aService,
              const std::string& aJob,
              std::string aDetail);

/// Makes a log event about one run of a task.
gpTimelineEvent
gpRunLogEvent(gpEventKind aKind,
              const gpServiceName& aService,
              const gpRunId& aRun,
              std::string aDetail);

/// Makes a log event about a run that an entry ordered from a guard.
gpTimelineEvent
gpTaskLogEvent(gpEventKind aKind,
               const gpLeaseRecord& aJob,
               const gpRunId& aRun,
               gpIncarnation aGuard,
               const std::string& aDetail);

/// Makes a log event about the process, its target or its configuration.
gpTimelineEvent
gpProcessLogEvent(gpEventKind aKind, std::string aDetail);

/// Formats a time in whole milliseconds, such as "12 ms".
std::string
gpMillisText(gpMicros aTime);
/// Describes an accepted job: its queue and size, its objective, the time until
/// its deadline and the predicted wait.
std::string
gpAdmittedText(const gpLeaseRecord& aJob,
               gpConfigVersion aVersion,
               gpMillis aWait,
               gpTime aNow);
/// Formats outcome and reason, such as "not_run overloaded".
std::string
gpAnswerText(const gpLeaseAnswer& aAnswer);
/// Describes why a task has to wait: the most frequent obstacle among the
/// targets, and the number of targets with each one.
std::string
gpObstaclesText(const gpTargetObstacles& aObstacles);
/// Describes the crash of a target: how long ago it was, and how many runs were
/// lost.
std::string
gpCrashText(const gpTargetCrash& aCrash, gpMicros aAgo);
/// Describes what the entry knew of a target when it sent a run there.
std::string
gpTargetText(const gpTargetView& aTarget, gpTime aNow);
