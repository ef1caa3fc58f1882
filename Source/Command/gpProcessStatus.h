#pragma once

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "gpIds.h"

/** \class gpProcessStatus
 * \brief The status of a process, as GET /v1/status returns it.
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

/// Parses the body of a response to GET /v1/status; returns HttpFailure if it
/// isn't one. Unknown fields are ignored.
absl::StatusOr<gpProcessStatus>
gpParseProcessStatus(const std::string& aBody);
