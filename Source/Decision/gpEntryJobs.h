#pragma once

#include <set>
#include <utility>
#include <vector>

#include "gpAdmissionPolicy.h"
#include "gpClaimMessages.h"
#include "gpEffect.h"
#include "gpEntryAttachments.h"
#include "gpEntryClaims.h"
#include "gpEntryDispatch.h"
#include "gpEvent.h"
#include "gpGuardDirectory.h"
#include "gpIds.h"
#include "gpJobEndings.h"
#include "gpJobTable.h"
#include "gpTime.h"

/** \class gpEntryJobs
 * \brief Takes an entry's jobs through their states, from the submission to the
 * answer.
 */
class gpEntryJobs
{
public:
  gpEntryJobs(gpJobTable& aJobs,
              gpGuardDirectory& aGuards,
              gpEntryClaims& aClaims,
              gpEntryAttachments& aAttachments,
              gpEntryDispatch& aDispatch);

  void SetConfiguration(const gpConfiguration& aConfiguration);
  /// Makes the entry refuse all new jobs from now on.
  void Close() { closed_ = true; }
  bool IsClosed() const { return closed_; }
  bool IsReady() const { return !closed_ && admission_.HasConfiguration(); }

  void OnSubmitted(const gpJobSubmitted& aEvent, gpTime aNow, gpEffects& aOut);
  void OnQueried(const gpJobQueried& aEvent, gpTime aNow, gpEffects& aOut);
  void OnCallerDisconnected(gpRequestId aRequest, gpTime aNow, gpEffects& aOut);
  void OnAttachRequest(gpLinkId aLink,
                       const gpAttachRequest& aRequest,
                       gpTime aNow,
                       gpEffects& aOut);
  void OnClaimResult(const gpClaimResult& aResult,
                     gpTime aNow,
                     gpEffects& aOut);
  void OnAttachmentResult(const gpAttachmentResult& aResult,
                          gpTime aNow,
                          gpEffects& aOut);
  void OnUpdate(const gpJobUpdate& aUpdate, gpTime aNow, gpEffects& aOut);
  /// Ends jobs whose deadline has passed, and answers queries whose time has
  /// passed.
  void OnTime(gpTime aNow, gpEffects& aOut);
  /// Ends all open jobs with a failure. Called when the time limit of a
  /// graceful shutdown has passed.
  void FailAll(gpTime aNow, gpEffects& aOut);
  /// When OnTime has something to do; gpTime::max() if never.
  gpTime GetNextTime() const;

private:
  /// Answers or attaches the request if a job with the same key is known at
  /// this entry. Returns false if none is.
  bool AttachToKnownJob(const gpJobSubmitted& aEvent,
                        gpTime aNow,
                        gpEffects& aOut);
  /// Refuses the job. If it has a key, its claim or a query must first confirm
  /// that no other entry has run a job with the key.
  void Refuse(gpJob aJob,
              const gpFailure& aFailure,
              gpTime aNow,
              gpEffects& aOut);
  void Run(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Attaches the job to the claimant that has its key.
  void AttachTo(gpJob& aJob,
                const gpClaimant& aClaimant,
                gpTime aNow,
                gpEffects& aOut);
  /// Starts another round after a claimant has withdrawn its claim.
  void ClaimAgain(gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// A claim has ended without being won: attaches the job or answers it.
  void OnClaimLost(gpJob& aJob,
                   const gpClaimResult& aResult,
                   gpTime aNow,
                   gpEffects& aOut);
  /// A query or a final query has a result.
  void OnQueryDone(gpJob& aJob,
                   const gpClaimResult& aResult,
                   gpTime aNow,
                   gpEffects& aOut);
  void ExpireQueries(gpTime aNow, gpEffects& aOut);
  gpMillis DefaultDeadline(const gpServiceName& aService) const;

  gpJobTable& jobs_;
  gpGuardDirectory& guards_;
  gpEntryClaims& claims_;
  gpEntryAttachments& attachments_;
  gpEntryDispatch& dispatch_;
  gpAdmissionPolicy admission_;
  gpJobEndings endings_;
  bool closed_ = false;
  /// When the requests of gpJobQueried that wait for a known job time out.
  std::set<std::pair<gpTime, gpRequestId>> queryTimeouts_;
};
