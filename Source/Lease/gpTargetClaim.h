#pragma once

#include <optional>
#include <string>

#include "gpTargetAnnouncement.h"
#include "gpTime.h"

/** \class gpTargetClaim
 * \brief A heartbeat of an incarnation that the target has not confirmed yet.
 *
 * Anybody may have written a heartbeat, so it's no proof that the known
 * incarnation has ended. The target is asked, until it answers.
 */
class gpTargetClaim
{
public:
  /// Replaces an earlier claim; the target is to be asked at once.
  void Set(gpTargetAnnouncement aTarget, gpTime aNow)
  {
    target_ = std::move(aTarget);
    nextAt_ = aNow;
  }
  void Drop()
  {
    target_.reset();
    nextAt_ = gpTime::max();
  }

  /// The claimed incarnation; not set if there is no claim.
  const std::optional<gpTargetAnnouncement>& Get() const { return target_; }
  /// Whether the claim is about an incarnation with this ID.
  bool IsOf(const std::string& aId) const
  {
    return target_.has_value() && target_->id_ == aId;
  }
  /// When the target is to be asked next; the maximum while it's being asked,
  /// or if there is no claim.
  gpTime GetNext() const { return nextAt_; }
  void NoteAsked() { nextAt_ = gpTime::max(); }
  /// The target has not answered; it's to be asked again after aPause.
  void NoteUnanswered(gpTime aNow, gpMillis aPause) { nextAt_ = aNow + aPause; }

private:
  std::optional<gpTargetAnnouncement> target_;
  gpTime nextAt_ = gpTime::max();
};
