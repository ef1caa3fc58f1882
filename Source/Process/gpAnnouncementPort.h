#pragma once

#include <variant>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpLeaseEvent.h"

using gpAnnouncementCall = std::variant<gpTargetHeard, gpTargetEnded>;

/** \class gpAnnouncementPort
 * \brief How the target beside a guard tells of itself, on the wire.
 */
class gpAnnouncementPort
{
public:
  virtual ~gpAnnouncementPort() = default;

  /// Decodes a request of the target; BadRequest if it can't be read, NotFound
  /// if it's no call of this interface.
  virtual absl::StatusOr<gpAnnouncementCall> Parse(
    const gpHttpRequest& aHttp) const = 0;
};
