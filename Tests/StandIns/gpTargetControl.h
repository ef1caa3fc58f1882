#pragma once

#include <string>

#include <absl/status/status.h>

class gpTargetStandIn;

/// Applies the command in the body of a POST /control.
absl::Status
gpApplyTargetCommand(gpTargetStandIn& aTarget, const std::string& aBody);

/// Returns the JSON text that answers GET /control. With the query max=1 it
/// names only the task with the most starts, instead of the starts of each
/// task.
std::string
gpShowTarget(const gpTargetStandIn& aTarget, const std::string& aUrl);
