#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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
 * doesn't replace a true one.
 */
class gpTargetClaims
{
public:
  /// Notes a heartbeat; a later one of the same incarnation replaces an earlier
  /// one.
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
  /// The target has not answered; it's to be asked again after aPause.
  void NoteUnanswered(const std::string& aId, gpTime aNow, gpMillis aPause);

private:
  struct Entry
  {
    gpTargetClaim claim_;
    gpTime nextAt_;
  };

  /// Bound of the calls to the target, whatever number of heartbeats arrives.
  static constexpr gpMillis kShortestPause{ 5 };
  static constexpr std::size_t kMostClaims = 4;

  std::vector<Entry> claims_;
  bool isAsking_ = false;
  gpTime askedAt_;
};
