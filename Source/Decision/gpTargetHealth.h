#pragma once

#include <cstdint>

#include "gpConfiguration.h"
#include "gpTime.h"

/** \class gpTargetHealth
 * \brief Tracks the failures of one target: whether it's ejected, and when to
 * probe it.
 *
 * A target that fails several tasks in a row is ejected. After a pause one task
 * is sent as a probe. If the probe succeeds, the target is readmitted; if it
 * fails, another, longer pause follows.
 */
class gpTargetHealth
{
public:
  bool IsEjected() const { return ejected_; }
  /// Whether a task may be sent to the target now: it isn't ejected, or it's
  /// due for a probe.
  bool MayStart(gpTime aNow) const;
  /// Records that a task was sent. True if it's a probe.
  bool NoteStart();
  /// Records a success. True if it readmits the target.
  bool NoteSuccess();
  /// Records a failure. True if it ejects the target. aMayEject is false if the
  /// limit on ejected targets is reached.
  bool NoteFailure(const gpEjectionSettings& aSettings,
                   bool aMayEject,
                   gpTime aNow);
  /// The task that was sent last did not run, so it says nothing about the
  /// health of the target and the next task may be a probe.
  void NoteNotRun() { probing_ = false; }

private:
  std::uint32_t failuresInRow_ = 0;
  /// Number of pauses since the last success. The pause doubles with each.
  std::uint32_t pauses_ = 0;
  bool ejected_ = false;
  /// A probe was sent and has no result yet.
  bool probing_ = false;
  /// Earliest time of the next probe of an ejected target.
  gpTime probeAt_;
};
