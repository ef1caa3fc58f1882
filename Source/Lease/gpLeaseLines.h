#pragma once

#include <string>

#include "gpIds.h"
#include "gpRunMessages.h"
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

/// A line about the process, its target or its configuration.
gpTimelineEvent
gpPlainLine(gpEventKind aKind, std::string aDetail);
