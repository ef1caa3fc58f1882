#pragma once

#include <string>

#include <absl/status/status.h>

class gpFaultProxy;

/// Applies the command in the body of a POST /control.
absl::Status
gpApplyProxyCommand(gpFaultProxy& aProxy, const std::string& aBody);

/// Returns the JSON text that answers GET /control.
std::string
gpShowProxy(const gpFaultProxy& aProxy);
