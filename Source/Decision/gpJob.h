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

/// The state of a task of a job.
enum class gpTaskPhase
{
  Waiting, ///< not sent yet, or known not to have run
  Sent,    ///< sent to a guard, so it may run
  InDoubt, ///< sent, and the link to the guard was lost since
  Ended,   ///< its guard reported how it ended
  Dropped, ///< will never be sent again
};

/** \class gpTask
 * \brief The state of one task of a job at the entry that received the job.
 */
struct gpTask
{
  gpTaskPhase phase_ = gpTaskPhase::Waiting;
  /// Number of the last attempt; 0 before the first.
  gpAttempt attempt_;
  /// The guard that the last attempt was sent to, and when.
  gpIncarnation guard_;
  gpTime sentAt_;
  gpTaskResult result_;
};

/// The state of a job.
enum class gpJobPhase
{
  Claiming, ///< waits for the replicas' replies to a claim or a query
  Attached, ///< waits for the answer of another claimant's job
  Running,  ///< has the claim or needs none, so its tasks may start
  Ended,    ///< answered
};

/** \class gpAttachedEntry
 * \brief Another entry that waits for the answer of a job of this entry.
 */
struct gpAttachedEntry
{
  gpLinkId link_;
  /// The claim whose answer the other entry asked for.
  gpJobId claim_;
};

/** \class gpJob
 * \brief A job that a caller submitted to this entry, or a lookup of the answer
 * of a key.
 */
struct gpJob
{
  /// Also identifies the job's claim.
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
  std::vector<gpAttachedEntry> attachedEntries_;
  /// The answer if no other job has claimed the key. Set if admission refused
  /// the job, and for a lookup.
  std::optional<gpFailure> refusal_;
  /// Number of times that the key was claimed again because another claimant
  /// had withdrawn.
  std::uint32_t claimRounds_ = 0;
  /// Replicas that granted the claim; set once the claim is won.
  std::vector<gpIncarnation> grants_;
  /// The process of the claimant that the job was attached to has ended.
  bool claimantEnded_ = false;
  /// Set once the job has ended.
  std::optional<gpAnswer> answer_;
  /// Whether its tasks count against the limit of its team.
  bool admitted_ = false;
};

/// The key of the job with its service; not set if the job has no key.
std::optional<gpServiceKey>
gpKeyOf(const gpJob& aJob);
/// Whether the job is a lookup: it only asks for the answer of a key and has no
/// tasks.
bool
gpIsLookup(const gpJob& aJob);
/// A log event about the job.
gpTimelineEvent
gpJobEvent(gpEventKind aKind, const gpJob& aJob);
/// The tasks of the job that may have been run so far, in ascending order.
std::vector<gpTaskIndex>
gpMayHaveRun(const gpJob& aJob);
