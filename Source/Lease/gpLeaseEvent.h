#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gpEffect.h"
#include "gpEvent.h"
#include "gpLeaseJob.h"
#include "gpQueueTable.h"
#include "gpRunMessages.h"
#include "gpTargetAnnouncement.h"

/** \brief Events and effects of the reducers for best-effort jobs, in addition
 * to those in gpEvent.h and gpEffect.h.
 *
 * A family of plain aggregates shares this file.
 */

/// A caller submitted a best-effort job.
struct gpLeaseJobSubmitted
{
  gpRequestId request_;
  gpLeaseJob job_;
};

/// A caller cancels the job with this ID.
struct gpLeaseJobCancelled
{
  std::string id_;
};

/// A new version of the queue table was read from the store or received from a
/// peer.
struct gpQueuesChanged
{
  gpQueueTable queues_;
};

/// The entries that the settings or the platform's store list.
struct gpEntriesFound
{
  std::vector<gpAddress> entries_;
};

/// A heartbeat of a target was received.
struct gpHeartbeatReceived
{
  gpTargetAnnouncement target_;
};

/// The store has a record of the target, which an earlier process of this guard
/// has written. It may be out of date.
struct gpTargetRecordRead
{
  gpTargetRecord record_;
};

/// The target announced that it ends.
struct gpTargetEnded
{
  std::string id_;
};

/// The result of a call to a target (start, stop or poll). After a refusal, the
/// target has done nothing.
enum class gpOrderReply
{
  Accepted,
  Fence,       ///< refused: the target has seen a higher fence
  Outdated,    ///< refused: it has seen this or a higher run number
  Late,        ///< refused: the order's lease had already expired
  NoRoom,      ///< refused: not enough free capacity
  Unhealthy,   ///< refused: the target is unhealthy
  OtherTarget, ///< refused: another incarnation answered
  NotSent,     ///< the target is unreachable; nothing was sent
  Silent,      ///< no answer; it may be carried out now or later
  Broken,      ///< likewise: the connection broke before the answer
};

/// A call to start a run was answered, failed or timed out.
struct gpStartReplied
{
  gpRunId run_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  /// The target's clock in ms; 0 if the answer didn't contain it.
  std::uint64_t clock_ = 0;
};

/// A call to stop a run was answered, failed or timed out.
struct gpStopReplied
{
  gpRunId run_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  std::uint64_t clock_ = 0;
};

/** \class gpEndedRun
 * \brief One entry of a target's list of ended runs.
 */
struct gpEndedRun
{
  /// Position in the target's list of ended runs, from 1.
  std::uint64_t position_ = 0;
  gpRunId run_;
  gpRunEnd end_ = gpRunEnd::Done;
};

/// A poll of the target was answered, failed or timed out.
struct gpPollReplied
{
  gpTime sentAt_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  std::uint64_t clock_ = 0;
  /// Start time of the incarnation that answered; 0 if the answer didn't
  /// contain it.
  std::uint64_t startTime_ = 0;
  std::vector<gpRunId> running_;
  std::vector<gpEndedRun> ended_;
};

/// A call that asked whether the target is the incarnation with this ID was
/// answered, failed or timed out.
struct gpTargetIdentified
{
  std::string id_;
  /// Accepted if the target has this ID, OtherTarget if it has another one.
  gpOrderReply reply_ = gpOrderReply::Silent;
  /// Start time of the incarnation that answered; 0 if the answer didn't
  /// contain it.
  std::uint64_t startTime_ = 0;
};

/** \class gpLeaseEntryEvent
 * \brief One event of an entry that serves best-effort jobs.
 */
struct gpLeaseEntryEvent
{
  gpTime now_;
  std::variant<gpLeaseJobSubmitted,
               gpLeaseJobCancelled,
               gpCallerDisconnected,
               gpQueuesChanged,
               gpEntriesFound,
               gpLinkOpened,
               gpLinkLost,
               gpDialFailed,
               gpMessageReceived,
               gpTimePassed,
               gpShutdownRequested>
    input_;
};

/** \class gpLeaseGuardEvent
 * \brief One event of a guard that serves best-effort jobs.
 */
struct gpLeaseGuardEvent
{
  gpTime now_;
  std::variant<gpEntriesFound,
               gpLinkOpened,
               gpLinkLost,
               gpDialFailed,
               gpMessageReceived,
               gpHeartbeatReceived,
               gpTargetRecordRead,
               gpTargetEnded,
               gpStartReplied,
               gpStopReplied,
               gpPollReplied,
               gpTargetIdentified,
               gpTimePassed,
               gpShutdownRequested>
    input_;
};

/// Answers a caller's request.
struct gpAnswerLeaseJob
{
  gpRequestId request_;
  gpLeaseAnswer answer_;
};

/// From now on closes each caller's connection after its next answer, so that
/// the caller reconnects to another entry.
struct gpCloseCallerConnections
{};

/// Closes a link. No gpLinkLost follows.
struct gpCloseLink
{
  gpLinkId link_;
};

/// Orders the target to start a run; gpStartReplied follows.
struct gpStartRun
{
  std::string target_;
  gpRunId run_;
  std::string spec_;
  std::uint64_t fence_ = 0;
  /// End of the lease on the target's clock, in ms.
  std::uint64_t leaseEnd_ = 0;
};

/// Orders the target to stop a run; gpStopReplied follows.
struct gpStopRun
{
  std::string target_;
  gpRunId run_;
  std::uint64_t fence_ = 0;
};

/// Polls the target: lists its runs, and renews its lease if leaseEnd_ is set;
/// gpPollReplied follows.
struct gpPollTarget
{
  std::string target_;
  std::uint64_t fence_ = 0;
  /// New end of the lease on the target's clock, in ms; not set to leave the
  /// lease unchanged.
  std::optional<std::uint64_t> leaseEnd_;
  /// The guard has processed the target's list of ended runs up to this
  /// position, so the target may drop these.
  std::uint64_t seenEnds_ = 0;
  /// Long poll: the target may delay its answer by this time, until a run ends.
  gpMillis wait_{ 0 };
};

/// Asks whether the target is the incarnation with this ID, and changes nothing
/// there but the fence; gpTargetIdentified follows.
struct gpIdentifyTarget
{
  std::string id_;
  std::uint64_t fence_ = 0;
};

/// Stores a record of the target for the next process of this guard.
struct gpStoreTargetRecord
{
  gpTargetRecord record_;
};

using gpLeaseEffect = std::variant<gpSend,
                                   gpWatchAddress,
                                   gpUnwatchAddress,
                                   gpCloseLink,
                                   gpWakeAt,
                                   gpWriteTimeline,
                                   gpStop,
                                   gpAnswerLeaseJob,
                                   gpCloseCallerConnections,
                                   gpStartRun,
                                   gpStopRun,
                                   gpPollTarget,
                                   gpIdentifyTarget,
                                   gpStoreTargetRecord>;

/** \class gpLeaseEffects
 * \brief Collects the effects of one event in their order.
 */
class gpLeaseEffects
{
public:
  void Add(gpLeaseEffect aEffect) { effects_.push_back(std::move(aEffect)); }
  void Send(gpLinkId aLink, gpMessage aMessage)
  {
    Add(gpSend{ aLink, std::move(aMessage) });
  }
  void Write(gpTimelineEvent aEvent)
  {
    Add(gpWriteTimeline{ std::move(aEvent) });
  }
  std::vector<gpLeaseEffect> Take() { return std::exchange(effects_, {}); }

private:
  std::vector<gpLeaseEffect> effects_;
};
