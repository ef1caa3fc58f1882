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
class gpEntryFollows;
class gpJobTable;

/** \class gpJobEndings
 * \brief Ends an entry's jobs: gives everybody who waits the answer, and gives
 * the claim back or the outcome to its holders.
 */
class gpJobEndings
{
public:
  gpJobEndings(gpJobTable& aJobs,
               gpEntryClaims& aClaims,
               gpEntryFollows& aFollows,
               gpEntryDispatch& aDispatch,
               gpAdmissionPolicy& aAdmission);

  /// Ends a running job without a complete answer.
  void Fail(gpJob& aJob, gpFailureCode aCode, gpTime aNow, gpEffects& aOut);
  /// Ends a job all of whose tasks have a result.
  void Complete(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Ends a job whose deadline has passed, in any phase.
  void Overdue(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Gives everybody the answer. The job is gone then, unless it has a key that
  /// this entry claimed and the answer is final.
  void End(gpJob& aJob, gpAnswer aAnswer, gpTime aNow, gpEffects& aOut);
  /// Answers the entries that wait for the job; without an answer, the claim
  /// was never used.
  void AnswerAttachers(gpJob& aJob,
                       const std::optional<gpAnswer>& aAnswer,
                       gpEffects& aOut);

private:
  gpMillis RetentionOf(const gpServiceName& aService) const;

  gpJobTable& jobs_;
  gpEntryClaims& claims_;
  gpEntryFollows& follows_;
  gpEntryDispatch& dispatch_;
  gpAdmissionPolicy& admission_;
};
