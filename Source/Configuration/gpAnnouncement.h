#pragma once

#include <cstdint>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpIds.h"

/** \class gpAnnouncement
 * \brief The registration that a target sends to its guard.
 */
struct gpAnnouncement
{
  gpServiceName service_;
  /// Address at which the target accepts tasks.
  gpAddress address_;
  /// Number of tasks that the target runs concurrently, 1 to 100000.
  std::uint32_t slots_ = 1;
};

/// Parses the body of POST /v1/announce; see docs/http-api.md. If the body is
/// invalid, returns BadRequest with all validation errors (see gpErrorsOf).
absl::StatusOr<gpAnnouncement>
gpParseAnnouncement(std::string_view aBody);
