#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gpPollSchedule.h"
#include "gpTargetAnnouncement.h"
#include "gpTime.h"

/** \class gpTargetClaim
 * \brief A heartbeat of an incarnation that the target has not confirmed yet.
 */
struct gpTargetClaim
{
  gpTargetAnnouncement target_;
  gpTime toldAt_;
};

/** \class gpTargetClaims
 * \brief The claims that the target is to be asked about, one at a time, until
 * it answers.
 *
 * Anybody may have written a heartbeat, so it's no proof that the known
 * incarnation has ended. The last few claims are kept, so that a foreign one
 * doesn't replace a true one. A claim that has no answer is repeated after
 * growing pauses (exponential backoff, with the pauses of the polls) until its
 * last heartbeat is too old.
 */
class gpTargetClaims
{
public:
  /// Notes a heartbeat; a later one of the same incarnation replaces an earlier
  /// one. The incarnation leaves if any of them says so, as one may be foreign.
  void Note(const gpTargetAnnouncement& aTarget, gpTime aNow);
  bool IsEmpty() const { return claims_.empty(); }
  /// When the target is to be asked next; the maximum while it's being asked,
  /// or if there is no claim.
  gpTime GetNext() const;
  /// The ID that the target is to be asked about now, if any. An answer, or
  /// NoteUnanswered, must follow.
  std::optional<std::string> TakeDue(gpTime aNow);
  /// The target has answered under this ID as the incarnation of this start
  /// time. Returns the claim that this confirms, if there is one, and drops the
  /// others with the ID.
  std::optional<gpTargetClaim> Confirm(const std::string& aId,
                                       std::uint64_t aStartTime);
  /// The target has another ID.
  void Refute(const std::string& aId);
  /// The target has not answered.
  void NoteUnanswered(const std::string& aId, gpTime aNow);
  /// The target has refused the fence of the question. A question with a higher
  /// one follows at once, up to a limit.
  void NoteFenceRefused(const std::string& aId, gpTime aNow);
  /// Drops the claims without a heartbeat for kHeartbeatLifetime, and returns
  /// their IDs. The claims of a writer that goes on sending are kept.
  std::vector<std::string> DropOld(gpTime aNow);

private:
  struct Entry
  {
    gpTargetClaim claim_;
    gpTime nextAt_;
    /// Pause after the next question, if it has no answer.
    gpMillis pause_ = gpPollSchedule::kShortestPause;
    int fenceRefusals_ = 0;
  };

  /// Bound of the calls to the target, whatever number of heartbeats arrives.
  static constexpr gpMillis kShortestPause{ 5 };
  static constexpr std::size_t kMostClaims = 4;

  std::vector<Entry> claims_;
  bool isAsking_ = false;
  gpTime askedAt_;
};
