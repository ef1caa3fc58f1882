#pragma once

#include <cstdint>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpIds.h"

/** \class gpAnnouncement
 * \brief What a target tells the guard beside it.
 */
struct gpAnnouncement
{
  gpServiceName service_;
  /// Where the target takes tasks.
  gpAddress address_;
  /// Tasks that it runs at once, 1 to 100000.
  std::uint32_t slots_ = 1;
};

/// Parses the body of POST /v1/announce; see docs/http-api.md. The error is
/// BadRequest and holds all faults.
absl::StatusOr<gpAnnouncement>
gpParseAnnouncement(std::string_view aBody);
