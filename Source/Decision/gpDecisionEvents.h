#pragma once

#include "gpIds.h"
#include "gpStartMessages.h"
#include "gpTimelineEvent.h"

/** \brief Lines of the time line that entries and guards both write. */

/// A line about a claim.
inline gpTimelineEvent
gpClaimEvent(gpEventKind aKind, const gpServiceKey& aKey, const gpJobId& aJob)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.key_ = aKey;
  event.job_ = aJob;
  return event;
}

/// A line about one attempt to start a task.
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
