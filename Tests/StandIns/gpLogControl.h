#pragma once

#include <string>

#include <absl/status/status.h>

class gpLogStandIn;

/// Carries out a command of POST /control.
absl::Status
gpApplyLogCommand(gpLogStandIn& aLog, const std::string& aBody);

/// The answer to GET /control.
std::string
gpShowLog(gpLogStandIn& aLog);
