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

/** \brief Events and effects of the reducers for best-effort jobs, beside those
 * that gpEvent.h and gpEffect.h already have.
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

/// Another version of the queues was read, or told by a peer.
struct gpQueuesChanged
{
  gpQueueTable queues_;
};

/// Entries that were found in the settings or in the platform's store.
struct gpEntriesFound
{
  std::vector<gpAddress> entries_;
};

/** \class gpTargetAnnouncement
 * \brief What a target says of itself, in its heartbeats.
 */
struct gpTargetAnnouncement
{
  std::string id_;
  /// Time of its start; a higher one is a newer incarnation, also under the
  /// same ID.
  std::uint64_t born_ = 0;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t sequence_ = 0;
  gpServiceName service_;
  bool draining_ = false;
  gpResources capacity_;
  std::vector<std::string> labels_;
};

/// The target sent a heartbeat.
struct gpTargetHeard
{
  gpTargetAnnouncement target_;
};

/// The target said that it ends.
struct gpTargetEnded
{
  std::string id_;
};

/// What a target answered to an order.
enum class gpOrderReply
{
  Accepted,
  Fence,       ///< it has seen a higher fence; nothing was done
  Outdated,    ///< it has seen as high a run number; nothing was done
  Late,        ///< the order's lease had ended already; nothing was done
  NoRoom,      ///< nothing was done
  Unhealthy,   ///< nothing was done
  OtherTarget, ///< another incarnation answered; nothing was done
  NotSent,     ///< the target can't be reached; nothing was done
  Silent,      ///< no answer; it may be carried out, now or later
};

/// A start has been answered, or given up.
struct gpStartReplied
{
  gpRunId run_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  /// The target's clock in ms; 0 if it wasn't told.
  std::uint64_t clock_ = 0;
};

/// A stop has been answered, or given up.
struct gpStopReplied
{
  gpRunId run_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  std::uint64_t clock_ = 0;
};

/** \class gpEndedRun
 * \brief One line of a target's list of ends.
 */
struct gpEndedRun
{
  /// Position in the target's list of ends, from 1.
  std::uint64_t position_ = 0;
  gpRunId run_;
  gpRunEnd end_ = gpRunEnd::Done;
};

/// A look at the target, which also renews its lease, was answered.
struct gpTargetSeen
{
  /// When the call was sent.
  gpTime sentAt_;
  gpOrderReply reply_ = gpOrderReply::Silent;
  std::uint64_t clock_ = 0;
  /// The target's incarnation as it says; 0 if it didn't.
  std::uint64_t born_ = 0;
  std::vector<gpRunId> running_;
  std::vector<gpEndedRun> ended_;
};

/** \class gpLeaseEntryEvent
 * \brief One event of an entry that serves best-effort jobs.
 */
struct gpLeaseEntryEvent
{
  gpTime now_;
  std::variant<gpLeaseJobSubmitted,
               gpLeaseJobCancelled,
               gpCallerGone,
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
               gpTargetHeard,
               gpTargetEnded,
               gpStartReplied,
               gpStopReplied,
               gpTargetSeen,
               gpTimePassed,
               gpShutdownRequested>
    input_;
};

/// Gives a caller its answer.
struct gpAnswerLeaseJob
{
  gpRequestId request_;
  gpLeaseAnswer answer_;
};

/// Closes each caller's connection with its next answer, so that the caller
/// comes back at another entry.
struct gpSendCallersAway
{};

/// Closes a link; gpLinkLost doesn't follow.
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

/// Looks at what the target runs; gpTargetSeen follows.
struct gpLookAtTarget
{
  std::string target_;
  std::uint64_t fence_ = 0;
  /// New end of the lease on the target's clock in ms; not set to leave it.
  std::optional<std::uint64_t> leaseEnd_;
  /// Ends up to this position have been taken note of.
  std::uint64_t seenEnds_ = 0;
  /// How long the target may wait for the end of a run.
  gpMillis wait_{ 0 };
};

using gpLeaseEffect = std::variant<gpSend,
                                   gpWatchAddress,
                                   gpUnwatchAddress,
                                   gpCloseLink,
                                   gpWakeAt,
                                   gpWriteTimeline,
                                   gpStop,
                                   gpAnswerLeaseJob,
                                   gpSendCallersAway,
                                   gpStartRun,
                                   gpStopRun,
                                   gpLookAtTarget>;

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
