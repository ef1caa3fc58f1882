#include "gpTargetHealth.h"

#include <algorithm>

namespace {

/// The longest pause is probeAfter_ times two to the power of this.
constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

bool
gpTargetHealth::MayStart(gpTime aNow) const
{
  return !ejected_ || (!probing_ && probeAt_ <= aNow);
}

bool
gpTargetHealth::NoteStart()
{
  if (!ejected_) {
    return false;
  }
  probing_ = true;
  return true;
}

bool
gpTargetHealth::NoteSuccess()
{
  const bool wasReadmitted = ejected_;
  *this = gpTargetHealth{};
  return wasReadmitted;
}

bool
gpTargetHealth::NoteFailure(const gpEjectionSettings& aSettings,
                            bool aMayEject,
                            gpTime aNow)
{
  ++failuresInRow_;
  probing_ = false;
  const bool wasEjected = ejected_;
  if (!ejected_ && (failuresInRow_ < aSettings.failures_ || !aMayEject)) {
    return false;
  }
  ejected_ = true;
  const std::uint32_t doublings = std::min(pauses_, kMaxDoublings);
  ++pauses_;
  probeAt_ = aNow + (aSettings.probeAfter_ * (1U << doublings));
  return !wasEjected;
}
