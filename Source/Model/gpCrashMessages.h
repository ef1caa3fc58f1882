#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpRunId.h"

/** \brief Contents of messages about crashes of targets; see
 * docs/design/crashes.md. */

/** \class gpLostRun
 * \brief A run that was lost when its target crashed.
 */
struct gpLostRun
{
  gpRunId run_;
  /// Whether it started so shortly before the crash that it may be the cause.
  bool suspected_ = false;

  bool operator==(const gpLostRun&) const = default;
};

/** \class gpTargetCrash
 * \brief A crash of a target, or the loss of one that can't be told from a
 * crash. Known by the ID of the target and the number.
 */
struct gpTargetCrash
{
  /// ID of the target.
  std::string target_;
  /// Tells the crashes of a target apart; increases with each.
  std::uint64_t number_ = 0;
  std::vector<gpLostRun> runs_;

  bool operator==(const gpTargetCrash&) const = default;
};
