#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gpAnswer.h"
#include "gpIds.h"
#include "gpSubmission.h"
#include "gpTime.h"
#include "gpTimelineEvent.h"

/// Where a task of a job is.
enum class gpTaskPhase
{
  Waiting, ///< not sent, or known not to have run
  Sent,    ///< sent to a guard; it may run
  InDoubt, ///< sent, and the link broke since
  Ended,   ///< the target answered
  Dropped, ///< never will be sent again
};

/** \class gpTask
 * \brief One task of a job, as its entry sees it.
 */
struct gpTask
{
  gpTaskPhase phase_ = gpTaskPhase::Waiting;
  /// Number of the last attempt; 0 before the first.
  gpAttempt attempt_;
  gpIncarnation guard_;
  gpTime sentAt_;
  gpTaskResult result_;
};

/// Where a job is.
enum class gpJobPhase
{
  Claiming,  ///< asking holders for the key, or who has it
  Following, ///< waiting for the answer of another claimant
  Running,   ///< its tasks may start
  Ended,     ///< answered
};

/** \class gpAttacher
 * \brief Another entry that waits for the answer of a job.
 */
struct gpAttacher
{
  gpLinkId link_;
  /// The claim that it asked for.
  gpJobId claim_;
};

/** \class gpJob
 * \brief One job of this entry.
 */
struct gpJob
{
  /// Also names the job's claim.
  gpJobId id_;
  gpSubmission submission_;
  gpJobPhase phase_ = gpJobPhase::Claiming;
  std::vector<gpTask> tasks_;
  /// Tasks that have no result yet.
  std::size_t open_ = 0;
  gpTime receivedAt_;
  gpTime deadlineAt_;
  /// Callers that wait for the answer.
  std::vector<gpRequestId> requests_;
  std::vector<gpAttacher> attachers_;
  /// What the job is answered if its key is free. Set if it was refused, or
  /// only asks for the answer of a key.
  std::optional<gpFailure> refusal_;
  /// Claims asked for anew after another claimant withdrew.
  std::uint32_t claimRounds_ = 0;
  /// Holders that granted the claim, once it's won.
  std::vector<gpIncarnation> grants_;
  /// The claimant that it followed has ended.
  bool claimantGone_ = false;
  /// Set once the job has ended.
  std::optional<gpAnswer> answer_;
  /// Whether it counts against its team.
  bool admitted_ = false;
};

/// The key of a job that has one.
std::optional<gpServiceKey>
gpKeyOf(const gpJob& aJob);
/// Whether the job only asks for the answer of a key.
bool
gpIsLookup(const gpJob& aJob);
/// A line of the time line about the job.
gpTimelineEvent
gpJobEvent(gpEventKind aKind, const gpJob& aJob);
/// The tasks of a job that may have run so far, ascending.
std::vector<gpTaskIndex>
gpMayHaveRun(const gpJob& aJob);
