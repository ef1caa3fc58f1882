#pragma once

#include <string>

#include <absl/status/status.h>

class gpTargetStandIn;

/// Carries out a command of POST /control.
absl::Status
gpApplyTargetCommand(gpTargetStandIn& aTarget, const std::string& aBody);

/// The answer to GET /control, or to GET /control?max=1: totals only.
std::string
gpShowTarget(const gpTargetStandIn& aTarget, const std::string& aUrl);
