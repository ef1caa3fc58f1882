#pragma once

#include <string>

#include <absl/status/status.h>

class gpLogStandIn;

/// Applies the command in the body of a POST /control.
absl::Status
gpApplyLogCommand(gpLogStandIn& aLog, const std::string& aBody);

/// Returns the JSON text that answers GET /control.
std::string
gpShowLog(gpLogStandIn& aLog);
