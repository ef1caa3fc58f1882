#pragma once

#include <variant>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpLeaseEvent.h"

/// A decoded request of the target: a heartbeat, or the notice that it ends.
using gpAnnouncementCall = std::variant<gpHeartbeatReceived, gpTargetEnded>;

/** \class gpAnnouncementPort
 * \brief Decodes the HTTP requests by which the target beside a guard announces
 * itself. Implemented by the adapter to the customer's platform.
 */
class gpAnnouncementPort
{
public:
  virtual ~gpAnnouncementPort() = default;

  /// Decodes a request of the target. The error is BadRequest if its content is
  /// invalid, NotFound if path or method aren't part of the interface.
  virtual absl::StatusOr<gpAnnouncementCall> Parse(
    const gpHttpRequest& aHttp) const = 0;
};
