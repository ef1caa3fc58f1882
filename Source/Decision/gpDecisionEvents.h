#pragma once

#include "gpIds.h"
#include "gpStartMessages.h"
#include "gpTimelineEvent.h"

/** \brief Factories for log events that entries and guards both write. */

/// A log event about a claim.
inline gpTimelineEvent
gpClaimEvent(gpEventKind aKind, const gpServiceKey& aKey, const gpJobId& aJob)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.key_ = aKey;
  event.job_ = aJob;
  return event;
}

/// A log event about one attempt to start a task.
inline gpTimelineEvent
gpTaskEvent(gpEventKind aKind, const gpAttemptId& aAttempt)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.job_ = aAttempt.task_.job_;
  event.task_ = aAttempt.task_.task_;
  event.attempt_ = aAttempt.attempt_;
  return event;
}
