#pragma once

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "gpIds.h"

/** \class gpProcessStatus
 * \brief What GET /v1/status of a process says.
 */
struct gpProcessStatus
{
  std::string process_;
  std::string role_;
  gpConfigVersion version_;
  gpApplyId applyId_;
  std::uint64_t rosterEpoch_ = 0;
  bool logAvailable_ = false;
};

/// Parses the body of an answer; HttpFailure if it's none. Fields that aren't
/// known are ignored.
absl::StatusOr<gpProcessStatus>
gpParseProcessStatus(const std::string& aBody);
