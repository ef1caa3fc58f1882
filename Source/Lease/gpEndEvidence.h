#pragma once

#include <string>

/// Why a guard counts a run as ended. Each is a proof that the run isn't at
/// work any more.
enum class gpEndEvidence
{
  Listed,         ///< the target lists it among its ended runs
  NotListed,      ///< the target would list it if it were running
  NotStarted,     ///< the target refused the start, or it was never sent
  TargetReplaced, ///< the target's incarnation has ended
  LeaseExpired,   ///< the target's lease was not renewed until it expired
};

/// The name in logs, such as "lease_expired".
std::string
gpEndEvidenceName(gpEndEvidence aEvidence);
