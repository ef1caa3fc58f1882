#pragma once

#include <optional>

#include "gpAnswer.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpTime.h"

class gpAdmissionPolicy;
class gpEntryClaims;
class gpEntryDispatch;
class gpEntryAttachments;
class gpJobTable;

/** \class gpJobEndings
 * \brief Ends an entry's jobs: answers the callers and the attached entries,
 * and withdraws the job's claim or sends the answer to its replicas.
 */
class gpJobEndings
{
public:
  gpJobEndings(gpJobTable& aJobs,
               gpEntryClaims& aClaims,
               gpEntryAttachments& aAttachments,
               gpEntryDispatch& aDispatch,
               gpAdmissionPolicy& aAdmission);

  /// Ends a running job with a failure, and cancels its open tasks.
  void Fail(gpJob& aJob, gpFailureCode aCode, gpTime aNow, gpEffects& aOut);
  /// Ends a job of which all tasks have a result.
  void Complete(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Ends a job whose deadline has passed, in any phase.
  void EndPastDeadline(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Sends the answer to all callers and attached entries. Then erases the job,
  /// unless this entry has the claim of its key and a task of the job may have
  /// run; in that case the answer is kept for the retention of the service.
  void End(gpJob& aJob, gpAnswer aAnswer, gpTime aNow, gpEffects& aOut);
  /// Replies to the entries that are attached to the job. A reply without an
  /// answer means that no task was started under the claim.
  void AnswerAttachedEntries(gpJob& aJob,
                             const std::optional<gpAnswer>& aAnswer,
                             gpEffects& aOut);

private:
  gpMillis RetentionOf(const gpServiceName& aService) const;

  gpJobTable& jobs_;
  gpEntryClaims& claims_;
  gpEntryAttachments& attachments_;
  gpEntryDispatch& dispatch_;
  gpAdmissionPolicy& admission_;
};
