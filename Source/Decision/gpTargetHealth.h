#pragma once

#include <cstdint>

#include "gpConfiguration.h"
#include "gpTime.h"

/** \class gpTargetHealth
 * \brief Whether a target fails what it's given, and when to try it again.
 *
 * A target that fails several tasks in a row is ejected. After a pause one
 * task is sent as a probe; its success brings the target back, its failure
 * starts another, longer pause.
 */
class gpTargetHealth
{
public:
  bool IsEjected() const { return ejected_; }
  /// Whether the target may be given a task now. aMayEject is what the cap on
  /// ejections allows.
  bool MayStart(gpTime aNow) const;
  /// A task was sent. True if it's a probe.
  bool NoteStart();
  /// True if the target comes back with this success.
  bool NoteSuccess();
  /// True if the target is ejected with this failure.
  bool NoteFailure(const gpEjectionSettings& aSettings,
                   bool aMayEject,
                   gpTime aNow);
  /// The task that was sent last did not run; it says nothing of the target.
  void NoteNotRun() { probing_ = false; }

private:
  std::uint32_t failuresInRow_ = 0;
  /// Pauses since the last success; each doubles the next one.
  std::uint32_t pauses_ = 0;
  bool ejected_ = false;
  bool probing_ = false;
  gpTime probeAt_;
};
